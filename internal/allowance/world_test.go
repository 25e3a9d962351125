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

// testTolerance is that of the users' deployment.
var testTolerance = Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// testSlots is few, so that each coordinates several organisations.
const testSlots = 4

// world is some instances with a network, in virtual time.
type world struct {
	*simnet.Net
	lives simnet.Lives[*node]
	t     *testing.T
	// sole has each coordinator get all votes at once, whoever else has them: what
	// one owner without votes would deal out.
	sole bool

	mu sync.Mutex
	// unused has every third request give its permit back.
	unused bool
	let    int
	// admitted is when requests of each organisation were let in.
	admitted map[string][]time.Time
	// outcomes counts how requests ended.
	refused, unknown int
}

// node is one life of an instance.
type node struct {
	*simnet.Node
	keeper *Manager
}

// peers is the transport of a node.
type peers struct {
	*simnet.Node
	world  *world
	keeper *Manager
}

// Send sends a message; a request for a vote is granted at once in a world whose
// coordinators share nothing.
func (p *peers) Send(to structs.InstanceID, msg structs.Message) {
	if m, ok := msg.(*structs.VoteRequest); ok && p.world.sole {
		p.Node.Post(structs.PeerMessage{From: to, Msg: &structs.VoteReply{Number: m.Number, Granted: true, Moved: true}})
		return
	}
	p.Node.Send(to, msg)
}

func newWorld(t *testing.T) *world {
	return &world{
		Net: simnet.New(), t: t,
		admitted: make(map[string][]time.Time),
	}
}

// start starts an instance on a machine and lists it at all others.
func (w *world) start(machine string) *node { return w.lives.Of(w.Start(machine, w.run)) }

// run starts a life of an instance.
func (w *world) run(ctx context.Context, sim *simnet.Node) func(structs.Event) {
	n := &node{Node: sim}
	link := &peers{Node: sim, world: w}
	n.keeper = New(Config{
		Directory: sim.Directory, Slots: testSlots, Key: func(slot int) string { return fmt.Sprint("slot/", slot) },
		Tolerance: testTolerance, Peers: link, Listed: func() bool { return true },
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	link.keeper = n.keeper
	n.keeper.SetActive(true)
	w.lives.Put(sim, n)
	w.Work.Go(func() { n.keeper.Run(ctx) })
	return n.receive
}

// receive notes in the directory what an event tells, as the budgets' keeper does.
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
	n.keeper.Receive(event)
}

// all lists the instances that live.
func (w *world) all() []*node { return w.lives.All(w.Net) }

// request asks an instance to let one request in.
func (w *world) request(n *node, name string, limit org.Limit, version int64, first bool) bool {
	return w.enter(n, serve.AllowanceRequest{Organisation: name, Limit: limit, Version: version, First: first})
}

// enter asks an instance to let a request in.
func (w *world) enter(n *node, entry serve.AllowanceRequest) bool {
	name := entry.Organisation
	permit, err := n.keeper.Admit(context.Background(), entry)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch err.(type) {
	case nil:
		w.let++
		if w.unused && w.let%3 == 0 {
			permit.Release()
			return true
		}
		w.admitted[name] = append(w.admitted[name], time.Now())
		return true
	case *serve.OverLimitError:
		w.refused++
	default:
		w.unknown++
	}
	return false
}

// leaveSlowly shuts an instance down; it lets requests in for a while yet.
func (w *world) leaveSlowly(n *node, d time.Duration) {
	w.Work.Go(func() {
		n.Directory.SetLeaving(n.ID)
		n.keeper.Leave()
		for _, p := range n.Directory.Others() {
			n.Send(p.ID, new(structs.Leaving))
		}
		time.Sleep(d)
		w.Restart(n.Node)
	})
}

// most is the largest number of requests let in within a window.
func most(times []time.Time, window time.Duration) int {
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

// allowed is the most that a limit with the tolerance allows in a window.
func allowed(limit org.Limit, t Tolerance) int {
	exact := limit.PerSecond*t.Window.Seconds() + limit.Burst
	return int(exact*(1+t.Over) + t.Slack)
}

func machines(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("m%03d", i))
	}
	return names
}
