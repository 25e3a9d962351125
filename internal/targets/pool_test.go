package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// What to expect of a target follows the newest reports, and these are passed on
// first.
func TestNewerReportsCountMore(t *testing.T) {
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
	pool := r.pool("s", now)
	if pool.Reporting != n || pool.Utilization < 0.9 || pool.ReportAge > 4*poolHalfLife {
		t.Errorf("half of the targets, those that reported last, are full: got %+v", pool)
	}
	newest := 0
	told := make(map[uint64]bool)
	for range 100 {
		for i, l := range r.LoadReports(now) {
			told[l.Target] = true
			if i < loadsMost/2 && l.Age <= loadsMost/2*50*time.Millisecond {
				newest++
			}
		}
	}
	if newest != 100*loadsMost/2 || len(told) < n-1 {
		t.Errorf("%d of the newest reports passed on, %d targets told of", newest, len(told))
	}
}

// A slow target's queue is less of the service's load than a quick one's: it does
// less work, and programs that begin go elsewhere.
func TestSlowTargetsCountLess(t *testing.T) {
	const n = 20
	r, now := newTestRegistry(n), time.Unix(100, 0)
	fill := func(slowBusy int) float64 {
		for i := range n {
			load := call.Load{Slots: testSlots, Running: testSlots, Pace: 100}
			if i < n/2 {
				load.Waiting = slowBusy
			}
			r.RecordLoad(r.byID[fmt.Sprint("t", i)], load, now)
		}
		return r.Pool("s", now).Utilization
	}
	usual := fill(2 * testSlots)
	for range 100 {
		for i := range n {
			pause := 10 * time.Millisecond
			if i < n/2 {
				pause *= 4
			}
			r.RecordEventInterval(r.byID[fmt.Sprint("t", i)], pause, now)
		}
	}
	if slow := fill(2 * testSlots); slow >= 0.9*usual || slow <= 1 {
		t.Errorf("half of the targets have queues: fill %.2f, %.2f where these are slow", usual, slow)
	}
	if even := fill(0); even != 1 {
		t.Errorf("all slots are taken: fill %.2f", even)
	}
}

// report has some targets report a load and a pace.
func report(r *Registry, from, to, busy, pace int, now time.Time) {
	for i := from; i < to; i++ {
		load := call.Load{Running: min(busy, testSlots), Waiting: max(busy-testSlots, 0), Slots: testSlots, Pace: pace}
		r.RecordLoad(r.byID[fmt.Sprint("t", i)], load, now)
	}
}

// Queues at slow targets do not hide the room of the others.
func TestSlowTargetsCountByTheirSpeed(t *testing.T) {
	now := time.Unix(100, 0)
	r := newTestRegistry(12)
	for range 30 {
		report(r, 0, 4, 4*testSlots, 400, now)
		report(r, 4, 12, testSlots/2, 100, now)
	}
	if pool := r.Pool("s", now); !pool.SpeedsLearned || pool.Utilization < 0.5 || pool.Utilization > 1 {
		t.Errorf("a third has long queues, the others are half free: %+v", pool)
	}
}

// A target that nobody has heard from lately was asked for nothing.
func TestSilentTargetsCountAsFree(t *testing.T) {
	now := time.Unix(100, 0)
	r := newTestRegistry(20)
	report(r, 0, 5, testSlots, 100, now)
	if pool := r.Pool("s", now); pool.Reporting != 5 || pool.Utilization < 0.2 || pool.Utilization > 0.3 {
		t.Errorf("five of twenty are full: %+v", pool)
	}
}

// The better informed view of a service counts while it is new.
func TestBetterInformedViewCounts(t *testing.T) {
	now := time.Unix(100, 0)
	owner, r := newTestRegistry(20), newTestRegistry(20)
	report(owner, 0, 20, 2*testSlots, 100, now)
	report(r, 0, 5, 0, 100, now)
	r.MergePoolReports(owner.PoolReports(now), now)
	if pool := r.Pool("s", now); pool.Reporting != 20 || pool.Utilization < 1.9 || !pool.SpeedsLearned {
		t.Errorf("the owner knows that all are full: %+v", pool)
	}
	less := newTestRegistry(20)
	report(less, 0, 2, 0, 100, now)
	r.MergePoolReports(less.PoolReports(now), now)
	if pool := r.Pool("s", now); pool.Reporting != 20 {
		t.Errorf("a view that rests on less replaced it: %+v", pool)
	}
	if pool := r.Pool("s", now.Add(toldAge+time.Millisecond)); pool.Reporting != 5 {
		t.Errorf("an old view still counts: %+v", pool)
	}
}

// Speeds are learned where targets tell their pace, or where that is asked for.
func TestSpeedsAreLearnedWhereAskedFor(t *testing.T) {
	now := time.Unix(100, 0)
	r := newTestRegistry(4)
	report(r, 0, 4, testSlots, 0, now)
	if pool := r.Pool("s", now); pool.SpeedsLearned || len(r.PoolReports(now)) != 0 {
		t.Errorf("nobody asked for speeds: %+v", pool)
	}
	r.LearnSpeeds()
	r.Put(Entry{ID: "u", Service: "other", Address: "u", DataCentre: "dc", Slots: testSlots})
	if pool := r.Pool("s", now); !pool.SpeedsLearned || !r.Pool("other", now).SpeedsLearned {
		t.Errorf("got %+v", pool)
	}
}
