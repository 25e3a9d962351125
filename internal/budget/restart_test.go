package budget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// epochOf returns the epoch of the newest claim of a partition.
func (c *cluster) epochOf(t *testing.T, partition int) int64 {
	t.Helper()
	list, err := c.Store.Newest(context.Background(), topic, partition)
	if err != nil {
		t.Fatal(err)
	}
	state, err := decodePartition(list)
	if err != nil {
		t.Fatal(err)
	}
	if state.owner == nil {
		return 0
	}
	return state.owner.Epoch
}

// Each partition is claimed once after all instances are killed and start again within
// a second, learning of each other's starts at different times.
func TestPartitionsAreClaimedOnceAfterAllInstancesCrash(t *testing.T) {
	for _, instances := range []int{12, 87} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, 1))
				c := newCluster(t)
				c.DiscoveryDelay = func() time.Duration { return time.Duration(r.IntN(600)) * time.Millisecond }
				for i := range instances {
					c.start(fmt.Sprint("m", i))
				}
				time.Sleep(3 * time.Second)
				var before [testPartitions]int64
				for p := range testPartitions {
					before[p] = c.epochOf(t, p)
				}
				for _, n := range c.all() {
					c.Kill(n.Node)
				}
				for i := range instances {
					time.Sleep(time.Second / time.Duration(instances))
					n := c.start(fmt.Sprint("m", i))
					program := fmt.Sprint("p", i)
					c.Background.Go(func() { _ = c.turn(n, program, 1000, testMaxTurn, testMaxTurn, 100*time.Millisecond) })
				}
				time.Sleep(4 * time.Second)
				claims := int64(0)
				for p := range testPartitions {
					claims += c.epochOf(t, p) - before[p]
				}
				c.Stop()
				t.Logf("%d claims of %d partitions", claims, testPartitions)
				if claims > testPartitions {
					t.Errorf("%d claims of %d partitions", claims, testPartitions)
				}
			})
		})
	}
}

// Instances without the list of instances claim nothing on their own, since each would
// rank first for all partitions. On request they claim after listTimeout.
func TestNoClaimBeforeInstancesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var known atomic.Bool
		c := newCluster(t)
		c.instancesLoaded = known.Load
		n := c.start("m")
		time.Sleep(listTimeout / 2)
		if err := c.turn(n, "p", 1000, testMaxTurn, testMaxTurn, 0); err == nil {
			t.Error("a turn was admitted before the instances were known")
		}
		time.Sleep(3 * claimInterval)
		if calls := c.Store.Calls(); calls != 0 {
			t.Errorf("%d calls to the store without a request", calls)
		}
		if err := c.turn(n, "p", 1000, testMaxTurn, testMaxTurn, 0); err != nil {
			t.Errorf("turn while the list is unavailable: %v", err)
		}
		known.Store(true)
		time.Sleep(3 * claimInterval)
		for p := range testPartitions {
			if c.epochOf(t, p) == 0 {
				t.Errorf("partition %d is not claimed once the instances are known", p)
			}
		}
		c.Stop()
	})
}
