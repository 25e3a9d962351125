package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// countingConnections counts the targets that selections consider.
type countingConnections struct{ lookups int }

func (c *countingConnections) HasIdle(string, time.Time) bool {
	c.lookups++
	return false
}

func registryOf(n int, connections Connections) *Registry {
	r := NewRegistry("dc0", connections)
	for i := range n {
		r.Put(Entry{
			ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256),
			DataCentre: fmt.Sprint("dc", i%5), Slots: 6,
		})
	}
	return r
}

// The number of targets that a selection considers does not grow with the size of
// the service.
func TestChoiceScansABoundedNumberOfTargets(t *testing.T) {
	const limit = 64
	for _, n := range []int{2500, 5000, 10000} {
		connections := new(countingConnections)
		r := registryOf(n, connections)
		for _, want := range []Criteria{
			{Service: "s"}, {Service: "s", Key: "k"}, {Service: "s", Key: "p", Sticky: true, LastIncarnation: "t7"},
		} {
			connections.lookups = 0
			if r.Pick(want, time.Now()) == nil || connections.lookups > limit {
				t.Errorf("%d of %d targets were considered for %+v", connections.lookups, n, want)
			}
		}
	}
}

// Instances agree on the target of a key, and adding or removing a target moves few
// keys.
func TestInstancesAgreeOnKeyTargetAmongThousands(t *testing.T) {
	const n, keys = 3000, 500
	a, b := registryOf(n, new(countingConnections)), registryOf(n, new(countingConnections))
	b.Remove("t17")
	moved := 0
	for i := range keys {
		want := Criteria{Service: "s", Key: fmt.Sprint("k", i)}
		targetA, targetB := a.Pick(want, time.Now()), b.Pick(want, time.Now())
		if targetA.ID != targetB.ID {
			moved++
		}
		a.End(targetA)
		b.End(targetB)
	}
	if moved > keys/100 {
		t.Errorf("%d of %d keys moved after removal of one of %d targets", moved, keys, n)
	}
}

// A program stays at its engine although selections consider only a sample.
func TestProgramStaysAtItsEngineAmongThousands(t *testing.T) {
	r := registryOf(3000, new(countingConnections))
	for i := range 100 {
		last := fmt.Sprint("t", 29*i)
		if got := r.Pick(Criteria{Service: "s", Key: "p", LastIncarnation: last, Sticky: true}, time.Now()); got.ID != last {
			t.Errorf("moved from %s to %s", last, got.ID)
		}
	}
}

// If none of the candidates is usable, all targets are considered.
func TestPickFallsBackToAllTargets(t *testing.T) {
	const n = 2000
	r := registryOf(n, new(countingConnections))
	now := time.Now()
	for i := range n - 1 {
		r.RecordFailure(r.byID[fmt.Sprint("t", i)], now)
	}
	if got := r.Pick(Criteria{Service: "s", Key: "k"}, now); got == nil || got.ID != fmt.Sprint("t", n-1) {
		t.Errorf("got %+v", got)
	}
}

// Only targets with a recent report are scanned for load reports.
func TestOnlyReportingTargetsAreScanned(t *testing.T) {
	r := registryOf(5000, new(countingConnections))
	now := time.Now()
	for i := range 10 {
		r.RecordLoad(r.byID[fmt.Sprint("t", i)], call.Load{Running: 1, Slots: 6}, now)
	}
	if got := len(r.serviceByName("s").reporting); got != 10 {
		t.Errorf("got %d targets with a report, want 10", got)
	}
	if got := len(r.LoadReports(now)); got != maxReports {
		t.Errorf("got %d reports", got)
	}
	if pool := r.Pool("s", now); pool.UsableTargets != 5000 || pool.ReportingTargets != 10 {
		t.Errorf("pool %+v", pool)
	}
	if got := len(r.LoadReports(now.Add(2 * maxPoolReportAge))); got != 0 || len(r.serviceByName("s").reporting) != 0 {
		t.Errorf("%d expired reports relayed, %d stored", got, len(r.serviceByName("s").reporting))
	}
}

// The totals of a service are updated when targets drain, return or are removed.
func TestServiceTotalsFollowItsTargets(t *testing.T) {
	r := registryOf(10, new(countingConnections))
	entry := r.byID["t3"].Entry
	entry.Draining = true
	r.Put(entry)
	r.Remove("t4")
	entry.Draining, entry.Slots = false, 8
	draining := r.byID["t5"].Entry
	draining.Draining = true
	r.Put(draining)
	r.Put(entry)
	r.serviceByName("s").sortRing()
	if s := r.serviceByName("s"); s.usable != 8 || s.slots != 7*6+8 || len(s.all) != 9 || len(s.ring) != 9 || len(s.local) != 2 {
		t.Errorf("usable %d, slots %d, all %d, ring %d, local %d", s.usable, s.slots, len(s.all), len(s.ring), len(s.local))
	}
	for i, target := range r.serviceByName("s").all {
		if target.index != i {
			t.Errorf("%s is at index %d, but has index %d", target.ID, i, target.index)
		}
	}
}
