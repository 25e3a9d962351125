package budget

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

// testPartitions is small, so that partitions change owners often.
const testPartitions = 3

// cluster simulates instances with a store and a network, in virtual time.
type cluster struct {
	*simnet.Net
	nodes simnet.NodeValues[*node]
	t     *testing.T
	// instancesLoaded reports whether a starting instance knows the list of instances.
	instancesLoaded func() bool

	mu sync.Mutex
	// lifetimes are those of the routes in force.
	lifetimes Lifetimes
	// delivered is the number of tokens that callers received, by program.
	delivered map[string]int
}

// node is one incarnation of an instance.
type node struct {
	*simnet.Node
	manager  *Manager
	failures failureList
}

// failureList implements TargetFailures with target names only.
type failureList struct {
	mu    sync.Mutex
	names []string
}

func (b *failureList) TargetFailures(time.Time) []structs.TargetFailure {
	b.mu.Lock()
	defer b.mu.Unlock()
	var failures []structs.TargetFailure
	for _, name := range b.names {
		failures = append(failures, structs.TargetFailure{Target: name})
	}
	return failures
}

// The other methods implement Loads without any reports.
func (b *failureList) LoadReports(time.Time) []structs.TargetReport       { return nil }
func (b *failureList) OwnLoadReports(time.Time) []structs.TargetReport    { return nil }
func (b *failureList) PoolReports(time.Time) []structs.PoolReport         { return nil }
func (b *failureList) MergePoolReports([]structs.PoolReport, time.Time)   {}
func (b *failureList) MergeLoadReports([]structs.TargetReport, time.Time) {}

func (b *failureList) MergeTargetFailures(failures []structs.TargetFailure, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, received := range failures {
		if !slices.Contains(b.names, received.Target) {
			b.names = append(b.names, received.Target)
		}
	}
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		Net: simnet.New(), t: t,
		delivered: make(map[string]int),
	}
}

// start starts an instance on a machine and lists it at all others.
func (c *cluster) start(machine string) *node { return c.nodes.Get(c.Start(machine, c.run)) }

// run starts an incarnation of an instance.
func (c *cluster) run(ctx context.Context, sim *simnet.Node) func(structs.Event) {
	n := &node{Node: sim}
	n.manager = New(ctx, Config{
		Directory: sim.Directory, Partitions: testPartitions, Store: sim.Store(), Peers: sim, TargetFailures: &n.failures, Loads: &n.failures,
		Health: sim, InstancesLoaded: c.instancesLoaded, Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	n.manager.ExtendLifetimes(c.currentLifetimes())
	c.nodes.Put(sim, n)
	c.Background.Go(func() { n.manager.Run(ctx) })
	return n.manager.Receive
}

func (c *cluster) currentLifetimes() Lifetimes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lifetimes
}

// setLifetimes sets the lifetimes of instances that start from now on.
func (c *cluster) setLifetimes(lifetimes Lifetimes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifetimes = lifetimes
}

// restartAll kills all instances at once and starts them again.
func (c *cluster) restartAll() {
	nodes := c.all()
	for _, n := range nodes {
		c.Kill(n.Node)
	}
	for _, n := range nodes {
		c.start(n.Machine())
	}
}

// all lists the running instances.
func (c *cluster) all() []*node { return c.nodes.All(c.Net) }

// turn runs a turn of a program at an instance, delivering used tokens.
func (c *cluster) turn(n *node, program string, budget, maxTurn, used int, duration time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	lifetimes := c.currentLifetimes()
	lease, err := n.manager.Reserve(ctx, serve.Turn{
		Program: program, Budget: budget, MaxTokens: maxTurn,
		Retention: cmp.Or(lifetimes.Retention, time.Minute), TimeLeft: lifetimes.Turn,
	})
	if err != nil {
		return err
	}
	time.Sleep(duration)
	c.mu.Lock()
	c.delivered[program] += used
	c.mu.Unlock()
	if n.manager.ctx.Err() == nil {
		// An instance that was killed meanwhile settles nothing.
		lease.Settle(serve.TurnResult{UsedTokens: used})
	}
	return nil
}

// ownerOf returns the owner of a program's partition, nil if there is none.
func (c *cluster) ownerOf(program string) *node {
	for _, n := range c.all() {
		m := n.manager
		m.mu.Lock()
		own := m.partitionOf(program).own
		m.mu.Unlock()
		if own != nil {
			return n
		}
	}
	return nil
}
