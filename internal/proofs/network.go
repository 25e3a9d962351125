package proofs

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/testkit/relay"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Network puts a relay on each connection that can be cut: from each instance
// to the log, and from each instance to each other one. For the latter every
// instance reads a membership list of its own, whose addresses are the relays'.
type Network struct {
	mu      sync.Mutex
	logs    map[string]*relay.Relay
	pairs   map[pair]*relay.Relay
	servers []*standin.Server
	// cut holds the instances cut off from the others, for relays made later.
	cut map[string]cut
}

// pair is a connection that one instance dials to another.
type pair struct{ from, to string }

// cut tells which bytes of an instance do not pass.
type cut struct{ out, in bool }

func newNetwork() *Network {
	return &Network{logs: map[string]*relay.Relay{}, pairs: map[pair]*relay.Relay{}, cut: map[string]cut{}}
}

// env gives an instance the addresses of its relays.
func (n *Network) env(c *testkit.Cluster, id string) []string {
	ready := c.Endpoints()
	log, err := relay.New(strings.TrimPrefix(ready.Log, "http://"))
	if err != nil {
		return nil
	}
	list, err := standin.Listen("", n.memberList(id, ready.Members))
	if err != nil {
		log.Close()
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logs[id] = log
	n.servers = append(n.servers, list)
	return []string{"BANYANGLADE_LOG_URL=http://" + log.Address(), "BANYANGLADE_MEMBERS_URL=" + list.URL}
}

// memberList shows the membership list to one instance, with the addresses of
// the others replaced by relays.
func (n *Network) memberList(id, source string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply, err := http.Get(source + r.URL.Path)
		if err != nil {
			standin.DropConnection()
		}
		defer func() { _ = reply.Body.Close() }()
		body, _ := io.ReadAll(reply.Body)
		var list wire.MemberList
		if reply.StatusCode != http.StatusOK || json.Unmarshal(body, &list) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for i, m := range list.Members {
			if m.Role == wire.MemberRoleInstance && m.ID != id {
				list.Members[i].Address = n.relayTo(pair{id, m.ID}, m.Address)
			}
		}
		standin.WriteJSON(w, http.StatusOK, list)
	})
}

// relayTo gives the address of the relay of a connection.
func (n *Network) relayTo(p pair, address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known, ok := n.pairs[p]; ok {
		return known.Address()
	}
	made, err := relay.New(address)
	if err != nil {
		return address
	}
	n.pairs[p] = made
	n.apply(p, made)
	return made.Address()
}

// apply blocks a relay as its two ends are cut. The mutex is held.
func (n *Network) apply(p pair, r *relay.Relay) {
	from, to := n.cut[p.from], n.cut[p.to]
	r.Block(from.out || to.in, to.out || from.in)
}

// CutLog holds the bytes between an instance and the log: those towards the
// log, those from it, or both.
func (n *Network) CutLog(id string, blockTowards, blockBack bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logs[id].Block(blockTowards, blockBack)
}

// CutPeer holds what an instance sends to the others, what it gets from them,
// or both.
func (n *Network) CutPeer(id string, out, in bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut{out, in}
	for p, r := range n.pairs {
		n.apply(p, r)
	}
}

// Close ends all relays; a nil Network has none.
func (n *Network) Close() {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.logs {
		r.Close()
	}
	for _, r := range n.pairs {
		r.Close()
	}
	for _, s := range n.servers {
		s.Close()
	}
}
