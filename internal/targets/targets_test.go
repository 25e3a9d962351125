package targets

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

const testSlots = 4

// keptTo are the addresses with a kept connection, with the time at which it
// expires.
type keptTo map[string]time.Time

func (k keptTo) HasIdle(address string, now time.Time) bool { return now.Before(k[address]) }

func newTestRegistry(n int) *Registry { return newRegistryWith(n, keptTo{}) }

func newRegistryWith(n int, kept keptTo) *Registry {
	r := NewRegistry("dc", kept)
	for i := range n {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint("a", i), DataCentre: "dc", Slots: testSlots})
	}
	return r
}

// fullAt is the number of requests at which a target is full for its keys.
func fullAt() int { return int(math.Ceil(keyedFill * testSlots)) }

func TestKeyStaysAtItsTargetUntilThatIsTooBusy(t *testing.T) {
	r := newTestRegistry(5)
	now := time.Unix(100, 0)
	first := r.Pick(Criteria{Service: "s", Key: "program"}, now)
	placed := 1
	for r.Pick(Criteria{Service: "s", Key: "program"}, now) == first {
		placed++
	}
	if want := fullAt(); placed != want {
		t.Errorf("%d requests went to the first target, want %d", placed, want)
	}
	for range placed {
		r.End(first)
	}
	if r.Pick(Criteria{Service: "s", Key: "program"}, now) != first {
		t.Error("the key did not come back to its target")
	}
}

// twoDataCentres has n targets here and n elsewhere.
func twoDataCentres(n int) *Registry {
	r := newTestRegistry(n)
	for i := range n {
		r.Put(Entry{ID: fmt.Sprint("far", i), Service: "s", Address: fmt.Sprint("f", i), DataCentre: "far", Slots: testSlots})
	}
	return r
}

// A program goes on where its last turn ran, also if that is elsewhere, until
// that target is full.
func TestProgramGoesOnWhereItsLastTurnRan(t *testing.T) {
	r := twoDataCentres(4)
	now := time.Unix(100, 0)
	for i := range 20 {
		want := Criteria{Service: "s", Key: fmt.Sprint("program", i), LastIncarnation: "far2", Sticky: true}
		got := r.Pick(want, now)
		if got.ID != "far2" {
			t.Fatalf("%s was chosen", got.ID)
		}
		r.End(got)
	}
	for range fullAt() {
		r.PickIncarnation("far2")
	}
	if got := r.Pick(Criteria{Service: "s", Key: "p", LastIncarnation: "far2", Sticky: true}, now); got.DataCentre != "dc" {
		t.Errorf("%s was chosen instead of one nearby", got.ID)
	}
	gone := r.Pick(Criteria{Service: "s", Key: "p", LastIncarnation: "gone", Sticky: true}, now)
	if gone == nil || gone.DataCentre != "dc" {
		t.Errorf("got %+v for a program whose target is gone", gone)
	}
}

// Programs begin at targets of this data centre while these have room, then at
// the one that every instance would choose.
func TestProgramsBeginNearbyWhileThereIsRoom(t *testing.T) {
	r := twoDataCentres(2)
	now := time.Unix(100, 0)
	// A target takes another program while it is less full than nearFill, so
	// each of the two takes three.
	for i := range 6 {
		got := r.Pick(Criteria{Service: "s", Key: fmt.Sprint("program", i), Sticky: true}, now)
		if got.DataCentre != "dc" {
			t.Fatalf("program %d began at %s", i, got.ID)
		}
	}
	beyond := 0
	for i := range 20 {
		got := r.Pick(Criteria{Service: "s", Key: fmt.Sprint("next", i), Sticky: true}, now)
		if got.DataCentre != "dc" {
			beyond++
		}
		r.End(got)
	}
	if beyond == 0 {
		t.Error("no program began elsewhere although the targets here had no room")
	}
	far := 0
	for i := range 20 {
		got := twoDataCentres(2).Pick(Criteria{Service: "s", Key: fmt.Sprint("object", i)}, now)
		if got.DataCentre == "far" {
			far++
		}
	}
	if far == 0 {
		t.Error("keys whose target nobody remembers must not depend on the data centre")
	}
}

// While the targets of this data centre are usually full, programs begin wherever
// their rank says, though nothing new is known of the single targets; once they
// have room again, nearby.
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
	later := now.Add(2 * loadAge)
	report(2 * testSlots)
	if far := beginsFar(later); far < 10 || far > 30 {
		t.Errorf("%d of 40 programs began elsewhere while all targets here were full", far)
	}
	report(1)
	if far := beginsFar(later); far != 0 {
		t.Errorf("%d of 40 programs began elsewhere although the targets here have room", far)
	}
}

func TestRequestsWithoutAKeySpread(t *testing.T) {
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

func TestReportedLoadCountsWhileItIsNew(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	a := r.Pick(Criteria{Service: "s"}, now)
	r.End(a)
	r.RecordLoad(a, call.Load{Running: testSlots, Waiting: 3, Slots: testSlots}, now)
	for range 3 {
		if got := r.Pick(Criteria{Service: "s"}, now); got == a {
			t.Error("the busy target was chosen")
		}
	}
	if a.busy(now.Add(2*loadAge)) != 0 {
		t.Error("an old report still counts")
	}
}

func TestFailingTargetIsAvoidedAndTriedAgain(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	bad := r.PickIncarnation("t0")
	r.RecordFailure(bad, now)
	for range 4 {
		if r.Pick(Criteria{Service: "s"}, now) == bad {
			t.Error("a target that failed was chosen at once")
		}
	}
	if later := now.Add(avoidFirst); r.Pick(Criteria{Service: "s", Exclude: []string{"t1"}}, later) != bad {
		t.Error("the target was not tried again")
	}
}

func TestFailingTargetsAreBetterThanNone(t *testing.T) {
	r := newTestRegistry(1)
	now := time.Unix(100, 0)
	r.RecordFailure(r.PickIncarnation("t0"), now)
	if r.Pick(Criteria{Service: "s"}, now) == nil {
		t.Error("no target was chosen")
	}
}

func TestLeavingAndExcludedTargets(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	if !r.Put(Entry{ID: "t0", Service: "s", Address: "a0", Slots: testSlots, Draining: true}) {
		t.Error("a target that began to leave is no change")
	}
	if got := r.Pick(Criteria{Service: "s", Exclude: []string{"t1"}}, now); got != nil {
		t.Errorf("got %s", got.ID)
	}
	if !r.Remove("t1") || r.Remove("t1") || r.Has("t1") {
		t.Error("a target can be removed once")
	}
}

func TestAnotherTargetUnderTheSameIDIsNew(t *testing.T) {
	r := newTestRegistry(1)
	old := r.PickIncarnation("t0")
	r.Put(Entry{ID: "t0", Service: "other", Address: "a0", Slots: testSlots})
	if r.PickIncarnation("t0") == old || r.Pick(Criteria{Service: "s"}, time.Unix(100, 0)) != nil {
		t.Error("the target kept the state of another service's")
	}
}
