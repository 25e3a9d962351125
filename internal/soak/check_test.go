package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// at is a time of a test's history.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// sound is a history in which every promise holds, with parts that a test can
// break.
type sound struct {
	*history
	turn, safe, once, refused, kept *attempt
	life                            *life
	a, b                            *target
}

func newSound() *sound {
	h := newHistory()
	s := &sound{
		history: h, life: &life{machine: &machine{name: "m0"}},
		a: &target{id: "a", history: h}, b: &target{id: "b", history: h},
	}
	s.turn = s.add(&attempt{id: "t1", program: "p", kind: turn, body: "2 p x", status: 200, signed: "a.t1", whole: true,
		events: []int{1, 2}, received: "2 p x"}, s.a)
	s.safe = s.add(&attempt{id: "s1", program: "p", kind: safe, body: "x", status: 200, signed: "b.s1", whole: true,
		received: answerOf("s1", "x")}, s.a, s.b)
	s.once = s.add(&attempt{id: "o1", program: "p", kind: once, body: "y", status: 200, signed: "a.o1", whole: true,
		received: answerOf("o1", "y")}, s.a)
	s.add(&attempt{id: "k1", program: "p", kind: turn, kept: true, body: "1 p k", status: 200, signed: "a.k1", whole: true,
		events: []int{1}, received: "1 p k"}, s.a)
	s.kept = s.add(&attempt{id: "k2", program: "p", kind: turn, kept: true, previous: "k1", body: "1 p l", status: 200,
		signed: "a.k2", whole: true, events: []int{1}, received: "1 p l"}, s.a)
	s.runs["k2"][0].body = "1 p k" + "1 p k\n" + "1 p l"
	s.refused = s.add(&attempt{id: "r1", program: "p", kind: once, body: "z", status: 503, whole: true})
	h.open("p", 40)
	h.published[1], h.published[2] = at(0), at(100)
	s.see(1, 10, true)
	s.see(2, 200, true)
	s.see(1, 600, false)
	return s
}

// add adds an attempt with its runs.
func (s *sound) add(a *attempt, targets ...*target) *attempt {
	a.life, a.start, a.organisation = s.life, at(0), organisations[0].name
	s.begin(a)
	s.end(a)
	for _, t := range targets {
		s.ran(&run{request: a.id, target: t, body: a.body, ended: true, organisation: a.organisation})
	}
	return a
}

// see adds a look at the settings.
func (s *sound) see(version, ms int, inForce bool) {
	s.probed(probe{life: s.life, version: version, start: at(ms), end: at(ms + 5), inForce: inForce})
}

func TestCheckAcceptsASoundHistory(t *testing.T) {
	if found := check(newSound().history); len(found) > 0 {
		t.Fatal(found)
	}
}

func TestCheckFindsEachBrokenPromise(t *testing.T) {
	cases := []struct {
		name    string
		promise string
		breach  func(s *sound)
	}{
		{"a second run of what runs once", promiseOnce, func(s *sound) {
			s.ran(&run{request: "o1", target: s.a, body: "y"})
		}},
		{"a refused request runs", promiseNotRun, func(s *sound) {
			s.ran(&run{request: "r1", target: s.a, body: "z"})
		}},
		{"a turn without budget runs", promiseNotRun, func(s *sound) { s.turn.status = 402 }},
		{"another signature", promiseWhole, func(s *sound) { s.once.signed = "a.t1" }},
		{"no signature", promiseWhole, func(s *sound) { s.turn.signed = "" }},
		{"another answer", promiseWhole, func(s *sound) { s.safe.received = answerOf("o1", "y") }},
		{"a short answer", promiseWhole, func(s *sound) { s.once.received = s.once.received[:4] }},
		{"a stream that ends early", promiseWhole, func(s *sound) { s.turn.events = []int{1} }},
		{"the stream of another turn", promiseWhole, func(s *sound) { s.turn.received = "2 q x" }},
		{"an event twice", promiseOrder, func(s *sound) { s.turn.events = []int{1, 1, 2} }},
		{"an event missing", promiseOrder, func(s *sound) { s.turn.events = []int{2} }},
		{"too many tokens", promiseBudget, func(s *sound) { s.programs["p"] = -turnMost }},
		{"too many targets", promiseTargets, func(s *sound) {
			s.ran(&run{request: "s1", target: &target{id: "c"}, body: "x", organisation: "north"})
		}},
		{"a request that nobody sent", promiseUnasked, func(s *sound) { s.ran(&run{request: "u1", target: s.a}) }},
		{"another body", promiseUnasked, func(s *sound) { s.runs["o1"][0].body = "changed" }},
		{"a turn that ended is unknown", promiseKept, func(s *sound) {
			s.known["k1"].end, s.kept.end = at(-1), at(5)
			s.kept.status = 404
			s.runs["k2"] = nil
		}},
		{"a turn without the conversation before it", promiseUnasked, func(s *sound) { s.runs["k2"][0].body = "1 p l" }},
		{"a conversation with another output", promiseUnasked, func(s *sound) {
			s.runs["k2"][0].body = "1 p k" + "1 p x\n" + "1 p l"
		}},
		{"a turn behind one that does not exist", promiseUnasked, func(s *sound) { s.kept.previous = "nosuch" }},
		{"an older version served", promiseSettings, func(s *sound) { s.see(1, 900, true) }},
		{"the newest version gone", promiseSettings, func(s *sound) { s.see(2, 900, false) }},
		{"a forged key", promiseKeys, func(s *sound) { s.once.organisation = "" }},
		{"another organisation", promiseKeys, func(s *sound) { s.runs["o1"][0].organisation = organisations[1].name }},
		{"a key at a target", promiseKeys, func(s *sound) { s.runs["o1"][0].credential = organisations[0].key }},
		{"more than the limit", promiseLimits, func(s *sound) {
			o := organisations[2]
			for i := range o.limit.most() + 1 {
				id := fmt.Sprint("l", i)
				a := s.add(&attempt{id: id, program: "p", kind: once, body: "l", status: 200, signed: "a." + id, whole: true,
					received: answerOf(id, "l")}, s.a)
				a.organisation, s.runs[id][0].organisation = o.name, o.name
			}
		}},
		{"a request where no target's entry points", promiseEntries, func(s *sound) { s.stray("o1") }},
		{"a request cut by a shutdown", promiseDrain, func(s *sound) {
			s.life.terminated = at(-1)
			s.once.cut, s.once.whole, s.once.end = true, false, at(2900)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSound()
			c.breach(s)
			found := check(s.history)
			if len(found) == 0 {
				t.Fatal("not found")
			}
			if !strings.Contains(fmt.Sprint(found), c.promise) {
				t.Errorf("found %v, want %q", found, c.promise)
			}
		})
	}
}

// What faults of targets and of the network do to a request is no breach.
func TestCheckAllowsWhatFaultsExplain(t *testing.T) {
	s := newSound()
	s.life.terminated = at(-1)
	s.once.cut, s.once.whole = true, false
	s.runs["o1"][0].faulty = true
	s.ran(&run{request: "s1", target: &target{id: "c"}, body: "x", organisation: "north"})
	s.b.gone.Store(true)
	// The end of a kept turn waited for the store until its route's timeout.
	s.kept.cut, s.kept.whole, s.kept.end = true, false, at(int(routeTimeout.Milliseconds()))
	s.see(1, 210, true) // within the slack
	if found := check(s.history); len(found) > 0 {
		t.Error(found)
	}
}
