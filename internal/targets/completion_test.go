package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// pacedRegistry returns a registry whose targets each reported the typical pace
// several times.
func pacedRegistry(n int, idle idleConnections, now time.Time) *Registry {
	r := newRegistryWith(n, idle)
	for i := range 10 * n {
		r.RecordLoad(r.byID[fmt.Sprint("t", i%n)], call.Load{Slots: testSlots, Pace: 100}, now)
	}
	return r
}

// countConcurrentPicks counts the picks per target of n concurrent requests.
func countConcurrentPicks(r *Registry, want Criteria, n int, now time.Time) map[string]int {
	counts := map[string]int{}
	var all []*Target
	for range n {
		t := r.Pick(want, now)
		counts[t.ID]++
		all = append(all, t)
	}
	for _, t := range all {
		r.End(t)
	}
	return counts
}

// countSequentialPicks counts the picks per target of n sequential requests.
func countSequentialPicks(r *Registry, want Criteria, n int, now time.Time) map[string]int {
	counts := map[string]int{}
	for range n {
		for id := range countConcurrentPicks(r, want, 1, now) {
			counts[id]++
		}
	}
	return counts
}

// A target that reports a slow pace is avoided while the report is recent, and used
// again later.
func TestSlowTargetIsAvoidedWhileItReportsSlowness(t *testing.T) {
	now := time.Unix(100, 0)
	r := pacedRegistry(5, idleConnections{}, now)
	r.RecordLoad(r.byID["t0"], call.Load{Slots: testSlots, Pace: 250}, now)
	if n := countSequentialPicks(r, Criteria{Service: "s"}, 50, now)["t0"]; n != 0 {
		t.Errorf("%d of 50 requests went to the slow target", n)
	}
	if n := countConcurrentPicks(r, Criteria{Service: "s"}, 20, now.Add(time.Second))["t0"]; n == 0 {
		t.Error("the target was not picked after the report expired")
	}
}

// Some engines are slow, which only the intervals between events show. Programs
// avoid and leave them, at the instance that measured it and at one that received
// its reports.
func TestProgramsLeaveSlowEngines(t *testing.T) {
	now := time.Unix(100, 0)
	r, other := pacedRegistry(6, idleConnections{}, now), pacedRegistry(6, idleConnections{}, now)
	for i := range 6 {
		pause := 40 * time.Millisecond
		if i < 2 {
			pause *= 4
		}
		for step := range 10 {
			r.RecordEventInterval(r.byID[fmt.Sprint("t", i)], pause, now.Add(time.Duration(step)*time.Millisecond))
		}
	}
	later := now.Add(20 * time.Millisecond)
	var reports []structs.TargetReport
	for _, target := range r.byID {
		reports = append(reports, target.report(meansOf(r.serviceByName("s").all), later))
	}
	other.MergeLoadReports(reports, later)
	for name, at := range map[string]*Registry{"measured": r, "relayed": other} {
		begins := countConcurrentPicks(at, Criteria{Service: "s", Key: "p", Sticky: true, Stream: true}, 16, later)
		if begins["t0"]+begins["t1"] != 0 || len(begins) != 4 {
			t.Errorf("%s: programs began at %v", name, begins)
		}
		leaves := Criteria{Service: "s", Key: "p", LastIncarnation: "t0", Sticky: true, Stream: true, PromptTokens: 2000}
		if n := countSequentialPicks(at, leaves, 20, later)["t0"]; n != 0 {
			t.Errorf("%s: %d of 20 turns stayed at the slow engine", name, n)
		}
		stays := Criteria{Service: "s", Key: "p", LastIncarnation: "t5", Sticky: true, Stream: true, PromptTokens: 2000}
		if n := countSequentialPicks(at, stays, 20, later)["t5"]; n != 20 {
			t.Errorf("%s: %d of 20 turns stayed at an engine of typical speed", name, n)
		}
	}
}

// Requests with the same key go to the same target from all instances.
func TestKeyMapsToOneTargetAtAllInstances(t *testing.T) {
	now := time.Unix(100, 0)
	first, second := pacedRegistry(5, idleConnections{}, now), pacedRegistry(5, idleConnections{}, now)
	for i := range 20 {
		want := Criteria{Service: "s", Key: fmt.Sprint("object", i)}
		a, b := countSequentialPicks(first, want, 3, now), countSequentialPicks(second, want, 3, now)
		if len(a) != 1 || fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("object %d went to %v and %v", i, a, b)
		}
	}
}

// For targets that do not report their pace, no speeds are learned, and selection
// is not by expected completion.
func TestNoSpeedsAreLearnedWithoutPace(t *testing.T) {
	now := time.Unix(100, 0)
	r := newTestRegistry(3)
	r.RecordLoad(r.byID["t0"], call.Load{Slots: testSlots}, now)
	r.RecordEventInterval(r.byID["t0"], time.Second, now)
	if len(r.models) != 0 || !r.byID["t0"].unitTime.UpdatedAt.IsZero() {
		t.Error("a speed was learned")
	}
	var explanation Explanation
	r.Pick(Criteria{Service: "s", Explanation: &explanation}, now)
	if explanation.Estimated {
		t.Errorf("got %+v, want no estimate", explanation)
	}
}

// Relayed load reports do not move programs between targets that do not report
// their pace.
func TestRelayedReportsDoNotMoveProgramsWithoutPace(t *testing.T) {
	now := time.Unix(100, 0)
	r, other := newTestRegistry(3), newTestRegistry(3)
	other.RecordLoad(other.byID["t0"], call.Load{Running: 3 * testSlots, Slots: testSlots}, now)
	r.MergeLoadReports(other.LoadReports(now), now)
	want := Criteria{Service: "s", Key: "p", LastIncarnation: "t0", Sticky: true, Stream: true}
	if got := r.Pick(want, now); got.ID != "t0" {
		t.Errorf("picked %s, want t0", got.ID)
	}
	if pool := r.Pool("s", now); pool.ReportingTargets != 1 || pool.Utilization < 1 || pool.Utilization > 1.1 {
		t.Errorf("unexpected load of the pool: %+v", pool)
	}
}

func TestExplanationHasEstimateAndRunnerUp(t *testing.T) {
	now := time.Unix(100, 0)
	r := pacedRegistry(2, idleConnections{}, now)
	r.RecordLoad(r.byID["t0"], call.Load{Running: testSlots, Slots: testSlots, Pace: 100}, now)
	var explanation Explanation
	got := r.Pick(Criteria{Service: "s", Explanation: &explanation}, now.Add(time.Millisecond))
	if got.ID != "t1" || !explanation.Estimated || explanation.RunnerUp != "t0" || explanation.RunnerUpCompletion <= explanation.ExpectedCompletion ||
		explanation.ReportAge != time.Millisecond || explanation.SpeedAge != unknownAge {
		t.Errorf("picked %s with explanation %+v", got.ID, explanation)
	}
}
