package owner

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	testRegion  structs.Region      = "lakes"
	testTeam    structs.Team        = "lakeshore/clearance"
	testChat    structs.ServiceName = "mark-agents"
	testFiling  structs.ServiceName = "filing-desk"
	testGateway structs.InstanceID  = "gw"
	testDisp    structs.InstanceID  = "disp"
	networkTime                     = 2 * time.Millisecond
)

var testStart = time.UnixMilli(1_800_000_000_000)

// world is a virtual-time run of a few owners around a fake log, dispatcher,
// targets and one gateway. Everything follows from the seed.
type world struct {
	t       testing.TB
	now     time.Time
	rng     *rand.Rand
	queue   worldQueue
	order   uint64
	nodes   map[structs.InstanceID]*node
	ids     []structs.InstanceID
	streams map[string][][]byte
	first   map[string]uint64
	logDown bool
	shards  int
	// snapshotEvery replaces the owners' own setting, if set.
	snapshotEvery uint64
	faults        faults
	policy        structs.Policy
	askable       bool
	// grants remembers the dispatcher's placement of each run.
	grants  map[structs.RunID]structs.TargetID
	refuse  func(*structs.PermitRequest) structs.Reason
	noGrant bool
	// hang lets targets take runs and never tell their end.
	hang bool
	// behave decides what a target does with a run.
	behave    func(structs.StartRun) structs.RunFailure
	runTime   time.Duration
	sends     []send
	outcomes  map[string]structs.Outcome
	requests  map[structs.RequestID]*request
	all       []*request
	programs  map[structs.RequestID]structs.ProgramReply
	gone      []structs.ProgramEnded
	finishes  map[structs.RunID]int
	released  map[structs.TargetID]int
	keepCache bool
	// noTargets empties the membership list of targets.
	noTargets bool
	nextID    int
	trace     []string
}

// faults are the probabilities of the random schedule.
type faults struct {
	lostReply, dropped, refused float64
	lateCommands                time.Duration
}

type send struct {
	at      time.Time
	run     structs.RunID
	call    *structs.Call
	late    bool
	cost    int64
	fencing uint64
}

// request is one request of the gateway.
type request struct {
	id       structs.RequestID
	call     *structs.Call
	to       structs.InstanceID
	at       time.Time
	deadline time.Time
	pieces   []string
	run      structs.RunID
	tried    int
	resub    bool
	outcome  *structs.Outcome
	endedAt  time.Time
}

type node struct {
	w      *world
	id     structs.InstanceID
	o      *Owner
	life   int
	alive  bool
	paused bool
	// suspected tells that the others find it unreachable.
	suspected bool
	cut       bool
	// silent tells that the log takes nothing from it and never replies.
	silent bool
	// lag is the time that reads of the log take more.
	lag   time.Duration
	inbox []structs.Event
	tails map[string]uint64
	wake  time.Time
	cmds  []structs.Command
}

type worldEvent struct {
	at    time.Time
	order uint64
	fire  func()
}

type worldQueue []worldEvent

func (q worldQueue) Len() int { return len(q) }

func (q worldQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q worldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *worldQueue) Push(x any) { *q = append(*q, x.(worldEvent)) }

func (q *worldQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newWorld(t testing.TB, seed uint64, owners int) *world {
	w := &world{
		t: t, now: testStart, rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[structs.InstanceID]*node), streams: make(map[string][][]byte),
		first: make(map[string]uint64), policy: structs.DefaultPolicy(),
		grants: make(map[structs.RunID]structs.TargetID), runTime: 20 * time.Millisecond,
		outcomes: make(map[string]structs.Outcome), requests: make(map[structs.RequestID]*request),
		programs: make(map[structs.RequestID]structs.ProgramReply),
		finishes: make(map[structs.RunID]int), released: make(map[structs.TargetID]int),
	}
	for i := range owners {
		id := structs.InstanceID(fmt.Sprintf("o%d", i+1))
		w.ids = append(w.ids, id)
		w.nodes[id] = &node{w: w, id: id}
		w.start(id)
	}
	return w
}

// start makes a new value in place of an instance.
func (w *world) start(id structs.InstanceID) {
	n := w.nodes[id]
	n.life++
	n.alive, n.paused, n.cut, n.suspected = true, false, false, false
	n.inbox, n.cmds, n.tails = nil, nil, make(map[string]uint64)
	cfg := structs.DefaultInstanceConfig(structs.Peer{ID: id, Region: testRegion}, fmt.Sprint(n.life))
	cfg.Shards = max(1, w.shards)
	n.o = New(cfg, view{w: w, self: id}, view{w: w})
	if w.snapshotEvery > 0 {
		n.o.snapshotEvery = w.snapshotEvery
	}
	n.deliver(structs.MembersListed{})
}

func (w *world) kill(id structs.InstanceID) {
	w.log("kill %s", id)
	n := w.nodes[id]
	n.alive = false
	w.after(100*time.Millisecond, func() { w.tellDown(id) })
}

// pause stops an instance for a while; after a second the others notice.
func (w *world) pause(id structs.InstanceID, d time.Duration) {
	n := w.nodes[id]
	life := n.life
	w.log("pause %s for %s", id, d)
	n.paused = true
	if d > time.Second {
		w.after(time.Second, func() {
			if n.life == life && n.alive {
				w.tellDown(id)
			}
		})
	}
	w.after(d, func() {
		if n.life != life || !n.alive {
			return
		}
		w.log("resume %s", id)
		n.paused, n.suspected = false, false
		n.tick()
	})
}

// tellDown lets everyone know that an instance does not answer.
func (w *world) tellDown(id structs.InstanceID) {
	w.nodes[id].suspected = true
	for _, other := range w.ids {
		if other != id {
			w.nodes[other].deliver(structs.PeerDown{Peer: id})
		}
	}
	for _, r := range w.all {
		if r.outcome == nil && r.to == id {
			w.resubmit(r, id)
		}
	}
}

func (w *world) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(testStart).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, fire func()) {
	w.order++
	heap.Push(&w.queue, worldEvent{at: w.now.Add(d), order: w.order, fire: fire})
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(worldEvent)
		w.now = e.at
		e.fire()
	}
	w.now = end
}

func (n *node) deliver(ev structs.Event) {
	if !n.alive {
		return
	}
	n.inbox = append(n.inbox, ev)
	n.tick()
}

// deliverTo delivers to the present life of an instance only.
func (w *world) deliverTo(id structs.InstanceID, life int, ev structs.Event) {
	if n := w.nodes[id]; n != nil && n.life == life {
		n.deliver(ev)
	}
}

func (n *node) tick() {
	if !n.alive || n.paused {
		return
	}
	events := n.inbox
	n.inbox = nil
	cmds := n.o.Tick(n.w.now, events)
	n.cmds = append(n.cmds, cmds...)
	life := n.life
	if d := n.w.faults.lateCommands; d > 0 && n.w.rng.Float64() < 0.02 {
		n.w.log("%s sleeps before its commands", n.id)
		n.w.after(time.Duration(n.w.rng.Int64N(int64(d))), func() {
			if n.life == life {
				n.carryOut()
			}
		})
	} else {
		n.carryOut()
	}
	n.setWake()
}

func (n *node) setWake() {
	next := n.o.NextWake()
	if next.IsZero() || next.Equal(n.wake) && next.After(n.w.now) {
		return
	}
	n.wake = next
	life := n.life
	n.w.after(max(0, next.Sub(n.w.now)), func() {
		if n.life == life && n.wake.Equal(next) {
			n.wake = time.Time{}
			n.tick()
		}
	})
}

func (n *node) carryOut() {
	cmds := n.cmds
	n.cmds = nil
	for _, c := range cmds {
		n.command(c)
	}
}

func (n *node) command(c structs.Command) {
	w := n.w
	if !n.alive {
		return
	}
	switch c := c.(type) {
	case structs.SendPeer:
		w.after(networkTime, func() { w.receive(n.id, c.To, c.Msg) })
	case structs.ProbePeer:
		w.after(networkTime, func() { w.probe(n, c.To) })
	case structs.LogAppend:
		w.append(n, c)
	case structs.LogTail:
		n.tails[c.Stream] = c.From
		w.pump(n, c.Stream)
	case structs.LogTailEnd:
		from := uint64(len(w.streams[c.Stream]))
		n.tails[c.Stream] = from - min(from, 1)
		w.pump(n, c.Stream)
	case structs.LogStop:
		delete(n.tails, c.Stream)
	case structs.StartRun:
		w.startRun(n, c)
	case structs.ResumeRun:
		w.resumeRun(n, c)
	case structs.CancelRun:
		life := n.life
		w.after(networkTime, func() {
			w.deliverTo(n.id, life, structs.RunEnded{Run: c.Run, Target: c.Target.ID, Failure: structs.RunCancelled})
		})
	case structs.QueryOutcome:
		life := n.life
		w.after(networkTime, func() {
			out, ok := w.outcomes[string(c.Program)+"/"+c.Key]
			w.deliverTo(n.id, life, structs.OutcomeQueried{Run: c.Run, Reached: true, Found: ok, Outcome: out})
		})
	case structs.ReleaseCache:
		w.released[c.Target.ID]++
		if !w.keepCache {
			life := n.life
			w.after(networkTime, func() {
				w.deliverTo(n.id, life, structs.CacheReleased{Target: c.Target.ID, Program: c.Program, Done: true})
			})
		}
	}
}

func (w *world) probe(n *node, to structs.InstanceID) {
	if other := w.nodes[to]; other != nil && other.alive && !other.paused {
		n.deliver(structs.PeerUp{Peer: to})
		return
	}
	w.after(time.Second, func() { n.deliver(structs.PeerDown{Peer: to}) })
}

// truncate drops the records that no reader needs any more.
func (w *world) truncate() {
	for name, records := range w.streams {
		if len(records) == 0 {
			continue
		}
		if rec, err := journal.Decode(records[len(records)-1]); err == nil && rec.Snapshot > 0 {
			w.first[name] = max(w.first[name], rec.Snapshot-1)
		}
	}
}

// receive delivers a message to an owner, the dispatcher or the gateway.
func (w *world) receive(from, to structs.InstanceID, msg structs.Message) {
	switch to {
	case testDisp:
		w.dispatch(from, msg)
	case testGateway:
		w.gateway(from, msg)
	default:
		if n := w.nodes[to]; n != nil {
			n.deliver(structs.PeerMessage{From: from, Msg: msg})
		}
	}
}

func (w *world) reply(from, to structs.InstanceID, msg structs.Message) {
	w.after(networkTime, func() { w.receive(from, to, msg) })
}

func (w *world) live(id structs.InstanceID) bool {
	return w.nodes[id].alive && !w.nodes[id].suspected
}

// dump shows the state of every owner.
func (w *world) dump() string {
	var out strings.Builder
	for _, id := range w.ids {
		text, err := json.Marshal(w.nodes[id].o.Dump())
		fmt.Fprintf(&out, "%s %s %v\n", id, text, err)
	}
	return out.String()
}
