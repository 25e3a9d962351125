package budget

import (
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
	lives simnet.NodeValues[*node]
	t     *testing.T
	// listed reports whether a starting instance knows the list of instances.
	listed func() bool

	mu sync.Mutex
	// delivered is the number of tokens that callers received, by program.
	delivered map[string]int
}

// node is one incarnation of an instance.
type node struct {
	*simnet.Node
	manager *Manager
	breaks  breakList
}

// breakList implements Breaks with target names only.
type breakList struct {
	mu    sync.Mutex
	names []string
}

func (b *breakList) TargetFailures(time.Time) []structs.TargetFailure {
	b.mu.Lock()
	defer b.mu.Unlock()
	var breaks []structs.TargetFailure
	for _, name := range b.names {
		breaks = append(breaks, structs.TargetFailure{Target: name})
	}
	return breaks
}

// The other methods implement Loads without any reports.
func (b *breakList) LoadReports(time.Time) []structs.TargetReport       { return nil }
func (b *breakList) OwnLoadReports(time.Time) []structs.TargetReport    { return nil }
func (b *breakList) PoolReports(time.Time) []structs.PoolReport         { return nil }
func (b *breakList) MergePoolReports([]structs.PoolReport, time.Time)   {}
func (b *breakList) MergeLoadReports([]structs.TargetReport, time.Time) {}

func (b *breakList) MergeTargetFailures(breaks []structs.TargetFailure, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, received := range breaks {
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
func (c *cluster) start(machine string) *node { return c.lives.Get(c.Start(machine, c.run)) }

// run starts an incarnation of an instance.
func (c *cluster) run(ctx context.Context, sim *simnet.Node) func(structs.Event) {
	n := &node{Node: sim}
	n.manager = New(ctx, Config{
		Directory: sim.Directory, Partitions: testPartitions, Store: sim.Store(), Peers: sim, Breaks: &n.breaks, Loads: &n.breaks,
		Health: sim, Listed: c.listed, Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	c.lives.Put(sim, n)
	c.Background.Go(func() { n.manager.Run(ctx) })
	return n.manager.Receive
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
func (c *cluster) all() []*node { return c.lives.All(c.Net) }

// turn runs a turn of a program at an instance, delivering used tokens.
func (c *cluster) turn(n *node, program string, budget, maxTurn, used int, runs time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	lease, err := n.manager.Reserve(ctx, serve.Turn{Program: program, Budget: budget, MaxTokens: maxTurn, Retention: time.Minute})
	if err != nil {
		return err
	}
	time.Sleep(runs)
	c.mu.Lock()
	c.delivered[program] += used
	c.mu.Unlock()
	lease.Settle(serve.TurnResult{UsedTokens: used})
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
