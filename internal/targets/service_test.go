package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// countingConnections counts the targets that choices look at.
type countingConnections struct{ asked int }

func (c *countingConnections) HasIdle(string, time.Time) bool {
	c.asked++
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

// A choice among thousands of targets looks at no more of them as their number
// doubles.
func TestChoiceLooksAtABoundedNumberOfTargets(t *testing.T) {
	const most = 64
	for _, n := range []int{2500, 5000, 10000} {
		connections := new(countingConnections)
		r := registryOf(n, connections)
		for _, want := range []Criteria{
			{Service: "s"}, {Service: "s", Key: "k"}, {Service: "s", Key: "p", Sticky: true, LastIncarnation: "t7"},
		} {
			connections.asked = 0
			if r.Pick(want, time.Now()) == nil || connections.asked > most {
				t.Errorf("%d of %d targets were looked at for %+v", connections.asked, n, want)
			}
		}
	}
}

// Instances that know the same thousands of targets find the same one for a key, and
// one that comes or goes moves few keys.
func TestInstancesAgreeOnTheTargetOfAKeyAmongThousands(t *testing.T) {
	const n, keys = 3000, 500
	a, b := registryOf(n, new(countingConnections)), registryOf(n, new(countingConnections))
	b.Remove("t17")
	moved := 0
	for i := range keys {
		want := Criteria{Service: "s", Key: fmt.Sprint("k", i)}
		ta, tb := a.Pick(want, time.Now()), b.Pick(want, time.Now())
		if ta.ID != tb.ID {
			moved++
		}
		a.End(ta)
		b.End(tb)
	}
	if moved > keys/100 {
		t.Errorf("%d of %d keys moved with one of %d targets", moved, keys, n)
	}
}

// A program stays with its engine among thousands.
func TestProgramStaysAmongThousands(t *testing.T) {
	r := registryOf(3000, new(countingConnections))
	for i := range 100 {
		last := fmt.Sprint("t", 29*i)
		if got := r.Pick(Criteria{Service: "s", Key: "p", LastIncarnation: last, Sticky: true}, time.Now()); got.ID != last {
			t.Errorf("went from %s to %s", last, got.ID)
		}
	}
}

// When the targets that a choice looks at are not to be used the others are.
func TestChoiceFindsTheOneTargetLeftAmongThousands(t *testing.T) {
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

// What a message tells of loads takes no walk over targets that told nothing lately.
func TestReportsAreFoundWithoutAWalkOverAllTargets(t *testing.T) {
	r := registryOf(5000, new(countingConnections))
	now := time.Now()
	for i := range 10 {
		r.RecordLoad(r.byID[fmt.Sprint("t", i)], call.Load{Running: 1, Slots: 6}, now)
	}
	if got := len(r.of("s").told); got != 10 {
		t.Errorf("%d targets with a report", got)
	}
	if got := len(r.LoadReports(now)); got != loadsMost {
		t.Errorf("%d reports told", got)
	}
	if pool := r.Pool("s", now); pool.Usable != 5000 || pool.Reporting != 10 {
		t.Errorf("pool %+v", pool)
	}
	if got := len(r.LoadReports(now.Add(2 * poolLoadAge))); got != 0 || len(r.of("s").told) != 0 {
		t.Errorf("%d old reports told, %d kept", got, len(r.of("s").told))
	}
}

// The sums of a service follow its targets as they drain, come back and go.
func TestSumsOfAServiceFollowItsTargets(t *testing.T) {
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
	r.of("s").sort()
	if s := r.of("s"); s.usable != 8 || s.slots != 7*6+8 || len(s.all) != 9 || len(s.ring) != 9 || len(s.near) != 2 {
		t.Errorf("usable %d, slots %d, all %d, ring %d, near %d", s.usable, s.slots, len(s.all), len(s.ring), len(s.near))
	}
	for i, target := range r.of("s").all {
		if target.place != i {
			t.Errorf("%s stands at %d, not %d", target.ID, i, target.place)
		}
	}
}
