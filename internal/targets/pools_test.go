package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// Newer reports have more weight in the load of a service, and are relayed first.
func TestNewerReportsHaveMoreWeight(t *testing.T) {
	const n = 20
	r, start := newTestRegistry(n), time.Unix(100, 0)
	for i := range n {
		load := call.Load{Slots: testSlots}
		if i >= n/2 {
			load.Running = testSlots
		}
		r.RecordLoad(r.byID[fmt.Sprint("t", i)], load, start.Add(time.Duration(i)*50*time.Millisecond))
	}
	now := start.Add(n * 50 * time.Millisecond)
	pool := r.recentPool("s", now)
	if pool.ReportingTargets != n || pool.Utilization < 0.9 || pool.ReportAge > 4*poolReportHalfLife {
		t.Errorf("half of the targets, those that reported last, are full: got %+v", pool)
	}
	newest := 0
	reported := make(map[uint64]bool)
	for range 100 {
		for i, l := range r.LoadReports(now) {
			reported[l.Target] = true
			if i < maxReports/2 && l.Age <= maxReports/2*50*time.Millisecond {
				newest++
			}
		}
	}
	if newest != 100*maxReports/2 || len(reported) < n-1 {
		t.Errorf("relayed %d of the newest reports, and reports of %d targets", newest, len(reported))
	}
}

// Queues at slow targets contribute less to the utilization of a service than
// queues at fast ones.
func TestSlowTargetsHaveLessWeight(t *testing.T) {
	const n = 20
	r, now := newTestRegistry(n), time.Unix(100, 0)
	utilizationWith := func(slowBusy int) float64 {
		for i := range n {
			load := call.Load{Slots: testSlots, Running: testSlots, Pace: 100}
			if i < n/2 {
				load.Waiting = slowBusy
			}
			r.RecordLoad(r.byID[fmt.Sprint("t", i)], load, now)
		}
		return r.Pool("s", now).Utilization
	}
	equal := utilizationWith(2 * testSlots)
	for range 100 {
		for i := range n {
			pause := 10 * time.Millisecond
			if i < n/2 {
				pause *= 4
			}
			r.RecordEventInterval(r.byID[fmt.Sprint("t", i)], pause, now)
		}
	}
	if slow := utilizationWith(2 * testSlots); slow >= 0.9*equal || slow <= 1 {
		t.Errorf("half of the targets have queues: utilization %.2f, %.2f where these are slow", equal, slow)
	}
	if even := utilizationWith(0); even != 1 {
		t.Errorf("all slots are taken: utilization %.2f", even)
	}
}

// reportLoads reports a load and a pace for the targets with indexes from from to
// to-1.
func reportLoads(r *Registry, from, to, busy, pace int, now time.Time) {
	for i := from; i < to; i++ {
		load := call.Load{Running: min(busy, testSlots), Waiting: max(busy-testSlots, 0), Slots: testSlots, Pace: pace}
		r.RecordLoad(r.byID[fmt.Sprint("t", i)], load, now)
	}
}

// Queues at slow targets don't hide the capacity of the others.
func TestTargetsAreWeightedBySpeed(t *testing.T) {
	now := time.Unix(100, 0)
	r := newTestRegistry(12)
	for range 30 {
		reportLoads(r, 0, 4, 4*testSlots, 400, now)
		reportLoads(r, 4, 12, testSlots/2, 100, now)
	}
	if pool := r.Pool("s", now); !pool.SpeedsLearned || pool.Utilization < 0.5 || pool.Utilization > 1 {
		t.Errorf("a third of the targets has long queues, the others are half free: %+v", pool)
	}
}

// A target without a recent report counts as free.
func TestUnresponsiveTargetsCountAsFree(t *testing.T) {
	now := time.Unix(100, 0)
	r := newTestRegistry(20)
	reportLoads(r, 0, 5, testSlots, 100, now)
	if pool := r.Pool("s", now); pool.ReportingTargets != 5 || pool.Utilization < 0.2 || pool.Utilization > 0.3 {
		t.Errorf("five of twenty targets are full: %+v", pool)
	}
}

// A view that is based on more targets is used while it is recent.
func TestBetterInformedPoolViewWins(t *testing.T) {
	now := time.Unix(100, 0)
	owner, r := newTestRegistry(20), newTestRegistry(20)
	reportLoads(owner, 0, 20, 2*testSlots, 100, now)
	reportLoads(r, 0, 5, 0, 100, now)
	r.MergePoolReports(owner.PoolReports(now), now)
	if pool := r.Pool("s", now); pool.ReportingTargets != 20 || pool.Utilization < 1.9 || !pool.SpeedsLearned {
		t.Errorf("the view of the owner is not used: %+v", pool)
	}
	less := newTestRegistry(20)
	reportLoads(less, 0, 2, 0, 100, now)
	r.MergePoolReports(less.PoolReports(now), now)
	if pool := r.Pool("s", now); pool.ReportingTargets != 20 {
		t.Errorf("a view based on fewer targets replaced it: %+v", pool)
	}
	if pool := r.Pool("s", now.Add(maxViewAge+time.Millisecond)); pool.ReportingTargets != 5 {
		t.Errorf("an expired view is used: %+v", pool)
	}
}

// Speeds are learned where targets report their pace, or after LearnSpeeds.
func TestSpeedsAreLearnedWithPaceOrWhenEnabled(t *testing.T) {
	now := time.Unix(100, 0)
	r := newTestRegistry(4)
	reportLoads(r, 0, 4, testSlots, 0, now)
	if pool := r.Pool("s", now); pool.SpeedsLearned || len(r.PoolReports(now)) != 0 {
		t.Errorf("speeds are learned without pace: %+v", pool)
	}
	r.LearnSpeeds()
	r.Put(Entry{ID: "u", Service: "other", Address: "u", DataCentre: "dc", Slots: testSlots})
	if pool := r.Pool("s", now); !pool.SpeedsLearned || !r.Pool("other", now).SpeedsLearned {
		t.Errorf("got %+v", pool)
	}
}
