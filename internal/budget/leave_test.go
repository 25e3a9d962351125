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

// recordingPeers is a Peers that counts messages by receiver.
type recordingPeers struct {
	sent       map[structs.InstanceID]int
	broadcasts int
}

func (s *recordingPeers) Send(to structs.InstanceID, _ structs.Message) { s.sent[to]++ }
func (s *recordingPeers) Broadcast(structs.Message)                     { s.broadcasts++ }
func (s *recordingPeers) Probe(structs.InstanceID)                      {}
func (s *recordingPeers) Watch([]structs.InstanceID)                    {}

// A leaving instance notifies a bounded number of others that it has no connection to.
func TestLeavingIsAnnouncedToFew(t *testing.T) {
	for _, instances := range []int{100, 1000} {
		peers := &recordingPeers{sent: make(map[structs.InstanceID]int)}
		dir := directory.New(structs.Peer{ID: directory.InstanceID("self", "1")})
		for i := range instances {
			id := directory.InstanceID(fmt.Sprint("m", i), "1")
			dir.Put(structs.Peer{ID: id, Address: "10.0.0.1:1"})
		}
		m := New(t.Context(), Config{
			Directory: dir, Partitions: 24, Store: simnet.New().Store, Peers: peers, TargetFailures: new(failureList), Loads: new(failureList),
			Health: new(simnet.Node), Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
		})
		m.partitions[3].own = newOwnership(1)
		m.announceLeaving()
		if peers.broadcasts != 1 || len(peers.sent) == 0 || len(peers.sent) > watchersPerOwner {
			t.Errorf("%d instances: %d were notified without a connection", instances, len(peers.sent))
		}
	}
}
