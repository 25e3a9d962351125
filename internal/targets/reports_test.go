package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// An instance without recent requests knows the load of a service from reports that
// others received.
func TestLoadReportsAreRelayed(t *testing.T) {
	now := time.Unix(100, 0)
	a, owner, b := newTestRegistry(3), newTestRegistry(3), newTestRegistry(3)
	for i := range 3 {
		a.RecordLoad(a.byID[fmt.Sprint("t", i)], call.Load{Running: testSlots, Waiting: 2, Slots: testSlots, Pace: 200}, now)
	}
	later := now.Add(100 * time.Millisecond)
	owner.MergeLoadReports(a.OwnLoadReports(later), later)
	b.MergeLoadReports(owner.LoadReports(later), later)
	pool := b.Pool("s", later)
	if pool.ReportingTargets != 3 || pool.UsableTargets != 3 || pool.Utilization < 1.45 || pool.Utilization > 1.5 || pool.ReportAge != 100*time.Millisecond {
		t.Errorf("got %+v", pool)
	}
	if len(owner.OwnLoadReports(later)) != 0 {
		t.Error("a relayed report is listed as the instance's own")
	}
	if pool := b.Pool("s", now.Add(2*maxPoolReportAge)); pool.ReportingTargets != 0 {
		t.Errorf("old reports still count: %+v", pool)
	}
}

// The newest report counts, whichever instance received it; reports of an earlier
// incarnation do not.
func TestNewestReportWins(t *testing.T) {
	now := time.Unix(100, 0)
	r, other := newTestRegistry(2), newTestRegistry(2)
	other.RecordLoad(other.byID["t0"], call.Load{Running: 1, Slots: testSlots}, now)
	old := other.LoadReports(now.Add(50 * time.Millisecond))
	r.RecordLoad(r.byID["t0"], call.Load{Running: 3, Slots: testSlots}, now.Add(20*time.Millisecond))
	r.MergeLoadReports(old, now.Add(50*time.Millisecond))
	if got := r.byID["t0"].load.Running; got != 3 {
		t.Errorf("an older report replaced a newer one: %d running", got)
	}
	later := r.byID["t0"].Entry
	later.Start = 2000
	r.Put(later)
	r.MergeLoadReports(old, now.Add(50*time.Millisecond))
	if !r.byID["t0"].loadAt.IsZero() {
		t.Error("a report of an earlier incarnation was applied")
	}
}
