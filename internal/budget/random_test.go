package budget

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

var schedules = flag.Int("schedules", 60, "number of random schedules to run")

// regressions are seeds that failed before, with the cause.
var regressions = []uint64{}

func TestBudgetsHoldOverRandomFaults(t *testing.T) {
	for _, seed := range regressions {
		t.Run(fmt.Sprint("regression ", seed), func(t *testing.T) { runSchedule(t, seed) })
	}
	for seed := range uint64(*schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed) })
	}
}

// scheduleTime is the duration of the faults of a schedule.
const scheduleTime = 8 * time.Second

// runSchedule runs programs at instances that are killed, paused, partitioned and shut
// down, with a failing store, and checks that no program generates more than its
// budget plus one turn.
func runSchedule(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 1))
		c := newCluster(t)
		machines := []string{"a", "b", "c", "d"}
		for _, m := range machines {
			c.start(m)
		}
		time.Sleep(2 * claimInterval)
		var work sync.WaitGroup
		deadline := time.Now().Add(scheduleTime + 4*time.Second)
		budgets := map[string]int{}
		for i := range 12 {
			program := fmt.Sprint("p", i)
			budget := 1000 + 500*i
			budgets[program] = budget
			starts := time.Duration(r.Int64N(int64(scheduleTime)))
			for caller := range 1 + i%5 {
				callerSeed := seed*1000 + uint64(i*10+caller)
				work.Go(func() {
					time.Sleep(starts)
					runProgram(c, program, budget, callerSeed, deadline)
				})
			}
		}
		begun := time.Now()
		for time.Since(begun) < scheduleTime {
			time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
			injectFault(c, r, machines)
		}
		c.Store.Set(metastore.Fault{})
		work.Wait()
		c.Stop()
		for program, budget := range budgets {
			if got := c.delivered[program]; got > budget+testMaxTurn {
				t.Errorf("program %s got %d tokens, its budget is %d and the maximum of a turn %d", program, got, budget, testMaxTurn)
			}
		}
	})
}

// runProgram runs turns until a deadline, also after the budget is exhausted.
func runProgram(c *cluster, program string, budget int, seed uint64, deadline time.Time) {
	r := rand.New(rand.NewPCG(seed, 2))
	for time.Now().Before(deadline) {
		nodes := c.all()
		if len(nodes) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		duration := time.Duration(20+r.IntN(200)) * time.Millisecond
		used := testMaxTurn - 10*r.IntN(8)
		err := c.turn(simnet.Pick(r, nodes), program, budget, testMaxTurn, used, duration)
		if err != nil || r.IntN(3) == 0 {
			time.Sleep(time.Duration(50+r.IntN(900)) * time.Millisecond)
		}
	}
}

// leaveSlowly shuts an instance down, which still serves turns for a while.
func leaveSlowly(c *cluster, n *node, d time.Duration) {
	c.Background.Go(func() {
		n.manager.Leave(n.manager.ctx)
		time.Sleep(d)
		c.Restart(n.Node)
	})
}

// injectFault applies one random fault to the instances or the store.
func injectFault(c *cluster, r *rand.Rand, machines []string) {
	nodes := c.all()
	if len(nodes) == 0 {
		for _, m := range machines {
			c.start(m)
		}
		return
	}
	n := simnet.Pick(r, nodes)
	switch r.IntN(12) {
	case 0, 1:
		c.Restart(n.Node)
	case 2:
		for _, n := range nodes {
			c.Kill(n.Node)
		}
	case 3, 4:
		leaveSlowly(c, n, time.Duration(r.IntN(1500))*time.Millisecond)
	case 5:
		isolation := simnet.IsolateBoth
		if r.IntN(2) == 0 {
			isolation = simnet.IsolateOutbound
		}
		c.IsolateFor(n.Node, isolation, time.Duration(r.IntN(2500))*time.Millisecond)
	case 6:
		c.Store.Set(metastore.Fault{Unresponsive: true})
	case 7:
		c.Store.Set(metastore.Fault{DropResponse: true, ApplyDelay: time.Duration(r.IntN(3000)) * time.Millisecond})
	case 8:
		c.Store.Set(metastore.Fault{Status: 503})
	case 9:
		c.Store.Set(metastore.Fault{Delay: 240 * time.Millisecond})
	default:
		c.Store.Set(metastore.Fault{})
	}
}
