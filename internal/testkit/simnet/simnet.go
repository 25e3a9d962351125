// Package simnet simulates a network of instances in virtual time, for tests in
// a synctest bubble. Instances can be killed, restarted, powered off and
// isolated.
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

// LinkLatency is the time from the send of a message to its delivery.
const LinkLatency = time.Millisecond

// DetectionDelay is the time until the failure of a powered-off instance is
// detected: from the failure by instances that watch it, from their next message
// to it by all others.
const DetectionDelay = 600 * time.Millisecond

// inboxSize is the capacity of an instance's event queue; a full queue blocks
// the sender.
const inboxSize = 10000

// Isolation is a kind of network fault of one instance; 0 is none.
type Isolation uint8

// Kinds of isolation.
const (
	// IsolateBoth drops all messages to and from the instance.
	IsolateBoth Isolation = iota + 1
	// IsolateOutbound drops the messages that the instance sends.
	IsolateOutbound
)

// Net is a set of instances connected to each other and to a store.
type Net struct {
	Store *metastore.Memory
	// Background counts the goroutines that Stop waits for.
	Background sync.WaitGroup
	// DiscoveryDelay returns the time until an instance lists a newly started one;
	// nil for no delay. It must be set before the first Start.
	DiscoveryDelay func() time.Duration

	mu         sync.Mutex
	nodes      map[structs.InstanceID]*Node
	isolated   map[structs.InstanceID]Isolation
	poweredOff map[structs.InstanceID]bool
	// started counts the starts; it makes each incarnation's id unique.
	started int
	// stopping makes Restart do nothing.
	stopping bool
}

// Run starts the code under test of an instance, which runs until the context
// ends, and returns the handler of its events.
type Run func(ctx context.Context, n *Node) (receive func(structs.Event))

// Node is one incarnation of an instance. It implements the instance's transport
// and store health.
type Node struct {
	ID        structs.InstanceID
	Directory *directory.Directory
	// StoreRefused makes the store refuse this instance's calls.
	StoreRefused atomic.Bool
	// StoreUnresponsive makes its calls to the store hang without effect.
	StoreUnresponsive atomic.Bool
	// FeedsFail makes OK return false, as after a failed read of a topic, while
	// calls to the store succeed.
	FeedsFail atomic.Bool

	watched atomic.Pointer[[]structs.InstanceID]

	net    *Net
	run    Run
	cancel context.CancelFunc
	inbox  chan structs.Event
}

// New returns a Net without instances.
func New() *Net {
	return &Net{
		Store: metastore.NewMemory(),
		nodes: make(map[structs.InstanceID]*Node), isolated: make(map[structs.InstanceID]Isolation),
		poweredOff: make(map[structs.InstanceID]bool),
	}
}

// Start starts an instance on a machine and adds it to the directories of all
// others.
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

// list adds an instance to the directory of another one after DiscoveryDelay.
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

// Restart kills an instance and starts a new incarnation on its machine. It does
// nothing if the Net is stopping or the instance has ended.
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

// Kill ends an instance. All others receive PeerDown at once.
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

// PowerOff ends an instance without notice. Instances that watch it receive
// PeerDown after DetectionDelay, the others when they next send to it.
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

// detectionDelay returns the time until the sender of a message to an
// unreachable instance receives PeerDown.
func (net *Net) detectionDelay(to structs.InstanceID) time.Duration {
	net.mu.Lock()
	defer net.mu.Unlock()
	if net.poweredOff[to] {
		return DetectionDelay
	}
	return 0
}

// Stop clears the store's fault, ends all instances and waits for all background
// work.
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

// Nodes returns the running instances in the order of their ids.
func (net *Net) Nodes() []*Node {
	net.mu.Lock()
	defer net.mu.Unlock()
	nodes := slices.Collect(maps.Values(net.nodes))
	slices.SortFunc(nodes, func(a, b *Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// SetIsolation isolates an instance, or ends its isolation if it is 0. No
// instance receives an event.
func (net *Net) SetIsolation(id structs.InstanceID, isolation Isolation) {
	net.mu.Lock()
	defer net.mu.Unlock()
	if isolation == 0 {
		delete(net.isolated, id)
		return
	}
	net.isolated[id] = isolation
}

// IsolateFor isolates an instance for a time. The instance and all others receive
// PeerDown at the start and PeerUp at the end.
func (net *Net) IsolateFor(n *Node, isolation Isolation, d time.Duration) {
	net.SetIsolation(n.ID, isolation)
	net.notify(n, func(peer structs.InstanceID) structs.Event { return structs.PeerDown{Peer: peer} })
	net.Background.Go(func() {
		time.Sleep(d)
		net.SetIsolation(n.ID, 0)
		net.notify(n, func(peer structs.InstanceID) structs.Event { return structs.PeerUp{Peer: peer} })
	})
}

// notify posts an event about node to all others, and about each of them to
// node.
func (net *Net) notify(node *Node, event func(structs.InstanceID) structs.Event) {
	for _, other := range net.Nodes() {
		if other != node {
			other.Post(event(node.ID))
			node.Post(event(other.ID))
		}
	}
}

// Machine returns the machine on which the instance runs.
func (n *Node) Machine() string { return directory.MachineOf(n.ID) }

// Post queues an event for the instance.
func (n *Node) Post(event structs.Event) { n.inbox <- event }

// Send delivers a message after LinkLatency. If the target cannot be reached, the
// sender receives PeerDown instead.
func (n *Node) Send(to structs.InstanceID, msg structs.Message) { n.TrySend(to, msg) }

// TrySend is Send: all instances are connected.
func (n *Node) TrySend(to structs.InstanceID, msg structs.Message) bool {
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
	return true
}

// Broadcast sends a message to all other running instances.
func (n *Node) Broadcast(msg structs.Message) {
	for _, other := range n.net.Nodes() {
		if other != n {
			n.Send(other.ID, msg)
		}
	}
}

// Probe posts PeerUp or PeerDown to n, depending on whether the instance can be
// reached.
func (n *Node) Probe(to structs.InstanceID) {
	if _, ok := n.reachable(to); ok {
		n.Post(structs.PeerUp{Peer: to})
		return
	}
	n.Post(structs.PeerDown{Peer: to})
}

// Watch sets the instances that n watches, which matters for PowerOff only:
// kills and isolation are posted to all.
func (n *Node) Watch(peers []structs.InstanceID) {
	n.watched.Store(&peers)
}

// Watched returns the instances that n watches.
func (n *Node) Watched() []structs.InstanceID {
	if peers := n.watched.Load(); peers != nil {
		return *peers
	}
	return nil
}

// OK reports whether the store is available to this instance.
func (n *Node) OK() bool { return !n.StoreRefused.Load() && !n.FeedsFail.Load() }

// reachable returns a running instance and whether n can reach it.
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

// Store returns the instance's client of the store.
func (n *Node) Store() Store { return Store{n} }

// Store is one instance's client of the store. It applies the node's faults to
// each call.
type Store struct{ node *Node }

// injectFault applies the node's faults to a call: it blocks or returns an error.
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

// NewestPage reads one page of the newest records, with keys greater than after.
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

// Trim drops the records before an offset.
func (s Store) Trim(ctx context.Context, topic string, part int, before int64) error {
	if err := s.injectFault(ctx); err != nil {
		return err
	}
	return s.node.net.Store.Trim(ctx, topic, part, before)
}
