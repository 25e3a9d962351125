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
	testRegion     structs.Region      = "lakes"
	testTeam       structs.Team        = "lakeshore/clearance"
	testChat       structs.ServiceName = "mark-agents"
	testFiling     structs.ServiceName = "filing-desk"
	testGateway    structs.InstanceID  = "gw"
	testDispatcher structs.InstanceID  = "disp"
	networkTime                        = 2 * time.Millisecond
)

var testStart = time.UnixMilli(1_800_000_000_000)

// cluster simulates a few owners in virtual time, with a fake log, dispatcher,
// targets and one gateway. It is deterministic for a seed.
type cluster struct {
	t            testing.TB
	now          time.Time
	rng          *rand.Rand
	queue        eventQueue
	order        uint64
	nodes        map[structs.InstanceID]*node
	ids          []structs.InstanceID
	streams      map[string][][]byte
	firstOffsets map[string]uint64
	logDown      bool
	shards       int
	// snapshotInterval overrides the owners' own interval, if set.
	snapshotInterval     uint64
	faults               faults
	policy               structs.Policy
	supportsOutcomeQuery bool
	// grants holds the dispatcher's placement of each run.
	grants         map[structs.RunID]structs.TargetID
	refusePermit   func(*structs.PermitRequest) structs.Reason
	withholdGrants bool
	// hangRuns makes targets accept runs and never report their end.
	hangRuns bool
	// runResult decides the result of a run at its target.
	runResult      func(structs.StartRun) structs.RunFailure
	runTime        time.Duration
	sends          []targetSend
	outcomes       map[string]structs.Outcome
	requests       map[structs.RequestID]*request
	allRequests    []*request
	programs       map[structs.RequestID]structs.ProgramReply
	endedMessages  []structs.ProgramEnded
	finishes       map[structs.RunID]int
	released       map[structs.TargetID]int
	ignoreReleases bool
	// noTargets empties the membership list of targets.
	noTargets bool
	nextID    int
	trace     []string
}

// faults are the probabilities of random faults.
type faults struct {
	lostReplyRate, droppedRate, refusedRate float64
	maxCommandDelay                         time.Duration
}

type targetSend struct {
	at      time.Time
	run     structs.RunID
	call    *structs.Call
	overdue bool
	cost    int64
	fencing uint64
}

// request is one request of the gateway.
type request struct {
	id          structs.RequestID
	call        *structs.Call
	to          structs.InstanceID
	at          time.Time
	deadline    time.Time
	pieces      []string
	run         structs.RunID
	attempts    int
	resubmitted bool
	outcome     *structs.Outcome
	endedAt     time.Time
}

type node struct {
	cluster     *cluster
	id          structs.InstanceID
	o           *Owner
	incarnation int
	alive       bool
	paused      bool
	// suspected indicates that the other instances cannot reach it.
	suspected   bool
	partitioned bool
	// logUnresponsive indicates that the log drops its appends and never replies
	// to it.
	logUnresponsive bool
	// readLag is the additional delay of its reads from the log.
	readLag time.Duration
	inbox   []structs.Event
	tails   map[string]uint64
	wakeAt  time.Time
	cmds    []structs.Command
}

type scheduledEvent struct {
	at    time.Time
	order uint64
	fire  func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newCluster(t testing.TB, seed uint64, owners int) *cluster {
	cl := &cluster{
		t: t, now: testStart, rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[structs.InstanceID]*node), streams: make(map[string][][]byte),
		firstOffsets: make(map[string]uint64), policy: structs.DefaultPolicy(),
		grants: make(map[structs.RunID]structs.TargetID), runTime: 20 * time.Millisecond,
		outcomes: make(map[string]structs.Outcome), requests: make(map[structs.RequestID]*request),
		programs: make(map[structs.RequestID]structs.ProgramReply),
		finishes: make(map[structs.RunID]int), released: make(map[structs.TargetID]int),
	}
	for i := range owners {
		id := structs.InstanceID(fmt.Sprintf("o%d", i+1))
		cl.ids = append(cl.ids, id)
		cl.nodes[id] = &node{cluster: cl, id: id}
		cl.start(id)
	}
	return cl
}

// start starts a new incarnation of an instance.
func (cl *cluster) start(id structs.InstanceID) {
	n := cl.nodes[id]
	n.incarnation++
	n.alive, n.paused, n.partitioned, n.suspected = true, false, false, false
	n.inbox, n.cmds, n.tails = nil, nil, make(map[string]uint64)
	cfg := structs.DefaultInstanceConfig(structs.Peer{ID: id, Region: testRegion}, fmt.Sprint(n.incarnation))
	cfg.Shards = max(1, cl.shards)
	n.o = New(cfg, view{cluster: cl, self: id}, view{cluster: cl})
	if cl.snapshotInterval > 0 {
		n.o.snapshotInterval = cl.snapshotInterval
	}
	n.deliver(structs.MembersListed{})
}

func (cl *cluster) kill(id structs.InstanceID) {
	cl.tracef("kill %s", id)
	n := cl.nodes[id]
	n.alive = false
	cl.after(100*time.Millisecond, func() { cl.reportDown(id) })
}

// pause stops an instance for a while. The others notice after a second.
func (cl *cluster) pause(id structs.InstanceID, d time.Duration) {
	n := cl.nodes[id]
	incarnation := n.incarnation
	cl.tracef("pause %s for %s", id, d)
	n.paused = true
	if d > time.Second {
		cl.after(time.Second, func() {
			if n.incarnation == incarnation && n.alive {
				cl.reportDown(id)
			}
		})
	}
	cl.after(d, func() {
		if n.incarnation != incarnation || !n.alive {
			return
		}
		cl.tracef("resume %s", id)
		n.paused, n.suspected = false, false
		n.tick()
	})
}

// reportDown reports to all others that an instance is unresponsive.
func (cl *cluster) reportDown(id structs.InstanceID) {
	cl.nodes[id].suspected = true
	for _, other := range cl.ids {
		if other != id {
			cl.nodes[other].deliver(structs.PeerDown{Peer: id})
		}
	}
	for _, r := range cl.allRequests {
		if r.outcome == nil && r.to == id {
			cl.resubmit(r, id)
		}
	}
}

func (cl *cluster) tracef(format string, args ...any) {
	cl.trace = append(cl.trace, fmt.Sprintf("%8.3f ", cl.now.Sub(testStart).Seconds())+fmt.Sprintf(format, args...))
}

func (cl *cluster) after(d time.Duration, fire func()) {
	cl.order++
	heap.Push(&cl.queue, scheduledEvent{at: cl.now.Add(d), order: cl.order, fire: fire})
}

// run advances virtual time.
func (cl *cluster) run(d time.Duration) {
	end := cl.now.Add(d)
	for len(cl.queue) > 0 && !cl.queue[0].at.After(end) {
		e := heap.Pop(&cl.queue).(scheduledEvent)
		cl.now = e.at
		e.fire()
	}
	cl.now = end
}

func (n *node) deliver(ev structs.Event) {
	if !n.alive {
		return
	}
	n.inbox = append(n.inbox, ev)
	n.tick()
}

// deliverTo delivers an event only to the given incarnation of an instance.
func (cl *cluster) deliverTo(id structs.InstanceID, incarnation int, ev structs.Event) {
	if n := cl.nodes[id]; n != nil && n.incarnation == incarnation {
		n.deliver(ev)
	}
}

func (n *node) tick() {
	if !n.alive || n.paused {
		return
	}
	events := n.inbox
	n.inbox = nil
	cmds := n.o.Tick(n.cluster.now, events)
	n.cmds = append(n.cmds, cmds...)
	incarnation := n.incarnation
	if d := n.cluster.faults.maxCommandDelay; d > 0 && n.cluster.rng.Float64() < 0.02 {
		n.cluster.tracef("%s delays its commands", n.id)
		n.cluster.after(time.Duration(n.cluster.rng.Int64N(int64(d))), func() {
			if n.incarnation == incarnation {
				n.execute()
			}
		})
	} else {
		n.execute()
	}
	n.setWake()
}

func (n *node) setWake() {
	next := n.o.NextWake()
	if next.IsZero() || next.Equal(n.wakeAt) && next.After(n.cluster.now) {
		return
	}
	n.wakeAt = next
	incarnation := n.incarnation
	n.cluster.after(max(0, next.Sub(n.cluster.now)), func() {
		if n.incarnation == incarnation && n.wakeAt.Equal(next) {
			n.wakeAt = time.Time{}
			n.tick()
		}
	})
}

func (n *node) execute() {
	cmds := n.cmds
	n.cmds = nil
	for _, c := range cmds {
		n.command(c)
	}
}

func (n *node) command(c structs.Command) {
	cl := n.cluster
	if !n.alive {
		return
	}
	switch c := c.(type) {
	case structs.SendPeer:
		cl.after(networkTime, func() { cl.receive(n.id, c.To, c.Msg) })
	case structs.ProbePeer:
		cl.after(networkTime, func() { cl.probe(n, c.To) })
	case structs.LogAppend:
		cl.append(n, c)
	case structs.LogTail:
		n.tails[c.Stream] = c.From
		cl.pollStream(n, c.Stream)
	case structs.LogTailEnd:
		from := uint64(len(cl.streams[c.Stream]))
		n.tails[c.Stream] = from - min(from, 1)
		cl.pollStream(n, c.Stream)
	case structs.LogStop:
		delete(n.tails, c.Stream)
	case structs.StartRun:
		cl.startRun(n, c)
	case structs.ResumeRun:
		cl.resumeRun(n, c)
	case structs.CancelRun:
		incarnation := n.incarnation
		cl.after(networkTime, func() {
			cl.deliverTo(n.id, incarnation, structs.RunEnded{Run: c.Run, Target: c.Target.ID, Failure: structs.RunCancelled})
		})
	case structs.QueryOutcome:
		incarnation := n.incarnation
		cl.after(networkTime, func() {
			out, ok := cl.outcomes[string(c.Program)+"/"+c.Key]
			cl.deliverTo(n.id, incarnation, structs.OutcomeQueried{Run: c.Run, Reached: true, Found: ok, Outcome: out})
		})
	case structs.ReleaseCache:
		cl.released[c.Target.ID]++
		if !cl.ignoreReleases {
			incarnation := n.incarnation
			cl.after(networkTime, func() {
				cl.deliverTo(n.id, incarnation, structs.CacheReleased{Target: c.Target.ID, Program: c.Program, Done: true})
			})
		}
	}
}

func (cl *cluster) probe(n *node, to structs.InstanceID) {
	if other := cl.nodes[to]; other != nil && other.alive && !other.paused {
		n.deliver(structs.PeerUp{Peer: to})
		return
	}
	cl.after(time.Second, func() { n.deliver(structs.PeerDown{Peer: to}) })
}

// truncate drops the records that no reader needs any more.
func (cl *cluster) truncate() {
	for name, records := range cl.streams {
		if len(records) == 0 {
			continue
		}
		if rec, err := journal.Decode(records[len(records)-1]); err == nil && rec.Snapshot > 0 {
			cl.firstOffsets[name] = max(cl.firstOffsets[name], rec.Snapshot-1)
		}
	}
}

// receive delivers a message to an owner, the dispatcher or the gateway.
func (cl *cluster) receive(from, to structs.InstanceID, msg structs.Message) {
	switch to {
	case testDispatcher:
		cl.dispatch(from, msg)
	case testGateway:
		cl.gateway(from, msg)
	default:
		if n := cl.nodes[to]; n != nil {
			n.deliver(structs.PeerMessage{From: from, Msg: msg})
		}
	}
}

func (cl *cluster) sendMessage(from, to structs.InstanceID, msg structs.Message) {
	cl.after(networkTime, func() { cl.receive(from, to, msg) })
}

func (cl *cluster) live(id structs.InstanceID) bool {
	return cl.nodes[id].alive && !cl.nodes[id].suspected
}

// dump returns the state of every owner.
func (cl *cluster) dump() string {
	var out strings.Builder
	for _, id := range cl.ids {
		text, err := json.Marshal(cl.nodes[id].o.Dump())
		fmt.Fprintf(&out, "%s %s %v\n", id, text, err)
	}
	return out.String()
}
