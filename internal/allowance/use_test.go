package allowance

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// TestPermitsTellTheUse replays an organisation at its usual load, 1/1.6 of its
// limit, next to one at several times its usual.
func TestPermitsTellTheUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for _, m := range machines(30) {
			w.start(m)
		}
		time.Sleep(3 * time.Second)
		limit := org.Limit{PerSecond: 60, Burst: 60}
		uses := make(map[string]float64)
		for name, share := range map[string]float64{"usual": 1 / 1.6, "hot": 5 / 1.6} {
			w.Work.Go(func() {
				playPrograms(w, name, limit, usersProgram, limit.PerSecond*share/26, 14*time.Second, 1)
			})
		}
		time.Sleep(12 * time.Second)
		permits := make(map[string]serve.Permit)
		for _, name := range []string{"usual", "hot"} {
			permit, err := w.all()[0].keeper.Admit(context.Background(), serve.AllowanceRequest{Organisation: name, Limit: limit, Version: 1})
			if err != nil {
				t.Fatal(name, err)
			}
			permits[name], uses[name] = permit, permit.Utilization()
		}
		// The load has ended, so no answer comes any more.
		time.Sleep(30 * time.Second)
		if stale := permits["hot"].Utilization(); stale != 0 {
			t.Errorf("a use of %g is told for longer than %s", stale, useLife)
		}
		w.Stop()
		if uses["hot"] < 0.85 || uses["usual"] > 0.8 || uses["usual"] == 0 {
			t.Errorf("use against the limit: %v", uses)
		}
	})
}

// TestUnusedPermitsComeBack replays first turns that the engines have no room
// for: they cost the organisation nothing.
func TestUnusedPermitsComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for _, m := range machines(12) {
			w.start(m)
		}
		time.Sleep(3 * time.Second)
		limit := org.Limit{PerSecond: 10, Burst: 10}
		before := w.left("o", limit)
		for range 50 {
			permit, err := w.all()[0].keeper.Admit(context.Background(), serve.AllowanceRequest{
				Organisation: "o", Limit: limit, Version: 1, First: true, Program: "p",
			})
			if err != nil {
				t.Fatal(err)
			}
			permit.Release()
			time.Sleep(20 * time.Millisecond)
		}
		after := w.left("o", limit)
		w.Stop()
		if math.Abs(after-before) > 1 {
			t.Errorf("%.1f requests are left, %.1f were before", after, before)
		}
	})
}

// left is what the coordinator of an organisation has left, after one request.
func (w *world) left(name string, limit org.Limit) float64 {
	w.request(w.all()[0], name, limit, 1, false)
	most := 0.0
	for _, n := range w.all() {
		for _, c := range n.keeper.Dump().Coordinated {
			if c.Organisation == name {
				most = max(most, c.Level)
			}
		}
	}
	return most
}

func TestUseIsAMovingRate(t *testing.T) {
	var u use
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		u.add(10, now)
	}
	if got := u.rate(now); math.Abs(got-100) > 5 {
		t.Errorf("%.1f requests a second", got)
	}
	if got := u.rate(now.Add(5 * time.Second)); got > 5 {
		t.Errorf("%.1f requests a second after a silence of 5 s", got)
	}
}

// What was let in by one coordinator is given back to no other: that one would
// deal out what its votes never allowed.
func TestPermitsAreGivenBackToTheirCoordinatorAlone(t *testing.T) {
	l := &line{organisation: "o", limit: org.Limit{PerSecond: 10}}
	l.settle(&structs.AllowanceReply{Outcome: structs.AllowanceDealt}, "a", time.Unix(100, 0))
	if l.dealtBy != "a" {
		t.Fatalf("dealt by %q", l.dealtBy)
	}
	l.returned = 3
	if got := l.askOf("a", 1, 0).Returned; got != 3 {
		t.Errorf("%d of 3 given back", got)
	}
	l.returned = 3
	if got := l.askOf("b", 2, 0).Returned; got != 0 {
		t.Errorf("%d given back to another coordinator", got)
	}
	l.returned = 3
	l.settle(&structs.AllowanceReply{Outcome: structs.AllowanceNoShare}, "a", time.Unix(100, 0))
	if l.returned != 0 {
		t.Error("kept for whoever coordinates next")
	}
}
