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
	// testPartitions is small, so that conversations share partitions.
	testPartitions = 4
	// testRetention is the retention of turns.
	testRetention = 30 * time.Second
)

// cluster simulates instances with a store and a network in virtual time, and
// records the turns acknowledged to callers.
type cluster struct {
	*simnet.Net
	incarnations simnet.NodeValues[*node]
	t            *testing.T
	partitions   int

	mu sync.Mutex
	// ended holds the acknowledged turns by ID, order their IDs in order of
	// their end.
	ended map[string]endedTurn
	order []string
	made  int
}

// endedTurn is an acknowledged turn; text is the conversation up to and
// including it.
type endedTurn struct {
	text    string
	program string
	at      time.Time
}

// node is one incarnation of an instance.
type node struct {
	*simnet.Node
	manager *Manager
}

// runCluster runs a test with the given number of machines in virtual time.
func runCluster(t *testing.T, machines int, body func(t *testing.T, c *cluster)) {
	runClusterOf(t, machines, testPartitions, body)
}

// runClusterOf is runCluster with a number of partitions.
func runClusterOf(t *testing.T, machines, partitions int, body func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			Net: simnet.New(), t: t, partitions: partitions, ended: make(map[string]endedTurn),
		}
		for i := range machines {
			c.start(machineName(i))
		}
		defer c.Stop()
		body(t, c)
	})
}

// machineName returns a, b, c, and so on.
func machineName(i int) string { return string(rune('a' + i)) }

func (c *cluster) start(machine string) *node { return c.incarnations.Get(c.Start(machine, c.run)) }

// run starts an incarnation of an instance.
func (c *cluster) run(ctx context.Context, sim *simnet.Node) func(structs.Event) {
	n := &node{Node: sim}
	n.manager = New(ctx, Config{
		Directory: sim.Directory, Partitions: c.partitions, Store: sim.Store(), Peers: sim, Health: sim,
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	c.incarnations.Put(sim, n)
	c.Background.Go(func() { n.manager.Run(ctx) })
	return func(event structs.Event) {
		switch e := event.(type) {
		case structs.PeerDown:
			sim.Directory.SetUnresponsive(e.Peer, true)
		case structs.PeerUp:
			sim.Directory.SetUnresponsive(e.Peer, false)
		}
		n.manager.Receive(event)
	}
}

// running lists the running instances.
func (c *cluster) running() []*node { return c.incarnations.All(c.Net) }

// indexer returns the instance that indexes a program's partition.
func (c *cluster) indexer(program string) *node {
	first := c.running()[0]
	p := first.manager.partitionOf(program)
	return c.incarnations.Get(c.nodeByID(first.manager.indexer(p, nil)))
}

func (c *cluster) nodeByID(id structs.InstanceID) *simnet.Node {
	for _, n := range c.Nodes() {
		if n.ID == id {
			return n
		}
	}
	c.t.Fatalf("instance %s is not running", id)
	return nil
}

// restartAll kills all instances, then starts new ones.
func (c *cluster) restartAll() {
	nodes := c.running()
	for _, n := range nodes {
		c.Kill(n.Node)
	}
	for _, n := range nodes {
		c.start(n.Machine())
	}
}

// turn runs a turn at an instance and returns its ID if it was acknowledged.
func (c *cluster) turn(n *node, program, previous string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	before, err := c.lookUp(ctx, n, program, previous)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	c.made++
	id := fmt.Sprintf("%016x", uint64(c.made)*0x9e3779b97f4a7c15)
	c.mu.Unlock()
	input, output := "in "+id+"\n", "out "+id+"\n"
	err = n.manager.StoreTurn(ctx, program, serve.CompletedTurn{
		ID: id, Previous: previous, Input: []byte(input), Output: []byte(output), Retention: testRetention,
	})
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[id] = endedTurn{text: before + input + output, program: program, at: time.Now()}
	c.order = append(c.order, id)
	return id, nil
}

// lookUp requests a conversation from an instance and checks the result.
func (c *cluster) lookUp(ctx context.Context, n *node, program, turn string) (string, error) {
	if turn == "" {
		return "", nil
	}
	c.mu.Lock()
	want, exists := c.ended[turn]
	c.mu.Unlock()
	got, err := n.manager.History(ctx, program, turn)
	switch {
	case err == nil && string(got) != want.text && exists:
		c.t.Errorf("turn %s at %s: got %q, want %q", turn, n.ID, got, want.text)
	case errors.Is(err, serve.ErrTurnNotFound) && exists && time.Since(want.at) < testRetention:
		c.t.Errorf("turn %s of %s, ended %s ago, is unknown at %s", turn, want.program, time.Since(want.at), n.ID)
	}
	return string(got), err
}

// mustTurn is turn for times without faults.
func (c *cluster) mustTurn(n *node, program, previous string) string {
	c.t.Helper()
	id, err := c.turn(n, program, previous, 3*time.Second)
	if err != nil {
		c.t.Fatalf("turn of program %s at %s after turn %q: %v", program, n.ID, previous, err)
	}
	return id
}

// mustLookUp is lookUp for times without faults.
func (c *cluster) mustLookUp(n *node, program, turn string) {
	c.t.Helper()
	if _, err := c.lookUp(c.t.Context(), n, program, turn); err != nil {
		c.t.Errorf("turn %s at %s: %v", turn, n.ID, err)
	}
}

// randomEndedTurn picks a recently acknowledged turn, or returns "" if there is
// none.
func (c *cluster) randomEndedTurn(r *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.order) == 0 {
		return ""
	}
	newest := c.order[max(len(c.order)-40, 0):]
	return newest[r.IntN(len(newest))]
}

// others lists the running instances except some.
func (c *cluster) others(but ...*node) []*node {
	return slices.DeleteFunc(c.running(), func(n *node) bool { return slices.Contains(but, n) })
}
