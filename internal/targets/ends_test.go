package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// pacedRegistry has targets of which each told its usual pace some times.
func pacedRegistry(n int, kept keptTo, now time.Time) *Registry {
	r := newRegistryWith(n, kept)
	for i := range 10 * n {
		r.RecordLoad(r.byID[fmt.Sprint("t", i%n)], call.Load{Slots: testSlots, Pace: 100}, now)
	}
	return r
}

// chosen counts the targets that n requests at once get.
func chosen(r *Registry, want Criteria, n int, now time.Time) map[string]int {
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

// chosenInTurn counts the targets that n requests one after the other get.
func chosenInTurn(r *Registry, want Criteria, n int, now time.Time) map[string]int {
	counts := map[string]int{}
	for range n {
		for id := range chosen(r, want, 1, now) {
			counts[id]++
		}
	}
	return counts
}

// One target of five turns slow for half a second and says so: requests avoid it
// while that is new, and come back.
func TestSlowMachineIsAvoidedWhileItSaysSo(t *testing.T) {
	now := time.Unix(100, 0)
	r := pacedRegistry(5, keptTo{}, now)
	r.RecordLoad(r.byID["t0"], call.Load{Slots: testSlots, Pace: 250}, now)
	if n := chosenInTurn(r, Criteria{Service: "s"}, 50, now)["t0"]; n != 0 {
		t.Errorf("%d of 50 requests went to the slow target", n)
	}
	if n := chosen(r, Criteria{Service: "s"}, 20, now.Add(time.Second))["t0"]; n == 0 {
		t.Error("the target was not tried again")
	}
}

// A third of the engines is several times slower for seconds, which only the
// pauses between events tell: programs begin elsewhere and those there leave,
// here and at an instance that only heard of it.
func TestProgramsLeaveEnginesThatTurnSlow(t *testing.T) {
	now := time.Unix(100, 0)
	r, other := pacedRegistry(6, keptTo{}, now), pacedRegistry(6, keptTo{}, now)
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
	var told []structs.TargetReport
	for _, target := range r.byID {
		told = append(told, target.report(usualOf(r.of("s").all), later))
	}
	other.MergeLoadReports(told, later)
	for name, at := range map[string]*Registry{"seen": r, "heard": other} {
		begins := chosen(at, Criteria{Service: "s", Key: "p", Sticky: true, Stream: true}, 16, later)
		if begins["t0"]+begins["t1"] != 0 || len(begins) != 4 {
			t.Errorf("%s: programs began at %v", name, begins)
		}
		leaves := Criteria{Service: "s", Key: "p", LastIncarnation: "t0", Sticky: true, Stream: true, PromptTokens: 2000}
		if n := chosenInTurn(at, leaves, 20, later)["t0"]; n != 0 {
			t.Errorf("%s: %d of 20 turns stayed at the slow engine", name, n)
		}
		stays := Criteria{Service: "s", Key: "p", LastIncarnation: "t5", Sticky: true, Stream: true, PromptTokens: 2000}
		if n := chosenInTurn(at, stays, 20, later)["t5"]; n != 20 {
			t.Errorf("%s: %d of 20 turns stayed at a usual engine", name, n)
		}
	}
}

// Requests about one object go to one target, found alike by all instances.
func TestObjectsHaveATargetOfTheirOwn(t *testing.T) {
	now := time.Unix(100, 0)
	first, second := pacedRegistry(5, keptTo{}, now), pacedRegistry(5, keptTo{}, now)
	for i := range 20 {
		want := Criteria{Service: "s", Key: fmt.Sprint("object", i)}
		a, b := chosenInTurn(first, want, 3, now), chosenInTurn(second, want, 3, now)
		if len(a) != 1 || fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("object %d went to %v and %v", i, a, b)
		}
	}
}

// Targets that say nothing of their pace are chosen as before, and nothing is
// learned of them.
func TestTargetsWithoutAPaceAreChosenAsBefore(t *testing.T) {
	now := time.Unix(100, 0)
	r := newTestRegistry(3)
	r.RecordLoad(r.byID["t0"], call.Load{Slots: testSlots}, now)
	r.RecordEventInterval(r.byID["t0"], time.Second, now)
	if len(r.works) != 0 || !r.byID["t0"].speed.UpdatedAt.IsZero() {
		t.Error("something was learned")
	}
	var why Explanation
	r.Pick(Criteria{Service: "s", Explanation: &why}, now)
	if why.Estimated {
		t.Errorf("got %+v", why)
	}
}

// What other instances heard does not move the programs of targets that say
// nothing of their pace.
func TestProgramsStayAtTargetsWithoutAPaceWhateverOthersHeard(t *testing.T) {
	now := time.Unix(100, 0)
	r, other := newTestRegistry(3), newTestRegistry(3)
	other.RecordLoad(other.byID["t0"], call.Load{Running: 3 * testSlots, Slots: testSlots}, now)
	r.MergeLoadReports(other.LoadReports(now), now)
	want := Criteria{Service: "s", Key: "p", LastIncarnation: "t0", Sticky: true, Stream: true}
	if got := r.Pick(want, now); got.ID != "t0" {
		t.Errorf("%s was chosen", got.ID)
	}
	if pool := r.Pool("s", now); pool.Reporting != 1 || pool.Utilization < 1 || pool.Utilization > 1.1 {
		t.Errorf("the pool's load is %+v", pool)
	}
}

func TestWhyTellsTheEstimateAndTheRunnerUp(t *testing.T) {
	now := time.Unix(100, 0)
	r := pacedRegistry(2, keptTo{}, now)
	r.RecordLoad(r.byID["t0"], call.Load{Running: testSlots, Slots: testSlots, Pace: 100}, now)
	var why Explanation
	got := r.Pick(Criteria{Service: "s", Explanation: &why}, now.Add(time.Millisecond))
	if got.ID != "t1" || !why.Estimated || why.RunnerUp != "t0" || why.RunnerUpEnd <= why.ExpectedEnd ||
		why.ReportAge != time.Millisecond || why.SpeedAge != unknownAge {
		t.Errorf("%s was chosen for %+v", got.ID, why)
	}
}
