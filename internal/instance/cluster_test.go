package instance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	testRegion            = structs.Region("lakes")
	netDelay              = time.Millisecond
	logDelay              = 2 * time.Millisecond
	pollInterval          = time.Second
	failureDetectionDelay = time.Second
)

var testStart = time.Unix(1_700_000_000, 0)

// cluster simulates instances with a virtual clock, a log, a membership list,
// targets and a network that delays, drops and partitions.
type cluster struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Time
	queue    eventQueue
	sequence int
	nodes    map[structs.InstanceID]*node
	ids      []structs.InstanceID
	// regions holds the regions of the instances outside testRegion.
	regions map[structs.InstanceID]structs.Region
	log     map[string][]wire.LogRecord
	// logDown makes the log unavailable. replyLossRate is the probability that
	// the reply of an append is lost.
	logDown       bool
	replyLossRate float64
	// sendDelay is the maximum time from a StartRun to the send.
	sendDelay time.Duration
	// readDelay is the additional delay of an instance's log reads.
	readDelay map[structs.InstanceID]time.Duration
	cutLinks  map[[2]structs.InstanceID]bool
	sends     []targetSend
	replies   map[structs.RequestID]func(structs.Outcome)
	trace     []string
	version   uint64
}

// targetSend is a request received by a target.
type targetSend struct {
	at   time.Time
	call *structs.Call
	run  structs.RunID
}

// node is one incarnation of an instance.
type node struct {
	cluster     *cluster
	id          structs.InstanceID
	incarnation int
	core        *Instance
	paused      bool
	dead        bool
	waiting     []structs.Event
	tails       map[string]uint64
	// generation invalidates previous polls of a stream.
	generation map[string]int
	watched    []structs.InstanceID
	wakeAt     time.Time
}

type timedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(timedEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newCluster(t testing.TB, seed uint64, instances int) *cluster {
	return newClusterInRegions(t, seed, instances, nil)
}

func newClusterInRegions(t testing.TB, seed uint64, instances int, regions map[structs.InstanceID]structs.Region) *cluster {
	c := &cluster{
		regions: regions,
		t:       t, rng: rand.New(rand.NewPCG(seed, 1)), now: testStart,
		nodes: map[structs.InstanceID]*node{}, log: map[string][]wire.LogRecord{},
		cutLinks: map[[2]structs.InstanceID]bool{}, readDelay: map[structs.InstanceID]time.Duration{},
		replies: map[structs.RequestID]func(structs.Outcome){},
	}
	for i := range instances {
		c.ids = append(c.ids, structs.InstanceID(fmt.Sprintf("i%d", i+1)))
	}
	for _, id := range c.ids {
		c.start(id)
	}
	c.runFor(100 * time.Millisecond)
	c.configure()
	return c
}

func (c *cluster) logf(format string, args ...any) {
	line := fmt.Sprintf("%9s ", c.now.Sub(testStart)) + fmt.Sprintf(format, args...)
	c.trace = append(c.trace, line)
}

func (c *cluster) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, timedEvent{at: c.now.Add(d), sequence: c.sequence, run: run})
}

func (c *cluster) runFor(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(timedEvent)
		c.now = next.at
		next.run()
	}
	c.now = end
}

func (c *cluster) start(id structs.InstanceID) {
	incarnation := 0
	if old := c.nodes[id]; old != nil {
		incarnation = old.incarnation + 1
	}
	cfg := structs.DefaultInstanceConfig(structs.Peer{ID: id, Region: c.regionOf(id)}, fmt.Sprint(incarnation))
	cfg.Shards = 4
	cfg.Seed = uint64(incarnation) + 7
	n := &node{cluster: c, id: id, incarnation: incarnation, core: New(cfg), tails: map[string]uint64{}, generation: map[string]int{}}
	c.nodes[id] = n
	n.tick(nil)
	n.pollMembers()
}

func (c *cluster) regionOf(id structs.InstanceID) structs.Region {
	if region, ok := c.regions[id]; ok {
		return region
	}
	return testRegion
}

func (c *cluster) kill(id structs.InstanceID) {
	c.logf("kill %s", id)
	c.nodes[id].dead = true
	c.after(failureDetectionDelay, func() { c.notifyDown(id) })
}

func (c *cluster) pause(id structs.InstanceID, d time.Duration) {
	n := c.nodes[id]
	c.logf("pause %s for %s", id, d)
	n.paused = true
	c.after(failureDetectionDelay, func() { c.notifyDown(id) })
	c.after(d, func() {
		c.logf("resume %s", id)
		n.paused = false
		events := n.waiting
		n.waiting = nil
		n.tick(events)
	})
}

// notifyDown posts PeerDown to the instances that watch an instance which they
// still cannot reach.
func (c *cluster) notifyDown(id structs.InstanceID) {
	for _, other := range c.ids {
		n := c.nodes[other]
		if other != id && !c.reachable(other, id) && slices.Contains(n.watched, id) {
			n.deliver(structs.PeerDown{Peer: id})
		}
	}
}

func (c *cluster) reachable(from, to structs.InstanceID) bool {
	n := c.nodes[to]
	return !n.dead && !n.paused && !c.cutLinks[[2]structs.InstanceID{from, to}] && !c.cutLinks[[2]structs.InstanceID{to, from}]
}

func (n *node) deliver(ev structs.Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.waiting = append(n.waiting, ev)
		return
	}
	n.tick([]structs.Event{ev})
}

func (n *node) tick(events []structs.Event) {
	for _, cmd := range n.core.Tick(n.cluster.now, events) {
		n.execute(cmd)
	}
	n.setWake()
}

func (n *node) setWake() {
	next := n.core.NextWake()
	if next.IsZero() || next.Equal(n.wakeAt) {
		return
	}
	n.wakeAt = next
	n.cluster.after(max(next.Sub(n.cluster.now), 0), func() {
		if n.dead || n.paused || !n.wakeAt.Equal(next) {
			return
		}
		n.wakeAt = time.Time{}
		n.tick(nil)
	})
}

func (n *node) execute(cmd structs.Command) {
	c := n.cluster
	switch cmd := cmd.(type) {
	case structs.SendPeer:
		c.send(n.id, cmd.To, cmd.Msg)
	case structs.WatchPeers:
		n.watched = cmd.Peers
		for _, id := range cmd.Peers {
			c.after(failureDetectionDelay, func() { c.checkWatched(n, id) })
		}
	case structs.ProbePeer:
		c.probe(n, cmd.To)
	case structs.LogAppend:
		c.append(n, cmd)
	case structs.LogTail:
		n.tail(cmd.Stream, cmd.From, true)
	case structs.LogTailEnd:
		n.tail(cmd.Stream, uint64(max(len(c.log[cmd.Stream])-1, 0)), true)
	case structs.LogStop:
		delete(n.tails, cmd.Stream)
		n.generation[cmd.Stream]++
	case structs.StartRun:
		c.after(c.randomDelay(c.sendDelay), func() { c.startRun(n, cmd) })
	case structs.ResumeRun:
		c.after(netDelay, func() { n.deliver(structs.RunEnded{Run: cmd.Run, Target: cmd.Target.ID, Failure: structs.RunNotSent}) })
	case structs.ReleaseCache:
		c.after(netDelay, func() {
			n.deliver(structs.CacheReleased{Target: cmd.Target.ID, Program: cmd.Program, Done: true})
		})
	case structs.QueryOutcome:
		c.after(netDelay, func() { n.deliver(structs.OutcomeQueried{Run: cmd.Run}) })
	case structs.ReplyOutcome:
		c.reply(cmd.Request, cmd.Outcome)
	case structs.ReplyProgram:
		c.reply(cmd.Request, cmd.Outcome)
	}
}

func (c *cluster) reply(id structs.RequestID, out structs.Outcome) {
	if f := c.replies[id]; f != nil {
		c.after(netDelay, func() { f(out) })
	}
}

func (c *cluster) randomDelay(maxDelay time.Duration) time.Duration {
	if maxDelay <= 0 {
		return netDelay
	}
	return netDelay + time.Duration(c.rng.Int64N(int64(maxDelay)))
}

func (c *cluster) checkWatched(n *node, peer structs.InstanceID) {
	if slices.Contains(n.watched, peer) && !c.reachable(n.id, peer) {
		n.deliver(structs.PeerDown{Peer: peer})
	}
}

// send delivers a message unless the receiver is dead or the link is cut. A
// paused receiver gets it when it resumes.
func (c *cluster) send(from, to structs.InstanceID, msg structs.Message) {
	incarnation := c.nodes[to].incarnation
	c.after(netDelay, func() {
		n := c.nodes[to]
		switch {
		case n.dead || n.incarnation != incarnation:
			c.nodes[from].deliver(structs.PeerDown{Peer: to})
		case c.cutLinks[[2]structs.InstanceID{from, to}]:
			c.after(failureDetectionDelay, func() { c.nodes[from].deliver(structs.PeerDown{Peer: to}) })
		default:
			n.deliver(structs.PeerMessage{From: from, Msg: msg})
		}
	})
}

func (c *cluster) probe(n *node, to structs.InstanceID) {
	if c.reachable(n.id, to) {
		c.after(2*netDelay, func() { n.deliver(structs.PeerUp{Peer: to}) })
		return
	}
	c.after(failureDetectionDelay, func() { n.deliver(structs.PeerDown{Peer: to}) })
}

const (
	chatService   = "model"
	filingService = "filing"
	testTeam      = structs.Team("harbour")
)
