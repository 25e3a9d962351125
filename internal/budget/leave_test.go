package budget

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

// sentTo is a Peers that notes to whom messages go.
type sentTo struct {
	sent       map[structs.InstanceID]int
	broadcasts int
}

func (s *sentTo) Send(to structs.InstanceID, _ structs.Message) { s.sent[to]++ }
func (s *sentTo) Broadcast(structs.Message)                     { s.broadcasts++ }
func (s *sentTo) Probe(structs.InstanceID)                      {}
func (s *sentTo) Watch([]structs.InstanceID)                    {}

// An instance that leaves opens no connection to each other one: the number of those
// that it tells does not follow the number of instances.
func TestLeavingIsToldToFew(t *testing.T) {
	for _, instances := range []int{100, 1000} {
		peers := &sentTo{sent: make(map[structs.InstanceID]int)}
		dir := directory.New(structs.Peer{ID: directory.InstanceID("self", "1")})
		for i := range instances {
			id := directory.InstanceID(fmt.Sprint("m", i), "1")
			dir.Put(structs.Peer{ID: id, Address: "10.0.0.1:1"})
		}
		k := New(t.Context(), Config{
			Directory: dir, Partitions: 24, Store: simnet.New().Store, Peers: peers, Breaks: new(breakList), Loads: new(breakList),
			Health: new(simnet.Node), Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
		})
		k.partitions[3].own = newOwnership(1)
		k.tellLeaving()
		if peers.broadcasts != 1 || len(peers.sent) == 0 || len(peers.sent) > standbys {
			t.Errorf("of %d instances %d were told apart from those connected", instances, len(peers.sent))
		}
	}
}
