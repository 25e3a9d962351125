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

// requestTimeout is how long a caller waits before it retries at another
// instance. It is shorter than the deadline of the request, as if the caller's
// connection broke.
const requestTimeout = 4 * time.Second

// agent is a caller that runs a program of numbered calls, each at a random
// instance, and retries with the same key until the call completes.
type agent struct {
	cluster *cluster
	program structs.ProgramID
	calls   uint64
	number  uint64
	attempt int
	// unknownOutcomes counts the unknown outcomes of the current call.
	unknownOutcomes int
	history         []structs.ChainDigest
	done            bool
	requests        int
}

func (c *cluster) newAgent(n byte, calls uint64) *agent {
	a := &agent{cluster: c, program: structs.NewProgramID(testRegion, c.now, [10]byte{n}), calls: calls}
	a.openProgram()
	return a
}

// sendRequest posts a request at a random live instance and passes the outcome
// to handle: an unknown outcome if there is none within requestTimeout.
func (a *agent) sendRequest(post func(structs.RequestID) structs.Event, handle func(structs.Outcome)) {
	c := a.cluster
	n := c.nodes[c.ids[c.rng.IntN(len(c.ids))]]
	if n.dead {
		c.after(20*time.Millisecond, func() { a.sendRequest(post, handle) })
		return
	}
	a.requests++
	id := structs.RequestID(fmt.Sprintf("%s/%d", a.program, a.requests))
	done := false
	finish := func(out structs.Outcome) {
		if done {
			return
		}
		done = true
		handle(out)
	}
	c.replies[id] = finish
	c.after(requestTimeout, func() { finish(structs.Outcome{Kind: structs.OutcomeUnknown, Reason: "no-answer"}) })
	n.deliver(post(id))
}

func (a *agent) openProgram() {
	a.sendRequest(func(id structs.RequestID) structs.Event {
		return structs.CallerProgram{Request: id, Op: structs.ProgramOpen, Program: a.program, Team: testTeam, Deadline: a.cluster.now.Add(5 * time.Second)}
	}, func(out structs.Outcome) {
		if out.Kind != structs.OutcomeAnswered {
			a.cluster.after(200*time.Millisecond, a.openProgram)
			return
		}
		a.nextCall()
	})
}

func (a *agent) nextCall() {
	if a.number == a.calls {
		a.done = true
		return
	}
	a.number++
	a.attempt, a.unknownOutcomes = 0, 0
	a.submit()
}

// currentCall builds the current call. Every third one is a filing, which must
// not be repeated.
func (a *agent) currentCall() *structs.Call {
	c := &structs.Call{
		Program: a.program, Team: testTeam, Number: a.number, Key: fmt.Sprintf("k%d", a.number),
		Service: chatService, Kind: structs.CallChat, Digest: structs.Digest{byte(a.number)},
		PromptTokens: 100, MaxTokens: 100, Fresh: a.unknownOutcomes == 0,
		History: append(append([]structs.ChainDigest{}, a.history...), structs.ChainDigest{byte(2*a.number - 1)}),
	}
	if a.number%3 == 0 {
		c.Kind, c.Service, c.NotRepeatable, c.History = structs.CallPlain, filingService, true, nil
		c.PromptTokens, c.MaxTokens = 0, 0
	}
	return c
}

func (a *agent) submit() {
	a.attempt++
	call := a.currentCall()
	a.sendRequest(func(id structs.RequestID) structs.Event {
		return structs.CallerSubmit{Request: id, Call: call, Deadline: a.cluster.now.Add(6 * time.Second)}
	}, func(out structs.Outcome) { a.handleOutcome(call, out) })
}

func (a *agent) handleOutcome(call *structs.Call, out structs.Outcome) {
	c := a.cluster
	c.logf("%s %s attempt %d: kind %d %s", a.program, call.Key, a.attempt, out.Kind, out.Reason)
	switch out.Kind {
	case structs.OutcomeAnswered:
		if got := out.Text + string(out.Body); got != responseTo(call) {
			c.fatalf("response %q, want %q", got, responseTo(call))
		}
		if call.Kind == structs.CallChat {
			a.history = append(call.History, structs.ChainDigest{byte(2 * a.number)})
		}
		a.nextCall()
	case structs.OutcomeNotRun:
		if n := c.countSends(call); n > 0 {
			c.fatalf("%s %s: \"not run\" (%s) after %d sends", call.Program, call.Key, out.Reason, n)
		}
		c.after(max(out.RetryAfter, 50*time.Millisecond), a.submit)
	case structs.OutcomeUnknown:
		a.unknownOutcomes++
		if call.NotRepeatable && a.unknownOutcomes > 5 && out.Reason != "no-answer" {
			a.nextCall()
			return
		}
		c.after(300*time.Millisecond, a.submit)
	}
}

func (c *cluster) fatalf(format string, args ...any) {
	tail := c.trace[max(0, len(c.trace)-60):]
	c.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(tail, "\n"))
}

func (c *cluster) countSends(call *structs.Call) int {
	n := 0
	for _, s := range c.sends {
		if s.call.Program == call.Program && s.call.Key == call.Key {
			n++
		}
	}
	return n
}

// checkSends checks the sends to the targets: filings at most once, and the
// calls of a lane in order.
func (c *cluster) checkSends() {
	filings := map[string]int{}
	highest := map[structs.ProgramID]uint64{}
	for _, s := range c.sends {
		if s.call.NotRepeatable {
			name := string(s.call.Program) + s.call.Key
			filings[name]++
			if filings[name] > 1 {
				c.fatalf("%s was sent %d times", name, filings[name])
			}
		}
		if s.call.Number < highest[s.call.Program] {
			c.fatalf("%s: number %d was sent after %d", s.call.Program, s.call.Number, highest[s.call.Program])
		}
		highest[s.call.Program] = s.call.Number
	}
}

// injectFault starts a random fault.
func (c *cluster) injectFault() {
	id := c.ids[c.rng.IntN(len(c.ids))]
	other := c.ids[c.rng.IntN(len(c.ids))]
	length := time.Duration(200+c.rng.IntN(11_000)) * time.Millisecond
	switch c.rng.IntN(7) {
	case 0:
		if n := c.nodes[id]; !n.dead && !n.paused {
			c.kill(id)
			c.after(length, func() { c.logf("start %s", id); c.start(id) })
		}
	case 1:
		if n := c.nodes[id]; !n.dead && !n.paused {
			c.pause(id, length)
		}
	case 2:
		c.logf("log down for %s", length)
		c.logDown = true
		c.after(length, func() { c.logf("log up"); c.logDown = false })
	case 3:
		c.logf("lose replies for %s", length)
		c.replyLossRate = 0.5
		c.after(length, func() { c.replyLossRate = 0 })
	case 4:
		if id != other {
			c.logf("cut %s to %s for %s", id, other, length)
			c.cutLinks[[2]structs.InstanceID{id, other}] = true
			c.after(failureDetectionDelay, func() { c.notifyDown(other); c.notifyDown(id) })
			c.after(length, func() { delete(c.cutLinks, [2]structs.InstanceID{id, other}) })
		}
	case 6:
		c.logf("slow reads of %s for %s", id, length)
		c.readDelay[id] = time.Duration(500+c.rng.IntN(3000)) * time.Millisecond
		c.after(length, func() { delete(c.readDelay, id) })
	case 5:
		c.logf("slow sends for %s", length)
		c.sendDelay = 1500 * time.Millisecond
		c.after(length, func() { c.sendDelay = 0 })
	}
}

func runFaults(t testing.TB, seed uint64) {
	c := newCluster(t, seed, 3)
	c.logf("seed %d", seed)
	var agents []*agent
	for n := range 6 {
		agents = append(agents, c.newAgent(byte(n+1), 9))
	}
	for range 8 {
		c.runFor(time.Duration(100+c.rng.IntN(2500)) * time.Millisecond)
		c.injectFault()
	}
	// Once the faults end, every program must complete.
	c.runFor(4 * time.Minute)
	c.checkSends()
	for _, a := range agents {
		if !a.done {
			c.fatalf("seed %d: program %s is stuck at call %d", seed, a.program, a.number)
		}
	}
}

// TestRandomFaults runs random fault schedules over three instances.
// INSTANCE_SEED replays one seed, INSTANCE_RUNS sets the number of seeds.
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
