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

// testPartitions is few, so that partitions change owners often.
const testPartitions = 3

// world is some instances with a store and a network, in virtual time.
type world struct {
	*simnet.Net
	lives simnet.Lives[*node]
	t     *testing.T
	// listed tells whether instances that start know the list of instances.
	listed func() bool

	mu sync.Mutex
	// delivered is what the callers of each program received, in tokens.
	delivered map[string]int
}

// node is one life of an instance.
type node struct {
	*simnet.Node
	keeper *Manager
	breaks breakList
}

// breakList is a Breaks that lists targets by their names alone.
type breakList struct {
	mu    sync.Mutex
	names []string
}

func (b *breakList) Breaks(time.Time) []structs.TargetBreak {
	b.mu.Lock()
	defer b.mu.Unlock()
	var breaks []structs.TargetBreak
	for _, name := range b.names {
		breaks = append(breaks, structs.TargetBreak{Target: name})
	}
	return breaks
}

// LoadReports, OwnLoadReports and MergeLoadReports make it a Loads that holds none.
func (b *breakList) LoadReports(time.Time) []structs.TargetReport       { return nil }
func (b *breakList) OwnLoadReports(time.Time) []structs.TargetReport    { return nil }
func (b *breakList) PoolReports(time.Time) []structs.PoolReport         { return nil }
func (b *breakList) MergePoolReports([]structs.PoolReport, time.Time)   {}
func (b *breakList) MergeLoadReports([]structs.TargetReport, time.Time) {}

func (b *breakList) MergeBreaks(breaks []structs.TargetBreak, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, heard := range breaks {
		if !slices.Contains(b.names, heard.Target) {
			b.names = append(b.names, heard.Target)
		}
	}
}

func newWorld(t *testing.T) *world {
	return &world{
		Net: simnet.New(), t: t,
		delivered: make(map[string]int),
	}
}

// start starts an instance on a machine and lists it at all others.
func (w *world) start(machine string) *node { return w.lives.Of(w.Start(machine, w.run)) }

// run starts a life of an instance.
func (w *world) run(ctx context.Context, sim *simnet.Node) func(structs.Event) {
	n := &node{Node: sim}
	n.keeper = New(ctx, Config{
		Directory: sim.Directory, Partitions: testPartitions, Store: sim.Store(), Peers: sim, Breaks: &n.breaks, Loads: &n.breaks,
		Health: sim, Listed: w.listed, Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	w.lives.Put(sim, n)
	w.Work.Go(func() { n.keeper.Run(ctx) })
	return n.keeper.Receive
}

// loseAll kills all instances at the same time and starts them again.
func (w *world) loseAll() {
	nodes := w.all()
	for _, n := range nodes {
		w.Kill(n.Node)
	}
	for _, n := range nodes {
		w.start(n.Machine())
	}
}

// all lists the instances that live.
func (w *world) all() []*node { return w.lives.All(w.Net) }

// turn runs a turn of a program at an instance: it takes room, and its caller
// receives some tokens.
func (w *world) turn(n *node, program string, budget, most, used int, runs time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	lease, err := n.keeper.Reserve(ctx, serve.Turn{Program: program, Budget: budget, MaxTokens: most, Retention: time.Minute})
	if err != nil {
		return err
	}
	time.Sleep(runs)
	w.mu.Lock()
	w.delivered[program] += used
	w.mu.Unlock()
	lease.Settle(serve.TurnResult{UsedTokens: used})
	return nil
}

// ownerOf is the instance that owns a program's partition, nil if none does.
func (w *world) ownerOf(program string) *node {
	for _, n := range w.all() {
		k := n.keeper
		k.mu.Lock()
		own := k.partitionOf(program).own
		k.mu.Unlock()
		if own != nil {
			return n
		}
	}
	return nil
}
