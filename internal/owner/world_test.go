package owner

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
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
	gone      []structs.ProgramGone
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
func (q *worldQueue) Push(x any)   { *q = append(*q, x.(worldEvent)) }
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
	case structs.AskOutcome:
		life := n.life
		w.after(networkTime, func() {
			out, ok := w.outcomes[string(c.Program)+"/"+c.Key]
			w.deliverTo(n.id, life, structs.OutcomeAsked{Run: c.Run, Reached: true, Found: ok, Outcome: out})
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

func (w *world) append(n *node, c structs.LogAppend) {
	life := n.life
	fail := func(refused bool) {
		w.after(networkTime, func() {
			w.deliverTo(n.id, life, structs.LogAppendFailed{ID: c.ID, Stream: c.Stream, Refused: refused})
		})
	}
	if n.silent {
		return
	}
	roll := w.rng.Float64()
	switch {
	case w.logDown || n.cut || roll < w.faults.refused:
		fail(true)
		return
	case roll < w.faults.refused+w.faults.dropped:
		fail(false)
		return
	}
	w.after(networkTime+time.Duration(w.rng.Int64N(int64(3*time.Millisecond))), func() {
		if w.logDown {
			fail(true)
			return
		}
		first := uint64(len(w.streams[c.Stream]))
		w.streams[c.Stream] = append(w.streams[c.Stream], c.Records...)
		if roll < w.faults.refused+w.faults.dropped+w.faults.lostReply {
			fail(false)
		} else {
			w.deliverTo(n.id, life, structs.LogAppended{ID: c.ID, Stream: c.Stream, First: first})
		}
		for _, id := range w.ids {
			w.pump(w.nodes[id], c.Stream)
		}
	})
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

// pump reads a tailed stream to its end.
func (w *world) pump(n *node, stream string) {
	life := n.life
	w.after(networkTime+n.lag, func() {
		from, ok := n.tails[stream]
		if !ok || n.life != life || !n.alive {
			return
		}
		if n.silent {
			return
		}
		if w.logDown || n.cut {
			n.deliver(structs.LogReadFailed{Stream: stream})
			w.after(200*time.Millisecond, func() { w.pump(n, stream) })
			return
		}
		if from < w.first[stream] {
			n.deliver(structs.LogReadFailed{Stream: stream, Truncated: true, First: w.first[stream]})
			return
		}
		end := uint64(len(w.streams[stream]))
		read := structs.LogRead{Stream: stream, From: from, Next: end, End: end}
		for i := from; i < end; i++ {
			read.Records = append(read.Records, wire.LogRecord{Offset: i, Data: w.streams[stream][i]})
		}
		n.tails[stream] = end
		n.deliver(read)
	})
}

func (w *world) startRun(n *node, c structs.StartRun) {
	life := n.life
	end := func(d time.Duration, e structs.RunEnded) {
		e.Run, e.Target = c.Run, c.Target.ID
		w.after(d, func() { w.deliverTo(n.id, life, e) })
	}
	late := w.now.After(c.NotAfter)
	if late && w.rng.Float64() < 0.5 {
		end(networkTime, structs.RunEnded{Failure: structs.RunNotSent})
		return
	}
	failure := structs.RunOK
	if w.behave != nil {
		failure = w.behave(c)
	}
	if failure == structs.RunNotSent {
		end(networkTime, structs.RunEnded{Failure: failure})
		return
	}
	cost := c.Call.PromptTokens + c.Call.MaxTokens/2
	w.sends = append(w.sends, send{at: w.now, run: c.Run, call: c.Call, late: late, cost: cost, fencing: c.Fencing})
	w.log("send %s of %s %d key %s by %s", c.Run, c.Call.Lane, c.Call.Number, c.Call.Key, n.id)
	if w.hang {
		return
	}
	text := "answer of " + string(c.Run)
	out := structs.Outcome{Text: text, Body: []byte(text), Status: 200, Usage: structs.Usage{
		PromptTokens: c.Call.PromptTokens, CompletionTokens: c.Call.MaxTokens / 2,
	}}
	w.after(w.runTime, func() { w.outcomes[string(c.Call.Program)+"/"+c.Call.Key] = out })
	if c.Call.Stream {
		w.stream(n, c.Run, text, 0, failure)
	}
	if failure != structs.RunOK {
		end(w.runTime, structs.RunEnded{Failure: failure})
		return
	}
	end(w.runTime+networkTime, structs.RunEnded{Outcome: out, Took: w.runTime})
}

// stream sends the words of a text as pieces; a broken stream stops halfway.
func (w *world) stream(n *node, run structs.RunID, text string, from int, failure structs.RunFailure) {
	life := n.life
	words := strings.SplitAfter(text, " ")
	if failure != structs.RunOK {
		words = words[:len(words)/2]
	}
	for i := from; i < len(words); i++ {
		w.after(w.runTime*time.Duration(i+1-from)/time.Duration(len(words)+1), func() {
			w.deliverTo(n.id, life, structs.RunChunk{Run: run, Chunk: structs.Chunk{First: i, Texts: words[i : i+1]}})
		})
	}
}

func (w *world) resumeRun(n *node, c structs.ResumeRun) {
	life := n.life
	if !slices.ContainsFunc(w.sends, func(s send) bool { return s.run == c.Run }) {
		w.after(networkTime, func() {
			w.deliverTo(n.id, life, structs.RunEnded{Run: c.Run, Target: c.Target.ID, Failure: structs.RunBroken})
		})
		return
	}
	text := "answer of " + string(c.Run)
	w.stream(n, c.Run, text, c.From, structs.RunOK)
	w.after(w.runTime+networkTime, func() {
		words := strings.SplitAfter(text, " ")
		out := structs.Outcome{Text: strings.Join(words[min(c.From, len(words)):], "")}
		w.deliverTo(n.id, life, structs.RunEnded{Run: c.Run, Target: c.Target.ID, Outcome: out})
	})
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

func (w *world) dispatch(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.PermitRequest:
		w.reply(testDisp, from, &structs.PermitQueued{Ref: m.Ref})
		if m.Running != "" || w.noGrant {
			return
		}
		if w.refuse != nil {
			if reason := w.refuse(m); reason != "" {
				w.reply(testDisp, from, &structs.PermitRefuse{Pool: m.Pool, Ref: m.Ref, Reason: reason})
				return
			}
		}
		target, ok := w.grants[m.Ref.Run]
		if !ok {
			target = structs.TargetID(fmt.Sprintf("%s-%d", m.Pool.Service, 1+len(w.grants)%2))
			w.grants[m.Ref.Run] = target
		}
		w.reply(testDisp, from, &structs.PermitGrant{Pool: m.Pool, Ref: m.Ref, Target: structs.Target{ID: target, Service: m.Pool.Service}})
	case *structs.PermitFinish:
		w.finishes[m.Ref.Run]++
		delete(w.grants, m.Ref.Run)
	case *structs.ProgramGone:
		w.gone = append(w.gone, *m)
	}
}

// submit sends a new request to the owner that the gateway thinks of.
func (w *world) submit(call *structs.Call, remaining time.Duration) *request {
	w.nextID++
	r := &request{
		id: structs.RequestID(fmt.Sprintf("r%d", w.nextID)), call: call, at: w.now, deadline: w.now.Add(remaining),
	}
	w.requests[r.id] = r
	w.all = append(w.all, r)
	w.route(r, "", nil)
	w.after(remaining, func() { w.expire(r) })
	return r
}

func (w *world) route(r *request, to structs.InstanceID, suspects []structs.InstanceID) {
	if r.outcome != nil {
		return
	}
	if to == "" {
		to, _ = view{w: w}.OwnerOf(structs.ShardRef{})
	}
	r.to = to
	r.tried++
	m := &structs.Submit{
		Request: r.id, Call: r.call, Remaining: r.deadline.Sub(w.now), Have: len(r.pieces), HaveRun: r.run,
		Suspects: suspects, Resubmitted: r.resub,
	}
	w.log("submit %s %s %d key %s to %s resubmitted %v", r.id, r.call.Lane, r.call.Number, r.call.Key, to, r.resub)
	w.reply(testGateway, to, m)
}

// resubmit asks another owner after one was lost.
func (w *world) resubmit(r *request, lost structs.InstanceID) {
	r.resub = true
	w.route(r, "", []structs.InstanceID{lost})
}

func (w *world) expire(r *request) {
	if r.outcome == nil {
		w.end(r, structs.Outcome{Kind: structs.OutcomeUnknown, Reason: "gateway-deadline"})
	}
}

func (w *world) end(r *request, out structs.Outcome) {
	w.log("end %s key %s kind %d %s %q", r.id, r.call.Key, out.Kind, out.Reason, out.Text)
	r.outcome, r.endedAt = &out, w.now
}

// gateway takes answers only from the owner that it asked last: an earlier one
// cannot speak for it.
func (w *world) gateway(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.ProgramReply:
		w.programs[m.Request] = *m
	case *structs.CallChunk:
		if r := w.requests[m.Request]; r.to == from && r.outcome == nil && m.Chunk.First <= len(r.pieces) {
			r.pieces, r.run = append(r.pieces[:m.Chunk.First], m.Chunk.Texts...), m.Run
		}
	case *structs.CallEnd:
		r := w.requests[m.Request]
		if r.outcome == nil && (r.to == from || m.Outcome.Kind == structs.OutcomeAnswered && m.Run == r.run) {
			w.end(r, m.Outcome)
		}
	case *structs.NotOwner:
		r := w.requests[m.Request]
		if r == nil || r.outcome != nil || r.to != from {
			return
		}
		w.after(20*time.Millisecond, func() { w.route(r, m.Owner, nil) })
	}
}

func (w *world) live(id structs.InstanceID) bool {
	return w.nodes[id].alive && !w.nodes[id].suspected
}

// view is the membership and settings view of one owner; it follows the truth
// at once, except that a paused instance still looks live.
type view struct {
	w    *world
	self structs.InstanceID
}

func (v view) Self() structs.Peer { return structs.Peer{ID: v.self, Region: testRegion} }
func (v view) Peer(id structs.InstanceID) (structs.Peer, bool) {
	return structs.Peer{ID: id, Region: testRegion}, v.w.nodes[id] != nil
}

// Peers counts as many as a real region has, for the rate of appends.
func (v view) Peers() []structs.Peer                { return make([]structs.Peer, 12) }
func (v view) Suspected(id structs.InstanceID) bool { return !v.w.live(id) }
func (v view) OwnerOf(structs.ShardRef) (structs.InstanceID, bool) {
	for _, id := range v.w.ids {
		if v.w.live(id) {
			return id, true
		}
	}
	return "", false
}
func (v view) Ranked(structs.ShardRef) []structs.InstanceID { return slices.Clone(v.w.ids) }
func (v view) DispatcherOf(structs.PoolID) (structs.InstanceID, bool) {
	return testDisp, true
}
func (v view) Targets(service structs.ServiceName) []structs.Target {
	if v.w.noTargets {
		return nil
	}
	return []structs.Target{
		{ID: structs.TargetID(service) + "-1", Service: service}, {ID: structs.TargetID(service) + "-2", Service: service},
	}
}
func (v view) Policy(structs.Team) structs.Policy { return v.w.policy }
func (v view) Services() []structs.Service {
	var list []structs.Service
	for _, name := range []structs.ServiceName{testChat, testFiling} {
		s, _ := v.Service(name)
		list = append(list, s)
	}
	return list
}
func (v view) Service(name structs.ServiceName) (structs.Service, bool) {
	switch name {
	case testChat:
		return structs.DefaultService(name, structs.ServiceEngine), true
	case testFiling:
		s := structs.DefaultService(name, structs.ServicePlain)
		s.AskByKey = v.w.askable
		return s, true
	default:
		return structs.Service{}, false
	}
}

// program opens a program and waits until that is journalled.
func (w *world) program(n byte) structs.ProgramID {
	id := structs.NewProgramID(testRegion, testStart, [10]byte{9: n})
	w.operate(id, structs.ProgramOpen)
	return id
}

func (w *world) operate(id structs.ProgramID, op structs.ProgramOp) structs.ProgramReply {
	w.nextID++
	request := structs.RequestID(fmt.Sprintf("p%d", w.nextID))
	to, _ := view{w: w}.OwnerOf(structs.ShardRef{})
	w.reply(testGateway, to, &structs.ProgramRequest{
		Request: request, Op: op, Program: id, Team: testTeam, Remaining: time.Second,
	})
	w.run(300 * time.Millisecond)
	return w.programs[request]
}

// testCall makes a call of a program's own lane.
func testCall(id structs.ProgramID, number uint64, notRepeatable bool) *structs.Call {
	c := &structs.Call{
		Program: id, Team: testTeam, Number: number, Key: fmt.Sprintf("k%d", number), Service: testChat,
		Kind: structs.CallChat, Digest: structs.Digest{byte(number)}, PromptTokens: 100, MaxTokens: 100,
	}
	if notRepeatable {
		c.NotRepeatable, c.Service, c.Kind, c.Fee = true, testFiling, structs.CallPlain, 10
		c.PromptTokens, c.MaxTokens = 0, 0
	}
	return c
}

// sendsOf counts the sends of a call's key.
func (w *world) sendsOf(c *structs.Call) int {
	n := 0
	for _, s := range w.sends {
		if s.call.Program == c.Program && s.call.Key == c.Key {
			n++
		}
	}
	return n
}

func (r *request) kind() structs.OutcomeKind {
	if r.outcome == nil {
		return 0
	}
	return r.outcome.Kind
}

func (r *request) reason() structs.Reason {
	if r.outcome == nil {
		return "none yet"
	}
	return r.outcome.Reason
}

// want fails the test unless the request has that outcome.
func (w *world) want(r *request, kind structs.OutcomeKind, reason structs.Reason) {
	w.t.Helper()
	if r.kind() != kind || r.reason() != reason {
		w.t.Fatalf("request %s: kind %d reason %q, want %d %q\n%s", r.id, r.kind(), r.reason(), kind, reason,
			strings.Join(w.trace, "\n"))
	}
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
