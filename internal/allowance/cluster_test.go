package allowance

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

var testTolerance = Tolerance{Window: 5 * time.Second, Fraction: 0.1, Requests: 20}

// testSlots is small, so that each coordinator has several organisations.
const testSlots = 4

// cluster simulates instances with a network, in virtual time.
type cluster struct {
	*simnet.Net
	nodes simnet.NodeValues[*node]
	t     *testing.T
	// grantAll grants every vote to every coordinator at once, so that each allocates
	// the whole limit.
	grantAll bool

	mu sync.Mutex
	// releaseSome releases every third permit.
	releaseSome   bool
	admittedCount int
	// admitted holds the times of admitted requests, by organisation.
	admitted map[string][]time.Time
	// refused and unknown count the requests that were not admitted.
	refused, unknown int
}

// node is one incarnation of an instance.
type node struct {
	*simnet.Node
	manager *Manager
}

// peers is the transport of a node.
type peers struct {
	*simnet.Node
	cluster *cluster
	manager *Manager
}

// Send sends a message. With grantAll set it grants vote requests itself.
func (p *peers) Send(to structs.InstanceID, msg structs.Message) {
	if m, ok := msg.(*structs.VoteRequest); ok && p.cluster.grantAll {
		p.Node.Post(structs.PeerMessage{From: to, Msg: &structs.VoteReply{Number: m.Number, Granted: true, Reassigned: true}})
		return
	}
	p.Node.Send(to, msg)
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		Net: simnet.New(), t: t,
		admitted: make(map[string][]time.Time),
	}
}

// start starts an instance on a machine and lists it at all others.
func (c *cluster) start(machine string) *node { return c.nodes.Get(c.Start(machine, c.run)) }

// run starts an incarnation of an instance.
func (c *cluster) run(ctx context.Context, sim *simnet.Node) func(structs.Event) {
	n := &node{Node: sim}
	link := &peers{Node: sim, cluster: c}
	n.manager = New(Config{
		Directory: sim.Directory, Slots: testSlots, Key: func(slot int) string { return fmt.Sprint("slot/", slot) },
		Tolerance: testTolerance, Peers: link, InstancesLoaded: func() bool { return true },
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	link.manager = n.manager
	n.manager.SetActive(true)
	c.nodes.Put(sim, n)
	c.Background.Go(func() { n.manager.Run(ctx) })
	return n.receive
}

// receive updates the directory, as the budget manager does, before the event is
// handled.
func (n *node) receive(event structs.Event) {
	switch e := event.(type) {
	case structs.PeerDown:
		n.Directory.SetUnresponsive(e.Peer, true)
	case structs.PeerUp:
		n.Directory.SetUnresponsive(e.Peer, false)
	case structs.PeerMessage:
		if _, ok := e.Msg.(*structs.Leaving); ok {
			n.Directory.SetLeaving(e.From)
		}
	}
	n.manager.Receive(event)
}

// all lists the running instances.
func (c *cluster) all() []*node { return c.nodes.All(c.Net) }

// request is admit for a request without a program.
func (c *cluster) request(n *node, name string, limit org.Limit, version int64, first bool) bool {
	return c.admit(n, serve.AllowanceRequest{Organisation: name, Limit: limit, Version: version, First: first})
}

// admit submits a request at an instance and reports whether it was admitted.
func (c *cluster) admit(n *node, request serve.AllowanceRequest) bool {
	name := request.Organisation
	permit, err := n.manager.Admit(context.Background(), request)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch err.(type) {
	case nil:
		c.admittedCount++
		if c.releaseSome && c.admittedCount%3 == 0 {
			permit.Release()
			return true
		}
		c.admitted[name] = append(c.admitted[name], time.Now())
		return true
	case *serve.OverLimitError:
		c.refused++
	default:
		c.unknown++
	}
	return false
}

// leaveSlowly shuts an instance down, which still admits requests for a while.
func (c *cluster) leaveSlowly(n *node, d time.Duration) {
	c.Background.Go(func() {
		n.Directory.SetLeaving(n.ID)
		n.manager.Leave()
		for _, p := range n.Directory.Others() {
			n.Send(p.ID, new(structs.Leaving))
		}
		time.Sleep(d)
		c.Restart(n.Node)
	})
}

// maxInWindow returns the largest number of admitted requests within a window.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	highest, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// allowed returns the number of requests that a limit with its tolerance allows in a
// window.
func allowed(limit org.Limit, t Tolerance) int {
	exact := limit.PerSecond*t.Window.Seconds() + limit.Burst
	return int(exact*(1+t.Fraction) + t.Requests)
}

func machines(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("m%03d", i))
	}
	return names
}
