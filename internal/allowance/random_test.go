package allowance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

var schedules = flag.Int("schedules", 6, "number of random schedules to run")

// testLimits range from the smallest organisations to the largest.
var testLimits = map[string]org.Limit{
	"tiny":  {PerSecond: 2, Burst: 2},
	"small": {PerSecond: 13, Burst: 13},
	"mid":   {PerSecond: 60, Burst: 60},
	"large": {PerSecond: 200, Burst: 200},
	"bare":  {PerSecond: 30},
}

func TestLimitsHoldOverRandomFaults(t *testing.T) {
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			for name, over := range runSchedule(t, seed, 12, false) {
				t.Errorf("%s: %s", name, over)
			}
		})
	}
}

// Without votes each coordinator allocates the whole limit, which the check must
// detect.
func TestCoordinatorsWithoutVotesExceedTheLimit(t *testing.T) {
	exceeded := 0
	for seed := range uint64(*schedules) {
		exceeded += len(runSchedule(t, seed, 12, true))
	}
	if exceeded == 0 {
		t.Error("no limit was exceeded, so the check detects nothing")
	}
}

// scheduleTime is the duration of a schedule.
const scheduleTime = 12 * time.Second

// runSchedule sends several times their limits for all organisations, at instances
// that are killed, partitioned, powered off and shut down. It returns the limits that
// were exceeded.
func runSchedule(t *testing.T, seed uint64, instances int, grantAll bool) map[string]string {
	exceeded := make(map[string]string)
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 1))
		c := newCluster(t)
		c.grantAll, c.releaseSome = grantAll, seed%2 == 1
		c.DiscoveryDelay = func() time.Duration { return time.Duration(rand.N(600)) * time.Millisecond }
		names := machines(instances)
		for _, m := range names {
			c.start(m)
		}
		deadline := time.Now().Add(scheduleTime)
		var work sync.WaitGroup
		for name, limit := range testLimits {
			for caller := range 8 {
				callerSeed := seed*1000 + uint64(caller)
				work.Go(func() { sendLoad(c, name, limit, 4.0/8, callerSeed, deadline) })
			}
		}
		for time.Now().Before(deadline) {
			time.Sleep(time.Duration(r.IntN(1200)) * time.Millisecond)
			injectFault(c, r, names)
		}
		work.Wait()
		c.Stop()
		for name, limit := range testLimits {
			got, want := maxInWindow(c.admitted[name], testTolerance.Window), allowed(limit, testTolerance)
			if got > want {
				exceeded[name] = fmt.Sprintf("%d requests in a window, want at most %d", got, want)
			}
		}
	})
	return exceeded
}

// sendLoad sends a multiple of a limit to random instances until a deadline.
func sendLoad(c *cluster, name string, limit org.Limit, factor float64, seed uint64, deadline time.Time) {
	r := rand.New(rand.NewPCG(seed, 2))
	pause := float64(time.Second) / (limit.PerSecond * factor)
	var work sync.WaitGroup
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(pause * r.ExpFloat64()))
		nodes := c.all()
		if len(nodes) == 0 {
			continue
		}
		n, first := simnet.Pick(r, nodes), r.IntN(10) == 0
		work.Go(func() { c.request(n, name, limit, 1, first) })
	}
	work.Wait()
}

// injectFault applies one random fault to the instances.
func injectFault(c *cluster, r *rand.Rand, names []string) {
	nodes := c.all()
	if len(nodes) == 0 {
		for _, m := range names {
			c.start(m)
		}
		return
	}
	n := simnet.Pick(r, nodes)
	switch r.IntN(11) {
	case 0, 1:
		c.Restart(n.Node)
	case 2:
		for _, n := range nodes {
			c.Kill(n.Node)
		}
	case 3, 4:
		c.leaveSlowly(n, time.Duration(r.IntN(1500))*time.Millisecond)
	case 5, 6:
		for _, n := range nodes[:r.IntN(len(nodes))] {
			c.IsolateFor(n.Node, simnet.IsolateBoth, time.Duration(r.IntN(4000))*time.Millisecond)
		}
	case 7:
		c.IsolateFor(n.Node, simnet.IsolateOutbound, time.Duration(r.IntN(2500))*time.Millisecond)
	case 9:
		c.start(fmt.Sprint("new", r.IntN(6)))
	case 8:
		c.PowerOff(n.Node)
		c.start(n.Machine())
	}
}
