package instance

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// patience is how long a caller waits before it asks elsewhere: less than the
// deadline that it gives, as when its own connection breaks.
const patience = 4 * time.Second

// agent is one caller: it runs a program of numbered calls, each at some
// instance, and asks elsewhere with the same key until the call is done.
type agent struct {
	w       *world
	program structs.ProgramID
	calls   uint64
	number  uint64
	attempt int
	// unknown counts the unknown outcomes of the present call.
	unknown int
	history []structs.ChainDigest
	done    bool
	request int
}

func (w *world) newAgent(n byte, calls uint64) *agent {
	a := &agent{w: w, program: structs.NewProgramID(testRegion, w.now, [10]byte{n}), calls: calls}
	a.open()
	return a
}

// ask posts a request at a random living instance; a lost connection or no
// answer in time leads to f with an unknown outcome.
func (a *agent) ask(post func(structs.RequestID) structs.Event, f func(structs.Outcome)) {
	w := a.w
	n := w.nodes[w.ids[w.rng.IntN(len(w.ids))]]
	if n.dead {
		w.after(20*time.Millisecond, func() { a.ask(post, f) })
		return
	}
	a.request++
	id := structs.RequestID(fmt.Sprintf("%s/%d", a.program, a.request))
	answered := false
	once := func(out structs.Outcome) {
		if answered {
			return
		}
		answered = true
		f(out)
	}
	w.replies[id] = once
	w.after(patience, func() { once(structs.Outcome{Kind: structs.OutcomeUnknown, Reason: "no-answer"}) })
	n.deliver(post(id))
}

func (a *agent) open() {
	a.ask(func(id structs.RequestID) structs.Event {
		return structs.CallerProgram{Request: id, Op: structs.ProgramOpen, Program: a.program, Team: testTeam, Deadline: a.w.now.Add(5 * time.Second)}
	}, func(out structs.Outcome) {
		if out.Kind != structs.OutcomeAnswered {
			a.w.after(200*time.Millisecond, a.open)
			return
		}
		a.next()
	})
}

func (a *agent) next() {
	if a.number == a.calls {
		a.done = true
		return
	}
	a.number++
	a.attempt, a.unknown = 0, 0
	a.try()
}

// call makes the present call: every third is a filing.
func (a *agent) call() *structs.Call {
	c := &structs.Call{
		Program: a.program, Team: testTeam, Number: a.number, Key: fmt.Sprintf("k%d", a.number),
		Service: chatService, Kind: structs.CallChat, Digest: structs.Digest{byte(a.number)},
		PromptTokens: 100, MaxTokens: 100, Fresh: a.unknown == 0,
		History: append(append([]structs.ChainDigest{}, a.history...), structs.ChainDigest{byte(2*a.number - 1)}),
	}
	if a.number%3 == 0 {
		c.Kind, c.Service, c.NotRepeatable, c.History = structs.CallPlain, filingService, true, nil
		c.PromptTokens, c.MaxTokens = 0, 0
	}
	return c
}

func (a *agent) try() {
	a.attempt++
	call := a.call()
	a.ask(func(id structs.RequestID) structs.Event {
		return structs.CallerSubmit{Request: id, Call: call, Deadline: a.w.now.Add(6 * time.Second)}
	}, func(out structs.Outcome) { a.take(call, out) })
}

func (a *agent) take(call *structs.Call, out structs.Outcome) {
	w := a.w
	w.note("%s %s attempt %d: kind %d %s", a.program, call.Key, a.attempt, out.Kind, out.Reason)
	switch out.Kind {
	case structs.OutcomeAnswered:
		if got := out.Text + string(out.Body); got != answerOf(call) {
			w.fail("answer %q, want %q", got, answerOf(call))
		}
		if call.Kind == structs.CallChat {
			a.history = append(call.History, structs.ChainDigest{byte(2 * a.number)})
		}
		a.next()
	case structs.OutcomeNotRun:
		if n := w.sendsOf(call); n > 0 {
			w.fail("%s %s: \"not run\" (%s) after %d sends", call.Program, call.Key, out.Reason, n)
		}
		w.after(max(out.RetryAfter, 50*time.Millisecond), a.try)
	case structs.OutcomeUnknown:
		a.unknown++
		if call.NotRepeatable && a.unknown > 5 && out.Reason != "no-answer" {
			a.next()
			return
		}
		w.after(300*time.Millisecond, a.try)
	}
}

func (w *world) fail(format string, args ...any) {
	tail := w.trace[max(0, len(w.trace)-60):]
	w.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(tail, "\n"))
}

func (w *world) sendsOf(call *structs.Call) int {
	n := 0
	for _, s := range w.sends {
		if s.call.Program == call.Program && s.call.Key == call.Key {
			n++
		}
	}
	return n
}

// checkSends checks what the targets saw: a filing at most once, and the calls
// of a lane in their order.
func (w *world) checkSends() {
	filings := map[string]int{}
	highest := map[structs.ProgramID]uint64{}
	for _, s := range w.sends {
		if s.call.NotRepeatable {
			name := string(s.call.Program) + s.call.Key
			filings[name]++
			if filings[name] > 1 {
				w.fail("%s was sent %d times", name, filings[name])
			}
		}
		if s.call.Number < highest[s.call.Program] {
			w.fail("%s: number %d was sent after %d", s.call.Program, s.call.Number, highest[s.call.Program])
		}
		highest[s.call.Program] = s.call.Number
	}
}

// inject brings about one random fault.
func (w *world) inject() {
	id := w.ids[w.rng.IntN(len(w.ids))]
	other := w.ids[w.rng.IntN(len(w.ids))]
	length := time.Duration(200+w.rng.IntN(11_000)) * time.Millisecond
	switch w.rng.IntN(7) {
	case 0:
		if n := w.nodes[id]; !n.dead && !n.paused {
			w.kill(id)
			w.after(length, func() { w.note("start %s", id); w.start(id) })
		}
	case 1:
		if n := w.nodes[id]; !n.dead && !n.paused {
			w.pause(id, length)
		}
	case 2:
		w.note("log down for %s", length)
		w.logDown = true
		w.after(length, func() { w.note("log up"); w.logDown = false })
	case 3:
		w.note("lost replies for %s", length)
		w.loseReplies = 0.5
		w.after(length, func() { w.loseReplies = 0 })
	case 4:
		if id != other {
			w.note("cut %s to %s for %s", id, other, length)
			w.cut[[2]structs.InstanceID{id, other}] = true
			w.after(deathTime, func() { w.tellDown(other); w.tellDown(id) })
			w.after(length, func() { delete(w.cut, [2]structs.InstanceID{id, other}) })
		}
	case 6:
		w.note("slow reads of %s for %s", id, length)
		w.readDelay[id] = time.Duration(500+w.rng.IntN(3000)) * time.Millisecond
		w.after(length, func() { delete(w.readDelay, id) })
	case 5:
		w.note("slow sends for %s", length)
		w.sendDelay = 1500 * time.Millisecond
		w.after(length, func() { w.sendDelay = 0 })
	}
}

func runFaults(t testing.TB, seed uint64) {
	w := newWorld(t, seed, 3)
	w.note("seed %d", seed)
	var agents []*agent
	for n := range 6 {
		agents = append(agents, w.newAgent(byte(n+1), 9))
	}
	for range 8 {
		w.run(time.Duration(100+w.rng.IntN(2500)) * time.Millisecond)
		w.inject()
	}
	// Faults cease: every program must come to its end.
	w.run(4 * time.Minute)
	w.checkSends()
	for _, a := range agents {
		if !a.done {
			w.fail("seed %d: program %s stands at call %d", seed, a.program, a.number)
		}
	}
}

// TestRandomFaults runs random schedules of faults over three whole instances.
// INSTANCE_SEED replays one; INSTANCE_RUNS sets their number.
func TestRandomFaults(t *testing.T) {
	if text := os.Getenv("INSTANCE_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		runFaults(t, seed)
		return
	}
	runs := 60
	if text := os.Getenv("INSTANCE_RUNS"); text != "" {
		runs, _ = strconv.Atoi(text)
	}
	for seed := range uint64(runs) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaults(t, seed) })
	}
}
