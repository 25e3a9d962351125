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

	mu       sync.Mutex
	nodes    map[structs.InstanceID]*Node
	isolated map[structs.InstanceID]Isolation
	// poweredOff are the instances that lost power.
	poweredOff map[structs.InstanceID]bool
	started    int
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
		nodes: make(map[structs.InstanceID]*Node), isolated: make(map[structs.InstanceID]Isolation),
		poweredOff: make(map[structs.InstanceID]bool),
	}
}

// Start starts an instance on a machine and lists it at all others.
func (net *Net) Start(machine string, run Run) *Node {
	net.mu.Lock()
	net.started++
	id := directory.InstanceID(machine, fmt.Sprint(net.started))
	net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		ID: id, Directory: directory.New(structs.Peer{ID: id, Address: machine}),
		net: net, run: run, cancel: cancel, inbox: make(chan structs.Event, inboxSize),
	}
	receive := run(ctx, n)
	net.mu.Lock()
	others := slices.Collect(maps.Values(net.nodes))
	net.nodes[id] = n
	net.mu.Unlock()
	for _, other := range others {
		net.list(n, other)
		net.list(other, n)
	}
	net.Background.Go(func() {
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
func (net *Net) list(at, listed *Node) {
	peer := structs.Peer{ID: listed.ID, Address: listed.Machine()}
	if net.DiscoveryDelay == nil {
		at.Directory.Put(peer)
		return
	}
	delay := net.DiscoveryDelay()
	net.Background.Go(func() {
		time.Sleep(delay)
		at.Directory.Put(peer)
	})
}

// Restart kills an instance and starts another on its machine, unless the Net
// stops or the instance is dead already.
func (net *Net) Restart(n *Node) {
	net.mu.Lock()
	_, alive := net.nodes[n.ID]
	alive = alive && !net.stopping
	net.mu.Unlock()
	if alive {
		net.Kill(n)
		net.Start(n.Machine(), n.run)
	}
}

// Kill ends an instance; the others notice.
func (net *Net) Kill(n *Node) {
	net.mu.Lock()
	delete(net.nodes, n.ID)
	others := slices.Collect(maps.Values(net.nodes))
	net.mu.Unlock()
	n.cancel()
	for _, other := range others {
		other.Post(structs.PeerDown{Peer: n.ID})
	}
}

// PowerOff ends an instance without a word: those that watch it notice after
// DetectionDelay, the others when they send to it.
func (net *Net) PowerOff(n *Node) {
	net.mu.Lock()
	delete(net.nodes, n.ID)
	net.poweredOff[n.ID] = true
	net.mu.Unlock()
	n.cancel()
	net.Background.Go(func() {
		time.Sleep(DetectionDelay)
		for _, other := range net.Nodes() {
			if slices.Contains(other.Watched(), n.ID) {
				other.Post(structs.PeerDown{Peer: n.ID})
			}
		}
	})
}

// detectionDelay is how long a message to an instance goes without a word of its loss.
func (net *Net) detectionDelay(to structs.InstanceID) time.Duration {
	net.mu.Lock()
	defer net.mu.Unlock()
	if net.poweredOff[to] {
		return DetectionDelay
	}
	return 0
}

// Stop ends all instances and waits for what goes on in the background.
func (net *Net) Stop() {
	net.mu.Lock()
	net.stopping = true
	net.mu.Unlock()
	net.Store.Set(metastore.Fault{})
	for _, n := range net.Nodes() {
		net.Kill(n)
	}
	net.Background.Wait()
	net.Store.DelayedWrites.Wait()
}

// Nodes lists the instances that live, in the order of their ids.
func (net *Net) Nodes() []*Node {
	net.mu.Lock()
	defer net.mu.Unlock()
	nodes := slices.Collect(maps.Values(net.nodes))
	slices.SortFunc(nodes, func(a, b *Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// SetIsolation cuts an instance off, or ends its cut if how is 0. Nobody is told.
func (net *Net) SetIsolation(id structs.InstanceID, isolation Isolation) {
	net.mu.Lock()
	defer net.mu.Unlock()
	if isolation == 0 {
		delete(net.isolated, id)
		return
	}
	net.isolated[id] = isolation
}

// IsolateFor cuts an instance off for a while. The others notice, and so does it.
func (net *Net) IsolateFor(n *Node, isolation Isolation, d time.Duration) {
	net.SetIsolation(n.ID, isolation)
	net.notify(n, func(peer structs.InstanceID) structs.Event { return structs.PeerDown{Peer: peer} })
	net.Background.Go(func() {
		time.Sleep(d)
		net.SetIsolation(n.ID, 0)
		net.notify(n, func(peer structs.InstanceID) structs.Event { return structs.PeerUp{Peer: peer} })
	})
}

// notify posts an event about an instance to all others, and about them to it.
func (net *Net) notify(node *Node, event func(structs.InstanceID) structs.Event) {
	for _, other := range net.Nodes() {
		if other != node {
			other.Post(event(node.ID))
			node.Post(event(other.ID))
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
		target, ok := n.reachable(to)
		if !ok || n.net.isolationOf(n.ID) == IsolateOutbound {
			time.Sleep(n.net.detectionDelay(to))
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
	if _, ok := n.reachable(to); ok {
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

// reachable finds an instance to which there is a path.
func (n *Node) reachable(to structs.InstanceID) (*Node, bool) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	target, ok := n.net.nodes[to]
	return target, ok && n.net.isolated[to] != IsolateBoth && n.net.isolated[n.ID] != IsolateBoth
}

func (net *Net) isolationOf(id structs.InstanceID) Isolation {
	net.mu.Lock()
	defer net.mu.Unlock()
	return net.isolated[id]
}

// Store is the store as the instance reaches it.
func (n *Node) Store() Store { return Store{n} }

// Store refuses the calls of an instance that it was told to refuse.
type Store struct{ node *Node }

// injectFault is what befalls a call on the way to the store.
func (s Store) injectFault(ctx context.Context) error {
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
	if err := s.injectFault(ctx); err != nil {
		return 0, err
	}
	return s.node.net.Store.Append(ctx, a)
}

// Newest reads the newest record of each key.
func (s Store) Newest(ctx context.Context, topic string, part int) (platform.Newest, error) {
	if err := s.injectFault(ctx); err != nil {
		return platform.Newest{}, err
	}
	return s.node.net.Store.Newest(ctx, topic, part)
}

// NewestPage reads one page of the newest records.
func (s Store) NewestPage(ctx context.Context, topic string, part int, after string) (platform.Newest, bool, error) {
	if err := s.injectFault(ctx); err != nil {
		return platform.Newest{}, false, err
	}
	return s.node.net.Store.NewestPage(ctx, topic, part, after)
}

// ReadPage reads records from an offset on.
func (s Store) ReadPage(ctx context.Context, topic string, part int, from int64, wait time.Duration) (platform.Page, error) {
	if err := s.injectFault(ctx); err != nil {
		return platform.Page{Next: from}, err
	}
	return s.node.net.Store.ReadPage(ctx, topic, part, from, wait)
}

// Trim drops history.
func (s Store) Trim(ctx context.Context, topic string, part int, before int64) error {
	if err := s.injectFault(ctx); err != nil {
		return err
	}
	return s.node.net.Store.Trim(ctx, topic, part, before)
}
