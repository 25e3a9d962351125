package budget

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

// returnCase is a program that uses up its budget while instances fail, and returns.
type returnCase struct {
	retention time.Duration
	// fault is the failure during the program's last turns.
	fault func(c *cluster, owner *node, r *rand.Rand)
}

// crashInstance kills an instance and starts it again after another one took its partitions over.
func crashInstance(c *cluster, n *node) {
	c.Kill(n.Node)
	c.Background.Go(func() {
		time.Sleep(time.Second)
		c.start(n.Machine())
	})
}

// killPassersOn kills all instances that pass the program's turns on.
func killPassersOn(c *cluster, owner *node, _ *rand.Rand) {
	for _, n := range c.others(owner) {
		crashInstance(c, n)
	}
}

func killOwner(c *cluster, owner *node, _ *rand.Rand) { crashInstance(c, owner) }

// killOwners kills one owner after the other.
func killOwners(c *cluster, owner *node, r *rand.Rand) {
	crashInstance(c, owner)
	time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
	if next := c.ownerOf("p"); next != nil {
		crashInstance(c, next)
	}
}

func killAll(c *cluster, _ *node, _ *rand.Rand) { c.restartAll() }

// killAllAfterChange kills all instances, which start again with settings whose programs
// may return for a shorter time.
func killAllAfterChange(c *cluster, _ *node, _ *rand.Rand) {
	c.setLifetimes(Lifetimes{Retention: time.Second})
	c.restartAll()
}

// Guards against granting a budget again to a program that returns within its retention:
// accounts must outlive the turns that run while instances fail.
func TestReturningProgramsKeepTheirSpending(t *testing.T) {
	faults := map[string]func(*cluster, *node, *rand.Rand){
		"passers-on": killPassersOn, "owner": killOwner, "owners": killOwners, "all": killAll,
		"all after a change": killAllAfterChange,
	}
	for name, fault := range faults {
		for _, retention := range []time.Duration{3 * time.Second, time.Minute, 10 * time.Minute} {
			for seed := range uint64(12) {
				t.Run(fmt.Sprint(name, "/", retention, "/", seed), func(t *testing.T) {
					runReturn(t, returnCase{retention, fault}, seed)
				})
			}
		}
	}
}

// runReturn runs two rounds of parallel turns that use up the budget, with a fault during
// the second one, and returns just within the retention.
func runReturn(t *testing.T, rc returnCase, seed uint64) {
	const turnTime = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 3))
		c := newCluster(t)
		c.setLifetimes(Lifetimes{Turn: turnTime, Retention: rc.retention})
		for _, machine := range []string{"a", "b", "c", "d"} {
			c.start(machine)
		}
		defer c.Stop()
		// The fault may come at any phase of the sweeps.
		time.Sleep(2*claimInterval + time.Duration(r.Int64N(int64(sweepInterval))))
		owner := c.ownerOf("p")
		runRound(c, r, c.others(owner), turnTime, nil)
		runRound(c, r, c.others(owner), turnTime, func() {
			time.Sleep(time.Duration(r.Int64N(int64(turnTime - time.Second))))
			rc.fault(c, owner, r)
		})
		time.Sleep(rc.retention - 100*time.Millisecond)
		for range 4 {
			runRound(c, r, c.all(), 200*time.Millisecond, nil)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if got := c.delivered["p"]; got > typicalBudget+typicalMaxTurn {
			t.Errorf("delivered %d tokens, the budget is %d and the maximum of a turn %d", got, typicalBudget, typicalMaxTurn)
		}
	})
}

// runRound runs four turns of the program "p" in parallel, each at a random one of the
// instances. The fault, which may be nil, comes while they run.
func runRound(c *cluster, r *rand.Rand, instances []*node, duration time.Duration, fault func()) {
	var work sync.WaitGroup
	for range 4 {
		n := simnet.Pick(r, instances)
		// The turns of one round do not end at the same time.
		took := duration - time.Duration(r.Int64N(int64(duration/4)))
		work.Go(func() { _ = c.turn(n, "p", typicalBudget, typicalMaxTurn, typicalMaxTurn, took) })
	}
	if fault != nil {
		work.Go(fault)
	}
	work.Wait()
}

// Guards against ending the charge for a crash while a former owner, from which the others
// were cut off, granted tokens until it ended.
func TestChargeOutlivesAPartitionedOwner(t *testing.T) {
	const turnTime, retention = 4 * time.Second, 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 3))
		c := newCluster(t)
		c.setLifetimes(Lifetimes{Turn: turnTime, Retention: retention})
		for _, machine := range []string{"a", "b", "c", "d"} {
			c.start(machine)
		}
		defer c.Stop()
		time.Sleep(2 * claimInterval)
		first := c.ownerOf("p")
		c.IsolateFor(first.Node, simnet.IsolateBoth, time.Hour)
		for range 3 {
			time.Sleep(time.Second)
			if owner := ownerAmong(c.others(first), "p"); owner != nil {
				crashInstance(c, owner)
			}
			time.Sleep(time.Second)
			_ = c.turn(simnet.Pick(r, c.others(first)), "p", typicalBudget, typicalMaxTurn, 1, 0)
		}
		if ownerAmong(c.others(first), "p") == nil {
			t.Fatal("no other instance owns the partition")
		}
		time.Sleep(2 * defaultLifetimes.afterGrant())
		for range 4 {
			_ = c.turn(first, "p", typicalBudget, typicalMaxTurn, typicalMaxTurn, 0)
		}
		if c.delivered["p"] < typicalMaxTurn {
			t.Fatal("the partitioned owner granted nothing")
		}
		c.Restart(first.Node)
		time.Sleep(retention - time.Second)
		for range 12 {
			_ = c.turn(simnet.Pick(r, c.all()), "p", typicalBudget, typicalMaxTurn, typicalMaxTurn, 0)
		}
		if got := c.delivered["p"]; got > typicalBudget+typicalMaxTurn {
			t.Errorf("delivered %d tokens, the budget is %d and the maximum of a turn %d", got, typicalBudget, typicalMaxTurn)
		}
	})
}

// ownerAmong returns the instance that takes itself for the owner of a program's
// partition, nil if none of the nodes does.
func ownerAmong(nodes []*node, program string) *node {
	for _, n := range nodes {
		if n.own(program) != nil {
			return n
		}
	}
	return nil
}
