package budget

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// testPartitions is few, so that partitions change owners often.
const testPartitions = 3

// linkTime is how long a message is on its way.
const linkTime = time.Millisecond

// world is some instances with a store and a network, in virtual time.
type world struct {
	t     *testing.T
	store *metastore.Memory

	mu    sync.Mutex
	nodes map[structs.InstanceID]*node
	// cut holds the instances whose messages are lost both ways, mute those
	// whose own are lost while they receive what others send.
	cut   map[structs.InstanceID]bool
	mute  map[structs.InstanceID]bool
	lives int
	// stopping tells that no more instances are started.
	stopping bool
	work     sync.WaitGroup

	// delivered is what the callers of each program received, in tokens.
	delivered map[string]int
}

// node is one life of an instance.
type node struct {
	keeper *Keeper
	world  *world
	id     structs.InstanceID
	cancel context.CancelFunc
	// refused tells that the store refuses this instance's calls.
	refused atomic.Bool
	// feedsFail tells that reads of other topics fail.
	feedsFail atomic.Bool
	inbox     chan structs.Event
	breaks    breakList
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

func (b *breakList) Hear(breaks []structs.TargetBreak, _ time.Time) {
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
		t: t, store: metastore.NewMemory(),
		nodes: make(map[structs.InstanceID]*node), cut: make(map[structs.InstanceID]bool),
		mute:      make(map[structs.InstanceID]bool),
		delivered: make(map[string]int),
	}
}

// start starts an instance on a machine and lists it at all others.
func (w *world) start(machine string) *node {
	w.mu.Lock()
	w.lives++
	id := directory.InstanceID(machine, fmt.Sprint(w.lives))
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{world: w, id: id, cancel: cancel, inbox: make(chan structs.Event, 10000)}
	dir := directory.New(structs.Peer{ID: id, Address: machine})
	n.keeper = New(ctx, Parts{
		Directory: dir, Partitions: testPartitions, Store: nodeStore{n}, Peers: n, Breaks: &n.breaks, Health: n,
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	w.mu.Lock()
	others := slices.Collect(maps.Values(w.nodes))
	w.nodes[id] = n
	w.mu.Unlock()
	for _, other := range others {
		dir.Put(structs.Peer{ID: other.id, Address: directory.MachineOf(other.id)})
		other.keeper.directory.Put(structs.Peer{ID: id, Address: machine})
	}
	w.work.Go(func() { n.keeper.Run(ctx) })
	w.work.Go(func() { n.receive(ctx) })
	return n
}

func (n *node) receive(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-n.inbox:
			n.keeper.Receive(event)
		}
	}
}

// restart kills an instance and starts another on its machine, unless the
// world stops or the instance is dead already.
func (w *world) restart(n *node) {
	w.mu.Lock()
	_, alive := w.nodes[n.id]
	alive = alive && !w.stopping
	w.mu.Unlock()
	if alive {
		w.kill(n)
		w.start(machineOf(n))
	}
}

// kill ends an instance; the others notice.
func (w *world) kill(n *node) {
	w.mu.Lock()
	delete(w.nodes, n.id)
	others := slices.Collect(maps.Values(w.nodes))
	w.mu.Unlock()
	n.cancel()
	for _, other := range others {
		other.inbox <- structs.PeerDown{Peer: n.id}
	}
}

// stop ends all instances.
func (w *world) stop() {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	w.store.Set(metastore.Fault{})
	for _, n := range w.all() {
		w.kill(n)
	}
	w.work.Wait()
	w.store.Work.Wait()
}

func (w *world) all() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	nodes := slices.Collect(maps.Values(w.nodes))
	slices.SortFunc(nodes, func(a, b *node) int { return slices.Compare([]byte(a.id), []byte(b.id)) })
	return nodes
}

// Send implements Peers.
func (n *node) Send(to structs.InstanceID, msg structs.Message) {
	n.world.work.Go(func() {
		time.Sleep(linkTime)
		n.world.mu.Lock()
		target, ok := n.world.nodes[to]
		ok = ok && !n.world.cut[to] && !n.world.cut[n.id] && !n.world.mute[n.id]
		n.world.mu.Unlock()
		if !ok {
			n.inbox <- structs.PeerDown{Peer: to}
			return
		}
		target.inbox <- structs.PeerMessage{From: n.id, Msg: msg}
	})
}

// Probe implements Peers.
func (n *node) Probe(to structs.InstanceID) {
	n.world.mu.Lock()
	_, ok := n.world.nodes[to]
	ok = ok && !n.world.cut[to] && !n.world.cut[n.id]
	n.world.mu.Unlock()
	if ok {
		n.inbox <- structs.PeerUp{Peer: to}
		return
	}
	n.inbox <- structs.PeerDown{Peer: to}
}

// Watch implements Peers.
func (n *node) Watch([]structs.InstanceID) {}

// OK implements Health.
func (n *node) OK() bool { return !n.refused.Load() && !n.feedsFail.Load() }

// nodeStore is the store as one instance reaches it.
type nodeStore struct{ node *node }

func (s nodeStore) Append(ctx context.Context, a platform.Append) (int64, error) {
	if s.node.refused.Load() {
		return 0, platform.ErrBusy
	}
	return s.node.world.store.Append(ctx, a)
}

func (s nodeStore) Newest(ctx context.Context, topic string, part int) (platform.Newest, error) {
	if s.node.refused.Load() {
		return platform.Newest{}, platform.ErrBusy
	}
	return s.node.world.store.Newest(ctx, topic, part)
}

// turn runs a turn of a program at an instance: it takes room, and its caller
// receives some tokens.
func (w *world) turn(n *node, program string, budget, most, used int, runs time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	lease, err := n.keeper.Reserve(ctx, serve.Turn{Program: program, Budget: budget, Most: most, Retention: time.Minute})
	if err != nil {
		return err
	}
	time.Sleep(runs)
	w.mu.Lock()
	w.delivered[program] += used
	w.mu.Unlock()
	lease.Settle(used)
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

// anyNode chooses an instance.
func anyNode(r *rand.Rand, nodes []*node) *node { return nodes[r.IntN(len(nodes))] }

// machineOf is the machine that an instance runs on.
func machineOf(n *node) string { return directory.MachineOf(n.id) }

// cutFor cuts an instance off the others for a while, or only what it sends.
// They notice, and so does it.
func (w *world) cutFor(n *node, cut map[structs.InstanceID]bool, d time.Duration) {
	w.mu.Lock()
	cut[n.id] = true
	w.mu.Unlock()
	for _, other := range w.all() {
		if other != n {
			other.inbox <- structs.PeerDown{Peer: n.id}
			n.inbox <- structs.PeerDown{Peer: other.id}
		}
	}
	w.work.Go(func() {
		time.Sleep(d)
		w.mu.Lock()
		delete(cut, n.id)
		w.mu.Unlock()
		for _, other := range w.all() {
			if other != n {
				other.inbox <- structs.PeerUp{Peer: n.id}
				n.inbox <- structs.PeerUp{Peer: other.id}
			}
		}
	})
}
