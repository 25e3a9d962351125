package conversation

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

const (
	// testPartitions is few, so that conversations meet in them.
	testPartitions = 4
	// testRetention is how long a turn may be named in these tests.
	testRetention = 30 * time.Second
)

// world is some instances with a store and a network, in virtual time, and what
// callers were told.
type world struct {
	*simnet.Net
	lives simnet.Lives[*node]
	t     *testing.T
	// partitions is the number of the topic's partitions.
	partitions int

	mu sync.Mutex
	// ended are the turns whose callers saw the end.
	ended map[string]endedTurn
	order []string
	made  int
}

// endedTurn is a turn with the whole conversation up to and with it.
type endedTurn struct {
	text    string
	program string
	at      time.Time
}

// node is one life of an instance.
type node struct {
	*simnet.Node
	keeper *Manager
}

// inWorld runs a test with instances in virtual time.
func inWorld(t *testing.T, machines int, body func(t *testing.T, w *world)) {
	inWorldOf(t, machines, testPartitions, body)
}

// inWorldOf is inWorld with a number of partitions.
func inWorldOf(t *testing.T, machines, partitions int, body func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			Net: simnet.New(), t: t, partitions: partitions, ended: make(map[string]endedTurn),
		}
		for i := range machines {
			w.start(machineName(i))
		}
		defer w.Stop()
		body(t, w)
	})
}

// machineName is a, b, c ... and beyond z what follows.
func machineName(i int) string { return string(rune('a' + i)) }

func (w *world) start(machine string) *node { return w.lives.Of(w.Start(machine, w.run)) }

// run starts a life of an instance.
func (w *world) run(ctx context.Context, sim *simnet.Node) func(structs.Event) {
	n := &node{Node: sim}
	n.keeper = New(ctx, Config{
		Directory: sim.Directory, Partitions: w.partitions, Store: sim.Store(), Peers: sim, Health: sim,
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	w.lives.Put(sim, n)
	w.Work.Go(func() { n.keeper.Run(ctx) })
	return func(event structs.Event) {
		switch e := event.(type) {
		case structs.PeerDown:
			sim.Directory.SetUnresponsive(e.Peer, true)
		case structs.PeerUp:
			sim.Directory.SetUnresponsive(e.Peer, false)
		}
		n.keeper.Receive(event)
	}
}

// all lists the instances that live.
func (w *world) all() []*node { return w.lives.All(w.Net) }

// index is the instance that indexes a program's partition.
func (w *world) index(program string) *node {
	first := w.all()[0]
	p := first.keeper.partitionOf(program)
	return w.lives.Of(w.find(first.keeper.indexOf(p, nil)))
}

func (w *world) find(id structs.InstanceID) *simnet.Node {
	for _, n := range w.Nodes() {
		if n.ID == id {
			return n
		}
	}
	w.t.Fatalf("instance %s does not live", id)
	return nil
}

// restartAll ends all instances at once and starts others.
func (w *world) restartAll() {
	nodes := w.all()
	for _, n := range nodes {
		w.Kill(n.Node)
	}
	for _, n := range nodes {
		w.start(n.Machine())
	}
}

// turn runs a turn at an instance and returns its id if its caller saw the end.
func (w *world) turn(n *node, program, previous string, patience time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	before, err := w.recall(ctx, n, program, previous)
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	w.made++
	id := fmt.Sprintf("%016x", uint64(w.made)*0x9e3779b97f4a7c15)
	w.mu.Unlock()
	input, output := "in "+id+"\n", "out "+id+"\n"
	err = n.keeper.StoreTurn(ctx, program, serve.CompletedTurn{
		ID: id, Previous: previous, Input: []byte(input), Output: []byte(output), Retention: testRetention,
	})
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[id] = endedTurn{text: before + input + output, program: program, at: time.Now()}
	w.order = append(w.order, id)
	return id, nil
}

// recall asks an instance for a conversation and checks what it says.
func (w *world) recall(ctx context.Context, n *node, program, turn string) (string, error) {
	if turn == "" {
		return "", nil
	}
	w.mu.Lock()
	want, exists := w.ended[turn]
	w.mu.Unlock()
	got, err := n.keeper.History(ctx, program, turn)
	switch {
	case err == nil && string(got) != want.text && exists:
		w.t.Errorf("turn %s at %s: got %q, want %q", turn, n.ID, got, want.text)
	case errors.Is(err, serve.ErrTurnNotFound) && exists && time.Since(want.at) < testRetention:
		w.t.Errorf("turn %s of %s, ended %s ago, is unknown at %s", turn, want.program, time.Since(want.at), n.ID)
	}
	return string(got), err
}

// mustTurn is turn at a time when nothing may fail.
func (w *world) mustTurn(n *node, program, previous string) string {
	w.t.Helper()
	id, err := w.turn(n, program, previous, 3*time.Second)
	if err != nil {
		w.t.Fatalf("turn of %s at %s behind %q: %v", program, n.ID, previous, err)
	}
	return id
}

// mustRecall is recall at a time when nothing may fail.
func (w *world) mustRecall(n *node, program, turn string) {
	w.t.Helper()
	if _, err := w.recall(w.t.Context(), n, program, turn); err != nil {
		w.t.Errorf("turn %s at %s: %v", turn, n.ID, err)
	}
}

// anyEnded chooses a turn whose caller saw its end lately, empty if none did.
func (w *world) anyEnded(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.order) == 0 {
		return ""
	}
	newest := w.order[max(len(w.order)-40, 0):]
	return newest[r.IntN(len(newest))]
}

// others lists all instances but some.
func (w *world) others(but ...*node) []*node {
	return slices.DeleteFunc(w.all(), func(n *node) bool { return slices.Contains(but, n) })
}
