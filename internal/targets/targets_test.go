package targets

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

const testSlots = 4

// idleConnections maps addresses with an idle connection to its expiry.
type idleConnections map[string]time.Time

func (c idleConnections) HasIdle(address string, now time.Time) bool { return now.Before(c[address]) }

func newTestRegistry(n int) *Registry { return newRegistryWith(n, idleConnections{}) }

func newRegistryWith(n int, idle idleConnections) *Registry {
	r := NewRegistry("dc", idle)
	for i := range n {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint("a", i), DataCentre: "dc", Slots: testSlots})
	}
	return r
}

// maxKeyedRequests is the number of requests at which a target takes no more
// requests by key.
func maxKeyedRequests() int { return int(math.Ceil(maxKeyedUtilization * testSlots)) }

func TestKeyStaysAtItsTargetUntilOverloaded(t *testing.T) {
	r := newTestRegistry(5)
	now := time.Unix(100, 0)
	first := r.Pick(Criteria{Service: "s", Key: "program"}, now)
	placed := 1
	for r.Pick(Criteria{Service: "s", Key: "program"}, now) == first {
		placed++
	}
	if want := maxKeyedRequests(); placed != want {
		t.Errorf("%d requests went to the first target, want %d", placed, want)
	}
	for range placed {
		r.End(first)
	}
	if r.Pick(Criteria{Service: "s", Key: "program"}, now) != first {
		t.Error("the key did not return to its target")
	}
}

// twoDataCentres returns a registry with n local targets and n in another data
// centre.
func twoDataCentres(n int) *Registry {
	r := newTestRegistry(n)
	for i := range n {
		r.Put(Entry{ID: fmt.Sprint("far", i), Service: "s", Address: fmt.Sprint("f", i), DataCentre: "far", Slots: testSlots})
	}
	return r
}

// A program continues at its last target, in any data centre, until that is full.
func TestProgramContinuesAtItsLastTarget(t *testing.T) {
	r := twoDataCentres(4)
	now := time.Unix(100, 0)
	for i := range 20 {
		want := Criteria{Service: "s", Key: fmt.Sprint("program", i), LastIncarnation: "far2", Sticky: true}
		got := r.Pick(want, now)
		if got.ID != "far2" {
			t.Fatalf("picked %s, want far2", got.ID)
		}
		r.End(got)
	}
	for range maxKeyedRequests() {
		r.PickIncarnation("far2")
	}
	if got := r.Pick(Criteria{Service: "s", Key: "p", LastIncarnation: "far2", Sticky: true}, now); got.DataCentre != "dc" {
		t.Errorf("picked %s instead of a local target", got.ID)
	}
	removed := r.Pick(Criteria{Service: "s", Key: "p", LastIncarnation: "gone", Sticky: true}, now)
	if removed == nil || removed.DataCentre != "dc" {
		t.Errorf("got %+v for a program whose target was removed", removed)
	}
}

// Programs begin at local targets while these have capacity, then at the target
// ranked first by the key.
func TestProgramsBeginLocallyWhileThereIsCapacity(t *testing.T) {
	r := twoDataCentres(2)
	now := time.Unix(100, 0)
	// Each of the two targets takes three programs below maxLocalUtilization.
	for i := range 6 {
		got := r.Pick(Criteria{Service: "s", Key: fmt.Sprint("program", i), Sticky: true}, now)
		if got.DataCentre != "dc" {
			t.Fatalf("program %d began at %s", i, got.ID)
		}
	}
	elsewhere := 0
	for i := range 20 {
		got := r.Pick(Criteria{Service: "s", Key: fmt.Sprint("next", i), Sticky: true}, now)
		if got.DataCentre != "dc" {
			elsewhere++
		}
		r.End(got)
	}
	if elsewhere == 0 {
		t.Error("no program began elsewhere although the local targets were full")
	}
	far := 0
	for i := range 20 {
		got := twoDataCentres(2).Pick(Criteria{Service: "s", Key: fmt.Sprint("object", i)}, now)
		if got.DataCentre == "far" {
			far++
		}
	}
	if far == 0 {
		t.Error("the target of a request that is not sticky depends on the data centre")
	}
}

// While the average utilization of this data centre is high, programs begin at
// targets of all data centres, even without a recent report of single targets;
// afterwards they begin locally again.
func TestProgramsBeginElsewhereWhileThisDataCentreIsFull(t *testing.T) {
	r := twoDataCentres(8)
	now := time.Unix(100, 0)
	report := func(running int) {
		for i := range 64 {
			near := r.byID[fmt.Sprint("t", i%8)]
			r.RecordLoad(near, call.Load{Running: running, Slots: testSlots}, now)
		}
	}
	beginsFar := func(at time.Time) int {
		far := 0
		for i := range 40 {
			got := r.Pick(Criteria{Service: "s", Key: fmt.Sprint("program", i), Sticky: true}, at)
			if got.DataCentre != "dc" {
				far++
			}
			r.End(got)
		}
		return far
	}
	later := now.Add(2 * maxLoadAge)
	report(2 * testSlots)
	if far := beginsFar(later); far < 10 || far > 30 {
		t.Errorf("%d of 40 programs began elsewhere while all local targets were full", far)
	}
	report(1)
	if far := beginsFar(later); far != 0 {
		t.Errorf("%d of 40 programs began elsewhere although local targets have capacity", far)
	}
}

func TestRequestsWithoutAKeyAreSpread(t *testing.T) {
	r := newTestRegistry(4)
	now := time.Unix(100, 0)
	counts := map[string]int{}
	for range 8 {
		counts[r.Pick(Criteria{Service: "s"}, now).ID]++
	}
	for id, n := range counts {
		if n != 2 {
			t.Errorf("%s got %d of 8 requests", id, n)
		}
	}
}

func TestReportedLoadExpires(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	a := r.Pick(Criteria{Service: "s"}, now)
	r.End(a)
	r.RecordLoad(a, call.Load{Running: testSlots, Waiting: 3, Slots: testSlots}, now)
	for range 3 {
		if got := r.Pick(Criteria{Service: "s"}, now); got == a {
			t.Error("the busy target was picked")
		}
	}
	if a.busy(now.Add(2*maxLoadAge)) != 0 {
		t.Error("an expired report is used")
	}
}

func TestFailedTargetIsAvoidedAndRetried(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	bad := r.PickIncarnation("t0")
	r.RecordFailure(bad, now)
	for range 4 {
		if r.Pick(Criteria{Service: "s"}, now) == bad {
			t.Error("a target was picked right after a failure")
		}
	}
	if later := now.Add(minAvoidance); r.Pick(Criteria{Service: "s", Exclude: []string{"t1"}}, later) != bad {
		t.Error("the target was not picked after the avoidance ended")
	}
}

func TestFailedTargetIsPickedIfItIsTheOnlyOne(t *testing.T) {
	r := newTestRegistry(1)
	now := time.Unix(100, 0)
	r.RecordFailure(r.PickIncarnation("t0"), now)
	if r.Pick(Criteria{Service: "s"}, now) == nil {
		t.Error("no target was picked")
	}
}

func TestDrainingAndExcludedTargetsAreNotPicked(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	if !r.Put(Entry{ID: "t0", Service: "s", Address: "a0", Slots: testSlots, Draining: true}) {
		t.Error("Put did not report the start of draining as a change")
	}
	if got := r.Pick(Criteria{Service: "s", Exclude: []string{"t1"}}, now); got != nil {
		t.Errorf("picked %s, want none", got.ID)
	}
	if !r.Remove("t1") || r.Remove("t1") || r.Has("t1") {
		t.Error("removal of t1 was not reported exactly once")
	}
}

func TestReusedIDDoesNotInheritState(t *testing.T) {
	r := newTestRegistry(1)
	old := r.PickIncarnation("t0")
	r.Put(Entry{ID: "t0", Service: "other", Address: "a0", Slots: testSlots})
	if r.PickIncarnation("t0") == old || r.Pick(Criteria{Service: "s"}, time.Unix(100, 0)) != nil {
		t.Error("the target inherited the state of another service's target")
	}
}

func TestSelectionKeepsToTheVersion(t *testing.T) {
	for _, learns := range []bool{false, true} {
		r := NewRegistry("dc", idleConnections{})
		if learns {
			r.LearnSpeeds()
		}
		now := time.Unix(100, 0)
		for i := range 12 {
			version := []string{"v1", "v1.1", "v2"}[i%3]
			r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", DataCentre: "dc", Slots: 4, Version: version, Draining: i < 3})
		}
		version := "v1.1"
		criteria := Criteria{Service: "s", Key: "k", LastIncarnation: "t3", Sticky: true, Version: &version}
		for range 12 {
			if got := r.Pick(criteria, now); got == nil || got.Version != version || got.Draining {
				t.Fatalf("learns speeds: %t: got %+v", learns, got)
			}
		}
		criteria.Exclude = []string{"t4", "t7", "t10"}
		if got := r.Pick(criteria, now); got != nil {
			t.Errorf("learns speeds: %t: got %s, want none", learns, got.ID)
		}
	}
}

func TestTargetWithANewVersionUnderItsIDIsAnotherOne(t *testing.T) {
	r := NewRegistry("dc", idleConnections{})
	r.Put(Entry{ID: "t", Service: "s", Slots: 4, Version: "v1"})
	old := r.PickIncarnation("t")
	if r.Replaced(old) {
		t.Error("a registered target counts as replaced")
	}
	r.Put(Entry{ID: "t", Service: "s", Slots: 4, Version: "v2"})
	if got := r.PickIncarnation("t"); got == old || got.Version != "v2" || !r.Replaced(old) {
		t.Errorf("got %+v", got)
	}
	r.Remove("t")
	if r.Replaced(old) {
		t.Error("a target that was removed counts as replaced")
	}
}
