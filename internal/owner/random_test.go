package owner

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// seedVariable replays one schedule: OWNER_SEED=n go test -run RandomFaults.
const seedVariable = "OWNER_SEED"

// scheduleCount is the default number of schedules in a test run, countVariable
// overrides it.
const (
	scheduleCount = 300
	countVariable = "OWNER_SCHEDULES"
)

func TestRandomFaults(t *testing.T) {
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		if s := runSchedule(t, seed); len(s.violations) > 0 {
			t.Fatalf("%s\n%s\n%s", strings.Join(s.cluster.trace, "\n"), s.cluster.dump(), strings.Join(s.violations, "\n"))
		}
		return
	}
	var total schedule
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = scheduleCount
	if n, err := strconv.Atoi(os.Getenv(countVariable)); err == nil {
		parameters.MinSuccessfulTests = n
	}
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold under faults", prop.ForAll(func(seed uint64) string {
		s := runSchedule(t, seed)
		total.faults += s.faults
		total.answered += s.answered
		total.calls += len(s.cluster.allRequests)
		if len(s.violations) > 0 {
			return fmt.Sprintf("%s=%d: %s", seedVariable, seed, strings.Join(s.violations, "; "))
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	t.Logf("%d faults, %d requests, %d answered", total.faults, total.calls, total.answered)
}

// schedule is one run of callers under random faults.
type schedule struct {
	cluster    *cluster
	rng        *rand.Rand
	faults     int
	calls      int
	answered   int
	faultFree  bool
	violations []string
}

// caller submits the calls of one lane in order.
type caller struct {
	s        *schedule
	program  structs.ProgramID
	lane     structs.Lane
	number   uint64
	attempts int
	// fresh indicates that the next delivery of the key is its only one so far.
	fresh bool
}

const callsPerLane = 12

func runSchedule(t testing.TB, seed uint64) *schedule {
	cl := newCluster(t, seed, 3)
	cl.shards, cl.snapshotInterval = 2, 25
	for _, id := range cl.ids {
		cl.start(id)
	}
	s := &schedule{cluster: cl, rng: rand.New(rand.NewPCG(seed, 2))}
	// Some schedules exhaust a budget, most do not.
	cl.policy.ProgramTokens, cl.policy.ProgramFees = []int64{4000, 1000, 4000, 4000}[seed%4], 120
	cl.policy.TeamTokens, cl.policy.TeamFees = []int64{6000, 6000, 1500, 6000}[seed%4], 200
	cl.policy.GapTimeout = 2 * time.Second
	cl.policy.LoopRepeats = 0
	cl.supportsOutcomeQuery = seed%2 == 0
	cl.runTime = 50 * time.Millisecond
	cl.runResult = s.randomRunResult
	programs := []structs.ProgramID{cl.program(1), cl.program(2)}
	cl.faults = faults{lostReplyRate: 0.1, droppedRate: 0.05, refusedRate: 0.05, maxCommandDelay: 3 * time.Second}
	for _, id := range programs {
		for _, lane := range []structs.Lane{"", "sub"} {
			c := &caller{s: s, program: id, lane: lane}
			c.issueNext()
		}
	}
	for range 100 {
		s.injectFault()
		cl.run(200 * time.Millisecond)
		cl.truncate()
	}
	s.heal()
	cl.run(5 * time.Minute)
	s.check(programs)
	return s
}

func (s *schedule) randomRunResult(structs.StartRun) structs.RunFailure {
	switch roll := s.rng.Float64(); {
	case s.faultFree || roll < 0.9:
		return structs.RunOK
	case roll < 0.95:
		return structs.RunNotSent
	default:
		return structs.RunBroken
	}
}

// injectFault injects at most one fault.
func (s *schedule) injectFault() {
	cl := s.cluster
	id := cl.ids[s.rng.IntN(len(cl.ids))]
	n := cl.nodes[id]
	span := time.Duration(s.rng.Int64N(int64(5 * time.Second)))
	switch roll := s.rng.Float64(); {
	case roll < 0.04 && n.alive:
		cl.kill(id)
		cl.after(span, func() {
			if !n.alive {
				cl.tracef("start %s", id)
				cl.start(id)
			}
		})
	case roll < 0.10 && n.alive && !n.paused:
		cl.pause(id, span)
	case roll < 0.12 && !cl.logDown:
		cl.tracef("log down for %s", span)
		cl.logDown = true
		cl.after(span, func() { cl.logDown = false })
	case roll < 0.15 && n.alive && !n.partitioned:
		cl.tracef("partition %s from the log for %s", id, span)
		incarnation := n.incarnation
		n.partitioned = true
		cl.after(span, func() { n.partitioned = n.partitioned && n.incarnation != incarnation })
	default:
		return
	}
	s.faults++
}

func (s *schedule) heal() {
	cl := s.cluster
	cl.tracef("heal")
	s.faultFree = true
	cl.faults = faults{}
	cl.logDown = false
	for _, id := range cl.ids {
		n := cl.nodes[id]
		n.partitioned = false
		if !n.alive {
			cl.start(id)
		}
	}
}

// issueNext submits the lane's next call.
func (c *caller) issueNext() {
	c.number++
	c.attempts = 0
	if c.number <= callsPerLane {
		c.submit()
	}
}

func (c *caller) spec() *structs.Call {
	spec := testCall(c.program, c.number, c.number%2 == 0)
	spec.Lane = c.lane
	spec.Key = fmt.Sprintf("%s-%d", c.lane, c.number)
	spec.Stream = c.number%3 == 0
	spec.Fresh = c.fresh
	return spec
}

func (c *caller) submit() {
	c.attempts++
	cl := c.s.cluster
	twice := c.s.rng.Float64() < 0.1
	c.fresh = c.attempts == 1 && !twice
	r := cl.submit(c.spec(), 10*time.Second)
	if twice {
		cl.after(10*time.Millisecond, func() { cl.submit(c.spec(), 10*time.Second) })
	}
	c.awaitOutcome(r)
}

// awaitOutcome waits for the outcome, then continues or retries the call.
func (c *caller) awaitOutcome(r *request) {
	cl := c.s.cluster
	if r.outcome == nil {
		cl.after(50*time.Millisecond, func() { c.awaitOutcome(r) })
		return
	}
	switch {
	case r.kind() == structs.OutcomeAnswered:
		c.s.answered++
		c.issueNext()
	case r.reason() == structs.ReasonBudget || c.attempts > 40:
		return
	case r.kind() == structs.OutcomeUnknown && r.call.NotRepeatable && c.attempts > 3:
		c.issueNext()
	default:
		cl.after(max(time.Second, r.outcome.RetryAfter), c.submit)
	}
}

func (s *schedule) violationf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *schedule) check(programs []structs.ProgramID) {
	s.checkSends()
	s.checkNotRun()
	s.checkOrder()
	s.checkAnswers()
	s.checkBudget(programs)
	s.checkProgress(programs)
}

func callName(c *structs.Call) string { return fmt.Sprintf("%s/%s", c.Program, c.Key) }

// checkSends checks that a not-repeatable call is sent at most once, and that
// every send serves a request that was not answered "not run".
func (s *schedule) checkSends() {
	count := make(map[string]int)
	for _, send := range s.cluster.sends {
		name := callName(send.call)
		count[name]++
		if send.call.NotRepeatable && count[name] > 1 {
			s.violationf("%s was sent %d times", name, count[name])
		}
		if !s.hasOpenRequest(send) {
			s.violationf("%s ran at %s although every request for it was answered 'not run'", name, send.at.Sub(testStart))
		}
	}
}

func (s *schedule) hasOpenRequest(send targetSend) bool {
	for _, r := range s.cluster.allRequests {
		if callName(r.call) == callName(send.call) && !r.at.After(send.at) && r.kind() != structs.OutcomeNotRun {
			return true
		}
	}
	return false
}

// checkNotRun checks that no not-repeatable call is answered "not run" after it
// was sent, whichever delivery caused the send.
func (s *schedule) checkNotRun() {
	for _, r := range s.cluster.allRequests {
		if r.kind() != structs.OutcomeNotRun || !r.call.NotRepeatable {
			continue
		}
		for _, send := range s.cluster.sends {
			if callName(send.call) == callName(r.call) && !send.at.After(r.endedAt) {
				s.violationf("%s for %s was answered 'not run' (%s) after its send", r.id, callName(r.call), r.reason())
			}
		}
	}
}

// checkOrder checks that the first sends of a lane's calls are in the order of
// numbers. Sends after their NotAfter are ignored, since no clock can order them.
func (s *schedule) checkOrder() {
	seen := make(map[string]bool)
	high := make(map[string]uint64)
	for _, send := range s.cluster.sends {
		name := callName(send.call)
		lane := fmt.Sprintf("%s/%s", send.call.Program, send.call.Lane)
		if seen[name] || send.overdue {
			continue
		}
		seen[name] = true
		if send.call.Number < high[lane] {
			s.violationf("%s was first sent after call %d", name, high[lane])
		}
		high[lane] = max(high[lane], send.call.Number)
	}
}

// checkAnswers checks that each answer is complete and comes from a run of the
// same call, and that all answers of a not-repeatable call are equal.
func (s *schedule) checkAnswers() {
	answers := make(map[string]string)
	for _, r := range s.cluster.allRequests {
		if r.kind() != structs.OutcomeAnswered {
			continue
		}
		name := callName(r.call)
		if !s.isRunAnswer(name, r.outcome.Text) {
			s.violationf("%s got %q, which no run of it answered", name, r.outcome.Text)
		}
		if old, ok := answers[name]; ok && old != r.outcome.Text && r.call.NotRepeatable {
			s.violationf("%s got %q and %q", name, old, r.outcome.Text)
		}
		answers[name] = r.outcome.Text
		if got := strings.Join(r.pieces, ""); !strings.HasPrefix(r.outcome.Text, got) {
			s.violationf("%s got pieces %q of %q", name, got, r.outcome.Text)
		}
	}
}

func (s *schedule) isRunAnswer(name, text string) bool {
	for _, send := range s.cluster.sends {
		if callName(send.call) == name && text == "answer of "+string(send.run) {
			return true
		}
	}
	return false
}

func (s *schedule) checkBudget(programs []structs.ProgramID) {
	var teamTokens, teamFees int64
	for _, id := range programs {
		var tokens, fees int64
		for _, send := range s.cluster.sends {
			if send.call.Program == id {
				tokens += send.cost
				fees += send.call.Fee
			}
		}
		if tokens > s.cluster.policy.ProgramTokens || fees > s.cluster.policy.ProgramFees {
			s.violationf("program %s spent %d tokens and %d fees", id, tokens, fees)
		}
		teamTokens, teamFees = teamTokens+tokens, teamFees+fees
	}
	if teamTokens > s.cluster.policy.TeamTokens || teamFees > s.cluster.policy.TeamFees {
		s.violationf("the team spent %d tokens and %d fees", teamTokens, teamFees)
	}
}

// checkProgress checks that once faults have ceased, every request has an outcome
// and a new program can run a call.
func (s *schedule) checkProgress(programs []structs.ProgramID) {
	for _, r := range s.cluster.allRequests {
		if r.outcome == nil {
			s.violationf("%s has no outcome", r.id)
		}
		if r.reason() == "gateway-deadline" && r.at.After(testStart.Add(25*time.Second)) {
			s.violationf("%s received no outcome after the faults had ceased", r.id)
		}
	}
	s.cluster.policy.TeamTokens, s.cluster.policy.TeamFees = 0, 0
	id := s.cluster.program(3)
	r := s.cluster.submit(testCall(id, 1, true), time.Minute)
	s.cluster.run(time.Second)
	if r.kind() != structs.OutcomeAnswered {
		s.violationf("a call after the faults got kind %d %s", r.kind(), r.reason())
	}
}

// Decisions must not depend on the iteration order of maps.
func TestSameSeedGivesSameTrace(t *testing.T) {
	for seed := range uint64(20) {
		first, second := runSchedule(t, seed).cluster, runSchedule(t, seed).cluster
		for i := range min(len(first.trace), len(second.trace)) {
			if first.trace[i] != second.trace[i] {
				t.Fatalf("seed %d: first run: %s\nsecond run: %s", seed, first.trace[i], second.trace[i])
			}
		}
		for name, records := range first.streams {
			for i, data := range records {
				if !bytes.Equal(data, second.streams[name][i]) {
					t.Fatalf("seed %d: record %d of %s differs", seed, i, name)
				}
			}
		}
	}
}
