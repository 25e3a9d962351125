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

// epochOf is the epoch of the newest claim of a partition.
func (w *cluster) epochOf(t *testing.T, partition int) int64 {
	t.Helper()
	list, err := w.Store.Newest(context.Background(), topic, partition)
	if err != nil {
		t.Fatal(err)
	}
	held, err := decodePartition(list)
	if err != nil {
		t.Fatal(err)
	}
	if held.owner == nil {
		return 0
	}
	return held.owner.Epoch
}

// TestPartitionsAreClaimedOnceBehindALossOfAll replays the return of everybody:
// all instances are killed and start again within a second, and hear of each
// other's starts at different times.
func TestPartitionsAreClaimedOnceBehindALossOfAll(t *testing.T) {
	for _, instances := range []int{12, 87} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, 1))
				w := newCluster(t)
				w.ListDelay = func() time.Duration { return time.Duration(r.IntN(600)) * time.Millisecond }
				for i := range instances {
					w.start(fmt.Sprint("m", i))
				}
				time.Sleep(3 * time.Second)
				var before [testPartitions]int64
				for p := range testPartitions {
					before[p] = w.epochOf(t, p)
				}
				for _, n := range w.all() {
					w.Kill(n.Node)
				}
				for i := range instances {
					time.Sleep(time.Second / time.Duration(instances))
					n := w.start(fmt.Sprint("m", i))
					program := fmt.Sprint("p", i)
					w.Work.Go(func() { _ = w.turn(n, program, 1000, testMaxTurn, testMaxTurn, 100*time.Millisecond) })
				}
				time.Sleep(4 * time.Second)
				claims := int64(0)
				for p := range testPartitions {
					claims += w.epochOf(t, p) - before[p]
				}
				w.Stop()
				t.Logf("%d claims of %d partitions", claims, testPartitions)
				if claims > testPartitions {
					t.Errorf("%d claims of %d partitions", claims, testPartitions)
				}
			})
		})
	}
}

// Instances that do not know the list of instances claim nothing of their own: each
// would take itself for the first choice of all partitions. What they are asked for
// they claim after a while, since the list may stay away.
func TestNothingIsClaimedBeforeTheInstancesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var known atomic.Bool
		w := newCluster(t)
		w.listed = known.Load
		n := w.start("m")
		time.Sleep(listTimeout / 2)
		if err := w.turn(n, "p", 1000, testMaxTurn, testMaxTurn, 0); err == nil {
			t.Error("a turn was let in before the instances are known")
		}
		time.Sleep(3 * claimInterval)
		if calls := w.Store.Calls(); calls != 0 {
			t.Errorf("%d calls to the store without a request", calls)
		}
		if err := w.turn(n, "p", 1000, testMaxTurn, testMaxTurn, 0); err != nil {
			t.Errorf("a turn while the list stays away: %v", err)
		}
		known.Store(true)
		time.Sleep(3 * claimInterval)
		for p := range testPartitions {
			if w.epochOf(t, p) == 0 {
				t.Errorf("partition %d is not claimed once the instances are known", p)
			}
		}
		w.Stop()
	})
}
