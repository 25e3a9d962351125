package instance

import (
	"container/heap"
	"encoding/json"
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
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timed)) }
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
	case structs.AskOutcome:
		w.after(netDelay, func() { n.deliver(structs.OutcomeAsked{Run: cmd.Run}) })
	case structs.ReplyEnd:
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

func (n *node) pollMembers() {
	w := n.w
	if n.dead || w.nodes[n.id] != n {
		return
	}
	w.version++
	list := wire.MemberList{Version: w.version}
	for _, id := range w.ids {
		list.Members = append(list.Members, wire.Member{ID: string(id), Role: wire.MemberRoleInstance, State: wire.MemberStateLive, Region: string(w.regionOf(id))})
	}
	for _, service := range []string{chatService, filingService} {
		for i := range 2 {
			list.Members = append(list.Members, wire.Member{
				ID: fmt.Sprintf("%s-%d-%s", service, i, w.regionOf(n.id)), Role: wire.MemberRoleTarget, State: wire.MemberStateLive,
				Region: string(w.regionOf(n.id)), Service: service,
			})
		}
	}
	n.deliver(structs.MembersListed{List: list})
	w.after(pollEvery, n.pollMembers)
}

// append carries out an append; its reply may be lost after it took effect.
func (w *world) append(n *node, cmd structs.LogAppend) {
	w.after(logDelay, func() {
		if w.logDown {
			n.deliver(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream, Refused: true})
			return
		}
		first := uint64(len(w.log[cmd.Stream]))
		for i, data := range cmd.Records {
			w.log[cmd.Stream] = append(w.log[cmd.Stream], wire.LogRecord{Offset: first + uint64(i), TimeMS: w.now.UnixMilli(), Data: data})
		}
		w.wakeTails(cmd.Stream)
		if w.rng.Float64() < w.loseReplies {
			w.after(time.Second, func() { n.deliver(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream}) })
			return
		}
		w.after(logDelay, func() { n.deliver(structs.LogAppended{ID: cmd.ID, Stream: cmd.Stream, First: first}) })
	})
}

func (w *world) wakeTails(stream string) {
	for _, id := range w.ids {
		n := w.nodes[id]
		if from, ok := n.tails[stream]; ok {
			n.tail(stream, from, false)
		}
	}
}

// tail reads a stream from an offset and goes on; the first answer comes at
// once, also when it is empty.
func (n *node) tail(stream string, from uint64, first bool) {
	w := n.w
	n.tails[stream] = from
	n.generation[stream]++
	generation := n.generation[stream]
	w.after(logDelay+w.readDelay[n.id], func() {
		if n.dead || n.generation[stream] != generation {
			return
		}
		if w.logDown {
			n.deliver(structs.LogReadFailed{Stream: stream})
			w.after(500*time.Millisecond, func() {
				if n.generation[stream] == generation {
					n.tail(stream, from, true)
				}
			})
			return
		}
		all := w.log[stream]
		end := uint64(len(all))
		if end > from || first {
			records := slices.Clone(all[min(from, end):])
			n.tails[stream] = end
			n.deliver(structs.LogRead{Stream: stream, From: from, Records: records, Next: max(end, from), End: end})
		}
		if generation == n.generation[stream] {
			w.after(pollEvery, func() {
				if at, ok := n.tails[stream]; ok && generation == n.generation[stream] {
					n.tail(stream, at, true)
				}
			})
		}
	})
}

// startRun is the target adapter and the target: it sends once, if it is not
// too late, and answers.
func (w *world) startRun(n *node, cmd structs.StartRun) {
	end := structs.RunEnded{Run: cmd.Run, Target: cmd.Target.ID, Took: 5 * time.Millisecond}
	if n.dead {
		return
	}
	if n.paused || (!cmd.NotAfter.IsZero() && w.now.After(cmd.NotAfter)) {
		end.Failure = structs.RunNotSent
		n.deliver(end)
		return
	}
	w.sends = append(w.sends, sent{at: w.now, call: cmd.Call, run: cmd.Run})
	w.note("send %s %s from %s", cmd.Call.Program, cmd.Call.Key, n.id)
	end.Outcome = structs.Outcome{Kind: structs.OutcomeAnswered, Status: 200, Text: answerOf(cmd.Call)}
	if cmd.Call.Kind == structs.CallPlain {
		end.Outcome.Body, end.Outcome.Text = []byte(answerOf(cmd.Call)), ""
	}
	w.after(5*time.Millisecond+w.delay(400*time.Millisecond), func() { n.deliver(end) })
}

func answerOf(call *structs.Call) string {
	return fmt.Sprintf("%s/%s/%x", call.Program, call.Key, call.Digest[:4])
}

const (
	chatService   = "model"
	filingService = "filing"
	testTeam      = structs.Team("harbour")
)

// configure publishes the services through the first instance.
func (w *world) configure() {
	values := map[string]any{
		"services/model/kind": "engine", "services/filing/kind": "plain", "services/filing/timeout": "1s",
		"teams/harbour/idempotency_window": "1h",
	}
	var changes []structs.SettingChange
	for _, path := range slices.Sorted(mapKeys(values)) {
		value, _ := json.Marshal(values[path])
		changes = append(changes, structs.SettingChange{Path: path, Value: value, ChangeID: "change-" + path, Author: "test"})
	}
	w.nodes[w.ids[0]].deliver(structs.SettingsPropose{Request: "configure", Changes: changes, Deadline: w.now.Add(time.Minute)})
	w.run(2 * time.Second)
	for _, id := range w.ids {
		if _, ok := w.nodes[id].core.Tree().Service(chatService); !ok {
			w.t.Fatalf("%s does not know the services", id)
		}
	}
}

func mapKeys(m map[string]any) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
