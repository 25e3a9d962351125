package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// testTime returns the time at an offset from the start of a test history.
func testTime(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// validHistory is a history without violations. Tests change parts of it to cause
// one.
type validHistory struct {
	*history
	turn, safe, once, refused, stored *attempt
	incarnation                       *incarnation
	a, b                              *target
}

func newValidHistory() *validHistory {
	h := newHistory()
	s := &validHistory{
		history: h, incarnation: &incarnation{instance: &instance{name: "m0"}},
		a: &target{id: "a", history: h}, b: &target{id: "b", history: h},
	}
	s.turn = s.add(&attempt{id: "t1", program: "p", kind: turn, body: "2 p x", status: 200, signature: "a.t1", complete: true,
		events: []int{1, 2}, received: "2 p x"}, s.a)
	s.safe = s.add(&attempt{id: "s1", program: "p", kind: safe, body: "x", status: 200, signature: "b.s1", complete: true,
		received: responseBody("s1", "x")}, s.a, s.b)
	s.once = s.add(&attempt{id: "o1", program: "p", kind: once, body: "y", status: 200, signature: "a.o1", complete: true,
		received: responseBody("o1", "y")}, s.a)
	s.add(&attempt{id: "k1", program: "p", kind: turn, stored: true, body: "1 p k", status: 200, signature: "a.k1", complete: true,
		events: []int{1}, received: "1 p k"}, s.a)
	s.stored = s.add(&attempt{id: "k2", program: "p", kind: turn, stored: true, previous: "k1", body: "1 p l", status: 200,
		signature: "a.k2", complete: true, events: []int{1}, received: "1 p l"}, s.a)
	s.runs["k2"][0].body = "1 p k" + "1 p k\n" + "1 p l"
	s.refused = s.add(&attempt{id: "r1", program: "p", kind: once, body: "z", status: 503, complete: true})
	h.recordProgram("p", 40)
	h.published[1], h.published[2] = testTime(0), testTime(100)
	s.addProbe(1, 10, true)
	s.addProbe(2, 200, true)
	s.addProbe(1, 600, false)
	return s
}

// add adds an attempt with its runs.
func (s *validHistory) add(a *attempt, targets ...*target) *attempt {
	a.incarnation, a.start, a.organisation = s.incarnation, testTime(0), organisations[0].name
	s.recordStart(a)
	s.recordEnd(a)
	for _, t := range targets {
		s.recordRun(&run{request: a.id, target: t, body: a.body, completed: true, organisation: a.organisation})
	}
	return a
}

// addProbe adds a probe of the settings.
func (s *validHistory) addProbe(version, ms int, inForce bool) {
	s.recordProbe(probe{incarnation: s.incarnation, version: version, start: testTime(ms), end: testTime(ms + 5), inForce: inForce})
}

func TestCheckAcceptsASoundHistory(t *testing.T) {
	if found := check(newValidHistory().history); len(found) > 0 {
		t.Fatal(found)
	}
}

func TestCheckFindsEachBrokenPromise(t *testing.T) {
	cases := []struct {
		name      string
		invariant string
		violate   func(s *validHistory)
	}{
		{"a second run of a request that must not be repeated", invariantOnce, func(s *validHistory) {
			s.recordRun(&run{request: "o1", target: s.a, body: "y"})
		}},
		{"a refused request runs", invariantNotRun, func(s *validHistory) {
			s.recordRun(&run{request: "r1", target: s.a, body: "z"})
		}},
		{"a turn without budget runs", invariantNotRun, func(s *validHistory) { s.turn.status = 402 }},
		{"another signature", invariantComplete, func(s *validHistory) { s.once.signature = "a.t1" }},
		{"no signature", invariantComplete, func(s *validHistory) { s.turn.signature = "" }},
		{"another answer", invariantComplete, func(s *validHistory) { s.safe.received = responseBody("o1", "y") }},
		{"a short answer", invariantComplete, func(s *validHistory) { s.once.received = s.once.received[:4] }},
		{"a stream that ends early", invariantComplete, func(s *validHistory) { s.turn.events = []int{1} }},
		{"the stream of another turn", invariantComplete, func(s *validHistory) { s.turn.received = "2 q x" }},
		{"an event twice", invariantOrder, func(s *validHistory) { s.turn.events = []int{1, 1, 2} }},
		{"an event missing", invariantOrder, func(s *validHistory) { s.turn.events = []int{2} }},
		{"too many tokens", invariantBudget, func(s *validHistory) { s.programs["p"] = -maxTurnTokens }},
		{"too many targets", invariantTargets, func(s *validHistory) {
			s.recordRun(&run{request: "s1", target: &target{id: "c"}, body: "x", organisation: "north"})
		}},
		{"a request that nobody sent", invariantSent, func(s *validHistory) { s.recordRun(&run{request: "u1", target: s.a}) }},
		{"another body", invariantSent, func(s *validHistory) { s.runs["o1"][0].body = "changed" }},
		{"a turn that ended is not found", invariantStoredTurns, func(s *validHistory) {
			s.attemptsByID["k1"].end, s.stored.end = testTime(-1), testTime(5)
			s.stored.status = 404
			s.runs["k2"] = nil
		}},
		{"a turn without the conversation before it", invariantSent, func(s *validHistory) { s.runs["k2"][0].body = "1 p l" }},
		{"a conversation with another output", invariantSent, func(s *validHistory) {
			s.runs["k2"][0].body = "1 p k" + "1 p x\n" + "1 p l"
		}},
		{"a turn after one that does not exist", invariantSent, func(s *validHistory) { s.stored.previous = "nosuch" }},
		{"an older version served", invariantSettings, func(s *validHistory) { s.addProbe(1, 900, true) }},
		{"the newest version missing", invariantSettings, func(s *validHistory) { s.addProbe(2, 900, false) }},
		{"a forged key", invariantKeys, func(s *validHistory) { s.once.organisation = "" }},
		{"another organisation", invariantKeys, func(s *validHistory) { s.runs["o1"][0].organisation = organisations[1].name }},
		{"a key at a target", invariantKeys, func(s *validHistory) { s.runs["o1"][0].credential = organisations[0].key }},
		{"more than the limit", invariantLimits, func(s *validHistory) {
			o := organisations[2]
			for i := range o.limit.maxRequests() + 1 {
				id := fmt.Sprint("l", i)
				a := s.add(&attempt{id: id, program: "p", kind: once, body: "l", status: 200, signature: "a." + id, complete: true,
					received: responseBody(id, "l")}, s.a)
				a.organisation, s.runs[id][0].organisation = o.name, o.name
			}
		}},
		{"a request where no target's entry points", invariantEntries, func(s *validHistory) { s.recordMisrouted("o1") }},
		{"a request cut by a shutdown", invariantShutdown, func(s *validHistory) {
			s.incarnation.terminated = testTime(-1)
			s.once.aborted, s.once.complete, s.once.end = true, false, testTime(2900)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newValidHistory()
			c.violate(s)
			found := check(s.history)
			if len(found) == 0 {
				t.Fatal("no violation found")
			}
			if !strings.Contains(fmt.Sprint(found), c.invariant) {
				t.Errorf("found %v, want %q", found, c.invariant)
			}
		})
	}
}

// Faults of targets and of the network explain failed requests; those are no
// violations.
func TestCheckAllowsWhatFaultsExplain(t *testing.T) {
	s := newValidHistory()
	s.incarnation.terminated = testTime(-1)
	s.once.aborted, s.once.complete = true, false
	s.runs["o1"][0].faulted = true
	s.recordRun(&run{request: "s1", target: &target{id: "c"}, body: "x", organisation: "north"})
	s.b.stopped.Store(true)
	// The end of a stored turn waited for the store until its route's timeout.
	s.stored.aborted, s.stored.complete, s.stored.end = true, false, testTime(int(routeTimeout.Milliseconds()))
	s.addProbe(1, 210, true) // within the tolerance
	if found := check(s.history); len(found) > 0 {
		t.Error(found)
	}
}
