package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// A service's load follows its newest reports, and these are passed on first.
func TestNewerReportsCountMore(t *testing.T) {
	const n = 20
	r, start := newTestRegistry(n), time.Unix(100, 0)
	for i := range n {
		load := call.Load{Slots: testSlots}
		if i >= n/2 {
			load.Running = testSlots
		}
		r.Report(r.byID[fmt.Sprint("t", i)], load, start.Add(time.Duration(i)*50*time.Millisecond))
	}
	now := start.Add(n * 50 * time.Millisecond)
	pool := r.Pool("s", now)
	if pool.Known != n || pool.Fill < 0.9 || pool.Age > 4*poolHalfLife {
		t.Errorf("half of the targets, those that reported last, are full: got %+v", pool)
	}
	newest := 0
	told := make(map[uint64]bool)
	for range 100 {
		for i, l := range r.Loads(now) {
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
			r.Report(r.byID[fmt.Sprint("t", i)], load, now)
		}
		return r.Pool("s", now).Fill
	}
	usual := fill(2 * testSlots)
	for range 100 {
		for i := range n {
			pause := 10 * time.Millisecond
			if i < n/2 {
				pause *= 4
			}
			r.Paused(r.byID[fmt.Sprint("t", i)], pause, now)
		}
	}
	if slow := fill(2 * testSlots); slow >= 0.9*usual || slow <= 1 {
		t.Errorf("half of the targets have queues: fill %.2f, %.2f where these are slow", usual, slow)
	}
	if even := fill(0); even != 1 {
		t.Errorf("all slots are taken: fill %.2f", even)
	}
}
