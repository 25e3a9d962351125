// Package simnet is instances that exchange messages in virtual time, for tests
// within a synctest bubble. Instances are killed, restarted and cut off; all
// others notice.
package simnet

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// LinkLatency is how long a message is on its way.
const LinkLatency = time.Millisecond

// DetectionDelay is how long an instance without power goes unnoticed: by those that
// watch it from its loss on, by the others from their next message on.
const DetectionDelay = 600 * time.Millisecond

// inboxSize bounds the events that wait at an instance; tests stay below it.
const inboxSize = 10000

// Isolation is how an instance is cut off.
type Isolation uint8

// Kinds of cuts.
const (
	// IsolateBoth loses all messages to and from the instance.
	IsolateBoth Isolation = iota + 1
	// IsolateOutbound loses those that it sends, while it receives what others send.
	IsolateOutbound
)

// Net is instances with the links between them and to a store.
type Net struct {
	Store *metastore.Memory
	// Background counts what goes on in the background.
	Background sync.WaitGroup
	// DiscoveryDelay is how long it takes until an instance hears of another's start;
	// nil for no time. It is set before the first start.
	DiscoveryDelay func() time.Duration

	mu    sync.Mutex
	nodes map[structs.InstanceID]*Node
	cut   map[structs.InstanceID]Isolation
	// dark are the instances that lost power.
	dark  map[structs.InstanceID]bool
	lives int
	// stopping tells that no more instances are started.
	stopping bool
}

// Run starts the work of an instance, which goes on until the context ends, and
// returns what receives its events.
type Run func(ctx context.Context, n *Node) (receive func(structs.Event))

// Node is one life of an instance. It is the instance's transport and health.
type Node struct {
	ID        structs.InstanceID
	Directory *directory.Directory
	// StoreRefused tells that the store refuses this instance's calls.
	StoreRefused atomic.Bool
	// StoreUnresponsive tells that its calls get no answer and do nothing.
	StoreUnresponsive atomic.Bool
	// FeedsFail tells that its reads of other topics fail.
	FeedsFail atomic.Bool

	watched atomic.Pointer[[]structs.InstanceID]

	net    *Net
	run    Run
	cancel context.CancelFunc
	inbox  chan structs.Event
}

// New makes a Net without instances.
func New() *Net {
	return &Net{
		Store: metastore.NewMemory(),
		nodes: make(map[structs.InstanceID]*Node), cut: make(map[structs.InstanceID]Isolation),
		dark: make(map[structs.InstanceID]bool),
	}
}

// Start starts an instance on a machine and lists it at all others.
func (w *Net) Start(machine string, run Run) *Node {
	w.mu.Lock()
	w.lives++
	id := directory.InstanceID(machine, fmt.Sprint(w.lives))
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		ID: id, Directory: directory.New(structs.Peer{ID: id, Address: machine}),
		net: w, run: run, cancel: cancel, inbox: make(chan structs.Event, inboxSize),
	}
	receive := run(ctx, n)
	w.mu.Lock()
	others := slices.Collect(maps.Values(w.nodes))
	w.nodes[id] = n
	w.mu.Unlock()
	for _, other := range others {
		w.list(n, other)
		w.list(other, n)
	}
	w.Background.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case event := <-n.inbox:
				receive(event)
			}
		}
	})
	return n
}

// list tells an instance of another one.
func (w *Net) list(at, listed *Node) {
	peer := structs.Peer{ID: listed.ID, Address: listed.Machine()}
	if w.DiscoveryDelay == nil {
		at.Directory.Put(peer)
		return
	}
	delay := w.DiscoveryDelay()
	w.Background.Go(func() {
		time.Sleep(delay)
		at.Directory.Put(peer)
	})
}

// Restart kills an instance and starts another on its machine, unless the Net
// stops or the instance is dead already.
func (w *Net) Restart(n *Node) {
	w.mu.Lock()
	_, alive := w.nodes[n.ID]
	alive = alive && !w.stopping
	w.mu.Unlock()
	if alive {
		w.Kill(n)
		w.Start(n.Machine(), n.run)
	}
}

// Kill ends an instance; the others notice.
func (w *Net) Kill(n *Node) {
	w.mu.Lock()
	delete(w.nodes, n.ID)
	others := slices.Collect(maps.Values(w.nodes))
	w.mu.Unlock()
	n.cancel()
	for _, other := range others {
		other.Post(structs.PeerDown{Peer: n.ID})
	}
}

// PowerOff ends an instance without a word: those that watch it notice after
// DetectionDelay, the others when they send to it.
func (w *Net) PowerOff(n *Node) {
	w.mu.Lock()
	delete(w.nodes, n.ID)
	w.dark[n.ID] = true
	w.mu.Unlock()
	n.cancel()
	w.Background.Go(func() {
		time.Sleep(DetectionDelay)
		for _, other := range w.Nodes() {
			if slices.Contains(other.Watched(), n.ID) {
				other.Post(structs.PeerDown{Peer: n.ID})
			}
		}
	})
}

// silence is how long a message to an instance goes without a word of its loss.
func (w *Net) silence(to structs.InstanceID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark[to] {
		return DetectionDelay
	}
	return 0
}

// Stop ends all instances and waits for what goes on in the background.
func (w *Net) Stop() {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	w.Store.Set(metastore.Fault{})
	for _, n := range w.Nodes() {
		w.Kill(n)
	}
	w.Background.Wait()
	w.Store.DelayedWrites.Wait()
}

// Nodes lists the instances that live, in the order of their ids.
func (w *Net) Nodes() []*Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	nodes := slices.Collect(maps.Values(w.nodes))
	slices.SortFunc(nodes, func(a, b *Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// SetIsolation cuts an instance off, or ends its cut if how is 0. Nobody is told.
func (w *Net) SetIsolation(id structs.InstanceID, how Isolation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if how == 0 {
		delete(w.cut, id)
		return
	}
	w.cut[id] = how
}

// IsolateFor cuts an instance off for a while. The others notice, and so does it.
func (w *Net) IsolateFor(n *Node, how Isolation, d time.Duration) {
	w.SetIsolation(n.ID, how)
	w.tell(n, func(peer structs.InstanceID) structs.Event { return structs.PeerDown{Peer: peer} })
	w.Background.Go(func() {
		time.Sleep(d)
		w.SetIsolation(n.ID, 0)
		w.tell(n, func(peer structs.InstanceID) structs.Event { return structs.PeerUp{Peer: peer} })
	})
}

// tell posts an event about an instance to all others, and about them to it.
func (w *Net) tell(n *Node, event func(structs.InstanceID) structs.Event) {
	for _, other := range w.Nodes() {
		if other != n {
			other.Post(event(n.ID))
			n.Post(event(other.ID))
		}
	}
}

// Machine is where the instance runs.
func (n *Node) Machine() string { return directory.MachineOf(n.ID) }

// Post gives the instance an event.
func (n *Node) Post(event structs.Event) { n.inbox <- event }

// Send sends a message, like the transport between instances.
func (n *Node) Send(to structs.InstanceID, msg structs.Message) {
	n.net.Background.Go(func() {
		time.Sleep(LinkLatency)
		target, ok := n.reach(to)
		if !ok || n.net.cutOf(n.ID) == IsolateOutbound {
			time.Sleep(n.net.silence(to))
			n.Post(structs.PeerDown{Peer: to})
			return
		}
		target.Post(structs.PeerMessage{From: n.ID, Msg: msg})
	})
}

// Broadcast sends a message to all others: each is taken for connected.
func (n *Node) Broadcast(msg structs.Message) {
	for _, other := range n.net.Nodes() {
		if other != n {
			n.Send(other.ID, msg)
		}
	}
}

// Probe asks an instance for a heartbeat.
func (n *Node) Probe(to structs.InstanceID) {
	if _, ok := n.reach(to); ok {
		n.Post(structs.PeerUp{Peer: to})
		return
	}
	n.Post(structs.PeerDown{Peer: to})
}

// Watch notes whom the instance watches; kills and cuts are told to all.
func (n *Node) Watch(peers []structs.InstanceID) {
	n.watched.Store(&peers)
}

// Watched lists whom the instance watches.
func (n *Node) Watched() []structs.InstanceID {
	if peers := n.watched.Load(); peers != nil {
		return *peers
	}
	return nil
}

// OK tells whether the store answers this instance.
func (n *Node) OK() bool { return !n.StoreRefused.Load() && !n.FeedsFail.Load() }

// reach finds an instance to which there is a path.
func (n *Node) reach(to structs.InstanceID) (*Node, bool) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	target, ok := n.net.nodes[to]
	return target, ok && n.net.cut[to] != IsolateBoth && n.net.cut[n.ID] != IsolateBoth
}

func (w *Net) cutOf(id structs.InstanceID) Isolation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[id]
}

// Store is the store as the instance reaches it.
func (n *Node) Store() Store { return Store{n} }

// Store refuses the calls of an instance that it was told to refuse.
type Store struct{ node *Node }

// fails is what befalls a call on the way to the store.
func (s Store) fails(ctx context.Context) error {
	if s.node.StoreUnresponsive.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if s.node.StoreRefused.Load() {
		return platform.ErrBusy
	}
	return nil
}

// Append appends records.
func (s Store) Append(ctx context.Context, a platform.Append) (int64, error) {
	if err := s.fails(ctx); err != nil {
		return 0, err
	}
	return s.node.net.Store.Append(ctx, a)
}

// Newest reads the newest record of each key.
func (s Store) Newest(ctx context.Context, topic string, part int) (platform.Newest, error) {
	if err := s.fails(ctx); err != nil {
		return platform.Newest{}, err
	}
	return s.node.net.Store.Newest(ctx, topic, part)
}

// NewestPage reads one page of the newest records.
func (s Store) NewestPage(ctx context.Context, topic string, part int, after string) (platform.Newest, bool, error) {
	if err := s.fails(ctx); err != nil {
		return platform.Newest{}, false, err
	}
	return s.node.net.Store.NewestPage(ctx, topic, part, after)
}

// ReadPage reads records from an offset on.
func (s Store) ReadPage(ctx context.Context, topic string, part int, from int64, wait time.Duration) (platform.Page, error) {
	if err := s.fails(ctx); err != nil {
		return platform.Page{Next: from}, err
	}
	return s.node.net.Store.ReadPage(ctx, topic, part, from, wait)
}

// Trim drops history.
func (s Store) Trim(ctx context.Context, topic string, part int, before int64) error {
	if err := s.fails(ctx); err != nil {
		return err
	}
	return s.node.net.Store.Trim(ctx, topic, part, before)
}
