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

// Permits report the utilization of an organisation at its typical load, 1/1.6 of its
// limit, and of one at several times that.
func TestPermitsReportUtilization(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for _, m := range machines(30) {
			c.start(m)
		}
		time.Sleep(3 * time.Second)
		limit := org.Limit{PerSecond: 60, Burst: 60}
		utilizations := make(map[string]float64)
		for name, factor := range map[string]float64{"usual": 1 / 1.6, "hot": 5 / 1.6} {
			c.Background.Go(func() {
				runPrograms(c, name, limit, typicalProgram, limit.PerSecond*factor/26, 14*time.Second, 1)
			})
		}
		time.Sleep(12 * time.Second)
		permits := make(map[string]serve.Permit)
		for _, name := range []string{"usual", "hot"} {
			permit, err := c.all()[0].manager.Admit(context.Background(), serve.AllowanceRequest{Organisation: name, Limit: limit, Version: 1})
			if err != nil {
				t.Fatal(name, err)
			}
			permits[name], utilizations[name] = permit, permit.Utilization()
		}
		// The load has ended, so no replies follow.
		time.Sleep(30 * time.Second)
		if stale := permits["hot"].Utilization(); stale != 0 {
			t.Errorf("a utilization of %g is reported for longer than %s", stale, usageTTL)
		}
		c.Stop()
		if utilizations["hot"] < 0.85 || utilizations["usual"] > 0.8 || utilizations["usual"] == 0 {
			t.Errorf("utilization: %v", utilizations)
		}
	})
}

// First turns without engine capacity release their permits and cost the organisation
// nothing.
func TestReleasedPermitsCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for _, m := range machines(12) {
			c.start(m)
		}
		time.Sleep(3 * time.Second)
		limit := org.Limit{PerSecond: 10, Burst: 10}
		before := c.remainingLevel("o", limit)
		for range 50 {
			permit, err := c.all()[0].manager.Admit(context.Background(), serve.AllowanceRequest{
				Organisation: "o", Limit: limit, Version: 1, First: true, Program: "p",
			})
			if err != nil {
				t.Fatal(err)
			}
			permit.Release()
			time.Sleep(20 * time.Millisecond)
		}
		after := c.remainingLevel("o", limit)
		c.Stop()
		if math.Abs(after-before) > 1 {
			t.Errorf("%.1f requests are left, want about %.1f", after, before)
		}
	})
}

// remainingLevel returns the level of an organisation's bucket after one request.
func (c *cluster) remainingLevel(name string, limit org.Limit) float64 {
	c.request(c.all()[0], name, limit, 1, false)
	level := 0.0
	for _, n := range c.all() {
		for _, c := range n.manager.Dump().Coordinated {
			if c.Organisation == name {
				level = max(level, c.Level)
			}
		}
	}
	return level
}

func TestUsageIsAMovingRate(t *testing.T) {
	var u usage
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		u.add(10, now)
	}
	if got := u.rate(now); math.Abs(got-100) > 5 {
		t.Errorf("%.1f requests per second", got)
	}
	if got := u.rate(now.Add(5 * time.Second)); got > 5 {
		t.Errorf("%.1f requests per second after 5 s without requests", got)
	}
}

// Permits are returned only to the coordinator that allocated them: another one would
// allocate what its votes never allowed.
func TestPermitsAreReleasedToTheirCoordinatorOnly(t *testing.T) {
	q := &queue{organisation: "o", limit: org.Limit{PerSecond: 10}}
	q.applyReply(&structs.AllowanceReply{Outcome: structs.AllowanceAllocated}, "a", time.Unix(100, 0))
	if q.allocatedBy != "a" {
		t.Fatalf("allocated by %q", q.allocatedBy)
	}
	q.returned = 3
	if got := q.requestTo("a", 1, 0).Returned; got != 3 {
		t.Errorf("%d of 3 permits returned", got)
	}
	q.returned = 3
	if got := q.requestTo("b", 2, 0).Returned; got != 0 {
		t.Errorf("%d permits returned to another coordinator", got)
	}
	q.returned = 3
	q.applyReply(&structs.AllowanceReply{Outcome: structs.AllowanceNotCoordinator}, "a", time.Unix(100, 0))
	if q.returned != 0 {
		t.Error("released permits are returned to the next coordinator")
	}
}
