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

// Network places a relay on each connection that can be cut: from each instance to
// the log, and from each instance to each other one. For the latter, every instance
// reads its own membership list, which holds the addresses of the relays.
type Network struct {
	mu      sync.Mutex
	logs    map[string]*relay.Relay
	links   map[link]*relay.Relay
	servers []*standin.Server
	// blocked holds the directions that are blocked for each instance, also for
	// relays that are created later.
	blocked map[string]blocked
}

// link identifies the connections that one instance dials to another.
type link struct{ from, to string }

// blocked holds the directions in which an instance's traffic is blocked.
type blocked struct{ out, in bool }

func newNetwork() *Network {
	return &Network{logs: map[string]*relay.Relay{}, links: map[link]*relay.Relay{}, blocked: map[string]blocked{}}
}

// env returns the environment that points an instance to its relays.
func (n *Network) env(c *testkit.Cluster, id string) []string {
	endpoints := c.Endpoints()
	log, err := relay.New(strings.TrimPrefix(endpoints.Log, "http://"))
	if err != nil {
		return nil
	}
	list, err := standin.Listen("", n.memberList(id, endpoints.Members))
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

// memberList serves the membership list to one instance, with the addresses of the
// others replaced by those of relays.
func (n *Network) memberList(id, source string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := http.Get(source + r.URL.Path)
		if err != nil {
			standin.DropConnection()
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		var list wire.MemberList
		if resp.StatusCode != http.StatusOK || json.Unmarshal(body, &list) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for i, m := range list.Members {
			if m.Role == wire.MemberRoleInstance && m.ID != id {
				list.Members[i].Address = n.relayTo(link{id, m.ID}, m.Address)
			}
		}
		standin.WriteJSON(w, http.StatusOK, list)
	})
}

// relayTo returns the address of the relay of a link, and creates the relay if
// needed.
func (n *Network) relayTo(l link, address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known, ok := n.links[l]; ok {
		return known.Address()
	}
	created, err := relay.New(address)
	if err != nil {
		return address
	}
	n.links[l] = created
	n.apply(l, created)
	return created.Address()
}

// apply blocks the directions of a relay that are blocked at either end. The caller
// holds n.mu.
func (n *Network) apply(l link, r *relay.Relay) {
	from, to := n.blocked[l.from], n.blocked[l.to]
	r.Block(from.out || to.in, to.out || from.in)
}

// CutLog blocks the traffic from an instance to the log, from the log to the
// instance, or both; with neither it unblocks them.
func (n *Network) CutLog(id string, out, in bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logs[id].Block(out, in)
}

// CutPeer blocks the traffic from an instance to the others, from the others to it,
// or both; with neither it unblocks them.
func (n *Network) CutPeer(id string, out, in bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[id] = blocked{out, in}
	for l, r := range n.links {
		n.apply(l, r)
	}
}

// Close closes all relays. It does nothing on a nil Network.
func (n *Network) Close() {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.logs {
		r.Close()
	}
	for _, r := range n.links {
		r.Close()
	}
	for _, s := range n.servers {
		s.Close()
	}
}
