package conversation

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/metastore"
)

// A slow store, whose partitions take one append every 120 ms, stores 600 turns
// a second with any number of instances: batching limits the appends to what
// the store handles.
func TestSlowStoreStoresAllTurns(t *testing.T) {
	for _, machines := range []int{3, 61, 300} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			runClusterOf(t, machines, 24, func(t *testing.T, c *cluster) {
				took, _ := c.generateLoad(600, 2*time.Second)
				c.Store.Set(metastore.Fault{AppendTime: 120 * time.Millisecond})
				before := c.Store.Calls()
				slow, _ := c.generateLoad(600, 4*time.Second)
				if calls := c.Store.Calls() - before; calls > 24*(4000+1000)/120 {
					t.Errorf("%d calls to the slow store", calls)
				}
				c.Store.Set(metastore.Fault{})
				after, _ := c.generateLoad(600, 2*time.Second)
				t.Logf("longest turn: healthy store %s, slow %s, recovered %s", took, slow, after)
				if took > 10*time.Millisecond || slow > time.Second {
					t.Errorf("longest turn: %s, %s while the store was slow", took, slow)
				}
			})
		})
	}
}

// When a slow store's responses are delayed in transit, turns do not wait for
// the response to the previous append.
func TestDelayedResponsesDoNotBlockAppends(t *testing.T) {
	runClusterOf(t, 61, 24, func(t *testing.T, c *cluster) {
		c.generateLoad(250, 2*time.Second)
		c.Store.Set(metastore.Fault{Delay: 340 * time.Millisecond, AppendTime: 120 * time.Millisecond})
		longest, mean := c.generateLoad(250, 5*time.Second)
		t.Logf("longest turn %s, mean %s", longest, mean)
		if longest > 1500*time.Millisecond || mean > 650*time.Millisecond {
			t.Errorf("longest turn %s, mean %s", longest, mean)
		}
	})
}

// Turns that wait for an unresponsive store end soon after it recovers. One
// instance detects the recovery for all, with few appends meanwhile.
func TestStoreRecoveryIsBroadcast(t *testing.T) {
	runClusterOf(t, 61, 24, func(t *testing.T, c *cluster) {
		c.generateLoad(600, time.Second)
		c.Store.Set(metastore.Fault{Unresponsive: true})
		before := c.Store.Calls()
		var recovered time.Time
		c.Background.Go(func() {
			time.Sleep(2500 * time.Millisecond)
			c.Store.Set(metastore.Fault{})
			recovered = time.Now()
			if calls := c.Store.Calls() - before; calls > 61*20 {
				t.Errorf("%d calls while the store was unresponsive", calls)
			}
		})
		c.generateLoad(600, 2400*time.Millisecond)
		if took := time.Since(recovered); took > 300*time.Millisecond {
			t.Errorf("the last turn ended %s after the store recovered", took)
		}
		after := c.Store.Calls()
		if longest, _ := c.generateLoad(600, time.Second); longest > 50*time.Millisecond {
			t.Errorf("a turn took %s after the store recovered", longest)
		}
		if calls := c.Store.Calls() - after; calls > 700 {
			t.Errorf("%d calls for 600 turns", calls)
		}
	})
}

// generateLoad stores turns at a constant rate and returns their longest and
// mean latency.
func (c *cluster) generateLoad(perSecond int, length time.Duration) (longest, mean time.Duration) {
	var work sync.WaitGroup
	var mu sync.Mutex
	var sum time.Duration
	turns := int(length.Seconds() * float64(perSecond))
	nodes := c.running()
	r := rand.New(rand.NewPCG(1, uint64(len(nodes))))
	for range turns {
		time.Sleep(time.Second / time.Duration(perSecond))
		n, program := nodes[r.IntN(len(nodes))], fmt.Sprint("p", r.Uint64())
		work.Go(func() {
			start := time.Now()
			c.mustTurn(n, program, "")
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(start))
			sum += time.Since(start)
		})
	}
	work.Wait()
	return longest, sum / time.Duration(turns)
}

// A turn that tried all helpers while the store refused everyone is stored once
// the store serves the helpers, although it still refuses this instance.
func TestHelpersAreRetriedAfterOutage(t *testing.T) {
	runClusterOf(t, 3, 4, func(t *testing.T, c *cluster) {
		n := c.running()[0]
		c.Store.Set(metastore.Fault{Status: 503})
		c.Background.Go(func() {
			time.Sleep(5 * time.Second)
			n.StoreRefused.Store(true)
			c.Store.Set(metastore.Fault{})
		})
		start := time.Now()
		c.turn(n, "p", "", 30*time.Second)
		if took := time.Since(start); took > 7*time.Second {
			t.Errorf("the turn took %s", took)
		}
	})
}
