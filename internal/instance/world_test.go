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

// The world drives whole instances by values with a virtual clock: a log, a
// membership list, targets and a network that delays, loses and cuts.
const (
	testRegion = structs.Region("lakes")
	netDelay   = time.Millisecond
	logDelay   = 2 * time.Millisecond
	pollEvery  = time.Second
	deathTime  = time.Second
)

var testStart = time.Unix(1_700_000_000, 0)

type world struct {
	t     testing.TB
	rng   *rand.Rand
	now   time.Time
	queue eventQueue
	order int
	nodes map[structs.InstanceID]*node
	ids   []structs.InstanceID
	// regions holds the region of instances that are not in testRegion.
	regions map[structs.InstanceID]structs.Region
	log     map[string][]wire.LogRecord
	// logDown, loseReplies and appendDelay are the log's faults.
	logDown     bool
	loseReplies float64
	// sendDelay is the longest time from a StartRun to the send.
	sendDelay time.Duration
	// readDelay is the time that an instance's reads of the log take more.
	readDelay map[structs.InstanceID]time.Duration
	cut       map[[2]structs.InstanceID]bool
	sends     []sent
	replies   map[structs.RequestID]func(structs.Outcome)
	trace     []string
	version   uint64
}

// sent is one request that reached a target.
type sent struct {
	at   time.Time
	call *structs.Call
	run  structs.RunID
}

// node is one life of an instance.
type node struct {
	w       *world
	id      structs.InstanceID
	life    int
	core    *Instance
	paused  bool
	dead    bool
	waiting []structs.Event
	tails   map[string]uint64
	// generation invalidates older polls of a stream.
	generation map[string]int
	watched    []structs.InstanceID
	wakeAt     time.Time
}

type timed struct {
	at    time.Time
	order int
	fire  func()
}

type eventQueue []timed

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(timed)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newWorld(t testing.TB, seed uint64, instances int) *world {
	return newWorldOf(t, seed, instances, nil)
}

func newWorldOf(t testing.TB, seed uint64, instances int, regions map[structs.InstanceID]structs.Region) *world {
	w := &world{
		regions: regions,
		t:       t, rng: rand.New(rand.NewPCG(seed, 1)), now: testStart,
		nodes: map[structs.InstanceID]*node{}, log: map[string][]wire.LogRecord{},
		cut: map[[2]structs.InstanceID]bool{}, readDelay: map[structs.InstanceID]time.Duration{},
		replies: map[structs.RequestID]func(structs.Outcome){},
	}
	for i := range instances {
		w.ids = append(w.ids, structs.InstanceID(fmt.Sprintf("i%d", i+1)))
	}
	for _, id := range w.ids {
		w.start(id)
	}
	w.run(100 * time.Millisecond)
	w.configure()
	return w
}

func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%9s ", w.now.Sub(testStart)) + fmt.Sprintf(format, args...)
	w.trace = append(w.trace, line)
}

func (w *world) after(d time.Duration, fire func()) {
	w.order++
	heap.Push(&w.queue, timed{at: w.now.Add(d), order: w.order, fire: fire})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(timed)
		w.now = next.at
		next.fire()
	}
	w.now = end
}

func (w *world) start(id structs.InstanceID) {
	life := 0
	if old := w.nodes[id]; old != nil {
		life = old.life + 1
	}
	cfg := structs.DefaultInstanceConfig(structs.Peer{ID: id, Region: w.regionOf(id)}, fmt.Sprint(life))
	cfg.Shards = 4
	cfg.Seed = uint64(life) + 7
	n := &node{w: w, id: id, life: life, core: New(cfg), tails: map[string]uint64{}, generation: map[string]int{}}
	w.nodes[id] = n
	n.tick(nil)
	n.pollMembers()
}

func (w *world) regionOf(id structs.InstanceID) structs.Region {
	if region, ok := w.regions[id]; ok {
		return region
	}
	return testRegion
}

func (w *world) kill(id structs.InstanceID) {
	w.note("kill %s", id)
	w.nodes[id].dead = true
	w.after(deathTime, func() { w.tellDown(id) })
}

func (w *world) pause(id structs.InstanceID, d time.Duration) {
	n := w.nodes[id]
	w.note("pause %s for %s", id, d)
	n.paused = true
	w.after(deathTime, func() { w.tellDown(id) })
	w.after(d, func() {
		w.note("resume %s", id)
		n.paused = false
		events := n.waiting
		n.waiting = nil
		n.tick(events)
	})
}

// tellDown posts PeerDown to those that watch an instance that still does not
// answer.
func (w *world) tellDown(id structs.InstanceID) {
	for _, other := range w.ids {
		n := w.nodes[other]
		if other != id && !w.reachable(other, id) && slices.Contains(n.watched, id) {
			n.deliver(structs.PeerDown{Peer: id})
		}
	}
}

func (w *world) reachable(from, to structs.InstanceID) bool {
	n := w.nodes[to]
	return !n.dead && !n.paused && !w.cut[[2]structs.InstanceID{from, to}] && !w.cut[[2]structs.InstanceID{to, from}]
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
	for _, cmd := range n.core.Tick(n.w.now, events) {
		n.carry(cmd)
	}
	n.setWake()
}

func (n *node) setWake() {
	next := n.core.NextWake()
	if next.IsZero() || next.Equal(n.wakeAt) {
		return
	}
	n.wakeAt = next
	n.w.after(max(next.Sub(n.w.now), 0), func() {
		if n.dead || n.paused || !n.wakeAt.Equal(next) {
			return
		}
		n.wakeAt = time.Time{}
		n.tick(nil)
	})
}

func (n *node) carry(cmd structs.Command) {
	w := n.w
	switch cmd := cmd.(type) {
	case structs.SendPeer:
		w.send(n.id, cmd.To, cmd.Msg)
	case structs.WatchPeers:
		n.watched = cmd.Peers
		for _, id := range cmd.Peers {
			w.after(deathTime, func() { w.checkWatched(n, id) })
		}
	case structs.ProbePeer:
		w.probe(n, cmd.To)
	case structs.LogAppend:
		w.append(n, cmd)
	case structs.LogTail:
		n.tail(cmd.Stream, cmd.From, true)
	case structs.LogTailEnd:
		n.tail(cmd.Stream, uint64(max(len(w.log[cmd.Stream])-1, 0)), true)
	case structs.LogStop:
		delete(n.tails, cmd.Stream)
		n.generation[cmd.Stream]++
	case structs.StartRun:
		w.after(w.delay(w.sendDelay), func() { w.startRun(n, cmd) })
	case structs.ResumeRun:
		w.after(netDelay, func() { n.deliver(structs.RunEnded{Run: cmd.Run, Target: cmd.Target.ID, Failure: structs.RunNotSent}) })
	case structs.ReleaseCache:
		w.after(netDelay, func() {
			n.deliver(structs.CacheReleased{Target: cmd.Target.ID, Program: cmd.Program, Done: true})
		})
	case structs.QueryOutcome:
		w.after(netDelay, func() { n.deliver(structs.OutcomeQueried{Run: cmd.Run}) })
	case structs.ReplyOutcome:
		w.reply(cmd.Request, cmd.Outcome)
	case structs.ReplyProgram:
		w.reply(cmd.Request, cmd.Outcome)
	}
}

func (w *world) reply(id structs.RequestID, out structs.Outcome) {
	if f := w.replies[id]; f != nil {
		w.after(netDelay, func() { f(out) })
	}
}

func (w *world) delay(most time.Duration) time.Duration {
	if most <= 0 {
		return netDelay
	}
	return netDelay + time.Duration(w.rng.Int64N(int64(most)))
}

func (w *world) checkWatched(n *node, id structs.InstanceID) {
	if slices.Contains(n.watched, id) && !w.reachable(n.id, id) {
		n.deliver(structs.PeerDown{Peer: id})
	}
}

// send delivers a message unless the receiver is dead or the link is cut; a
// paused receiver finds it when it goes on.
func (w *world) send(from, to structs.InstanceID, msg structs.Message) {
	life := w.nodes[to].life
	w.after(netDelay, func() {
		n := w.nodes[to]
		switch {
		case n.dead || n.life != life:
			w.nodes[from].deliver(structs.PeerDown{Peer: to})
		case w.cut[[2]structs.InstanceID{from, to}]:
			w.after(deathTime, func() { w.nodes[from].deliver(structs.PeerDown{Peer: to}) })
		default:
			n.deliver(structs.PeerMessage{From: from, Msg: msg})
		}
	})
}

func (w *world) probe(n *node, to structs.InstanceID) {
	if w.reachable(n.id, to) {
		w.after(2*netDelay, func() { n.deliver(structs.PeerUp{Peer: to}) })
		return
	}
	w.after(deathTime, func() { n.deliver(structs.PeerDown{Peer: to}) })
}

const (
	chatService   = "model"
	filingService = "filing"
	testTeam      = structs.Team("harbour")
)
