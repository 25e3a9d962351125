package conversation

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/metastore"
)

// The store may refuse some instances while it serves others; their turns are
// then stored and looked up through other instances.
func TestRefusedInstanceStoresTurnsThroughOthers(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		refused := c.indexer("p")
		last := c.runTurns("p", "", 3)
		refused.StoreRefused.Store(true)
		for range 4 {
			last = c.mustTurn(refused, "p", last)
		}
		start := time.Now()
		last = c.mustTurn(refused, "p", last)
		if took := time.Since(start); took > 50*time.Millisecond {
			t.Errorf("a turn took %s", took)
		}
		// While others append for it, the instance makes few attempts itself.
		before := c.Store.Calls()
		for range 20 {
			last = c.mustTurn(refused, "p", last)
		}
		if calls := c.Store.Calls() - before; calls > 22 {
			t.Errorf("20 turns took %d calls", calls)
		}
		c.restartAll()
		c.mustLookUp(c.running()[0], "p", last)
	})
}

// An instance whose link to the store is unresponsive detects it once, and
// detects the recovery.
func TestInstanceWithUnresponsiveStoreLinkAppendsThroughOthers(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		n := c.running()[0]
		last := c.runTurns("p", "", 3)
		n.StoreUnresponsive.Store(true)
		last = c.mustTurn(n, "p", last)
		start := time.Now()
		for range 8 {
			last = c.mustTurn(n, "p", last)
		}
		if took := time.Since(start) / 8; took > 30*time.Millisecond {
			t.Errorf("a turn took %s", took)
		}
		n.StoreUnresponsive.Store(false)
		time.Sleep(directRetryInterval)
		last = c.mustTurn(n, "p", last)
		last = c.mustTurn(n, "p", last)
		if n.manager.Dump().DirectFailing {
			t.Error("the instance did not detect that its store link recovered")
		}
		c.restartAll()
		c.mustLookUp(c.running()[0], "p", last)
	})
}

// A turn is not acknowledged before the store holds it, even if instances have
// it in memory.
func TestTurnDoesNotEndBeforeItIsDurable(t *testing.T) {
	for name, fault := range map[string]metastore.Fault{
		"refused": {Status: 503}, "unresponsive": {Unresponsive: true}, "reset": {Reset: true},
	} {
		runCluster(t, 3, func(t *testing.T, c *cluster) {
			c.Store.Set(fault)
			if id, err := c.turn(c.running()[0], "p", "", 2*time.Second); err == nil {
				t.Errorf("%s: turn %s was acknowledged", name, id)
			}
		})
	}
}

// Waiting turns end soon after the store recovers, and together they make few
// calls meanwhile.
func TestWaitingTurnsEndWhenStoreRecovers(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		const waiting = 40
		c.runTurns("p", "", 3)
		c.Store.Set(metastore.Fault{Status: 503})
		ended := make(chan time.Time, waiting)
		for i := range waiting {
			go func() {
				c.mustTurn(c.running()[i%3], string(rune('a'+i)), "")
				ended <- time.Now()
			}()
		}
		before := c.Store.Calls()
		time.Sleep(1500 * time.Millisecond)
		if calls := c.Store.Calls() - before; calls > 8*waiting {
			t.Errorf("%d calls for %d turns in 1.5 s", calls, waiting)
		}
		c.Store.Set(metastore.Fault{})
		recovered := time.Now()
		for range waiting {
			if took := (<-ended).Sub(recovered); took > 400*time.Millisecond {
				t.Errorf("a turn ended %s after the store recovered", took)
			}
		}
	})
}

// While the store is full no turn is accepted, except for one per second that
// probes it. Other outages do not reject turns at once.
func TestTurnsAreNotAcceptedWhileTheStoreIsFull(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		n := c.running()[0]
		for status, accepted := range map[int]bool{507: false, 503: true} {
			c.Store.Set(metastore.Fault{Status: status})
			if _, err := c.turn(n, "p", "", time.Second); err == nil {
				t.Fatalf("status %d: the turn was acknowledged", status)
			}
			if got := n.manager.Accepts(3 * time.Second); got != accepted {
				t.Errorf("status %d: Accepts returned %v", status, got)
			}
			time.Sleep(2 * probeTurnInterval)
			if !n.manager.Accepts(3 * time.Second) {
				t.Errorf("status %d: no probe turn is accepted", status)
			}
			c.Store.Set(metastore.Fault{})
			c.mustTurn(n, "p", "")
		}
	})
}

// The store may serve only some partitions. Turns are then stored in others,
// together with their predecessors.
func TestTurnIsStoredInAnotherPartitionDuringOutage(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 3)
		home := c.running()[0].manager.partitionOf("p").number
		c.Store.Set(metastore.Fault{Status: 503, Partitions: []int{home}})
		last = c.runTurns("p", last, 3)
		c.Store.Set(metastore.Fault{})
		last = c.runTurns("p", last, 3)
		c.restartAll()
		c.mustLookUp(c.running()[0], "p", last)
	})
}

// During an outage longer than callers wait, no turn is accepted except for
// occasional probes.
func TestTurnsAreNotAcceptedInALongOutage(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		n := c.running()[0]
		c.Store.Set(metastore.Fault{Unresponsive: true})
		if _, err := c.turn(n, "p", "", 9*time.Second); err == nil {
			t.Fatal("the turn was acknowledged")
		}
		n.manager.Accepts(2 * time.Second)
		if n.manager.Accepts(2*time.Second) || !n.manager.Accepts(20*time.Second) {
			t.Error("Accepts does not depend on the time left of the caller")
		}
		c.Store.Set(metastore.Fault{})
		time.Sleep(2 * probeTurnInterval)
		c.mustTurn(n, "p", "")
		if !n.manager.Accepts(time.Second) {
			t.Error("turns are not accepted after the store recovered")
		}
	})
}

func TestDumpReportsOutage(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		n := c.running()[0]
		c.mustTurn(n, "p", "")
		if d := n.manager.Dump(); d.Turns != 1 || d.Bytes == 0 || d.OutageDuration != 0 || d.DirectFailing {
			t.Errorf("without faults: %+v", d)
		}
		c.Store.Set(metastore.Fault{Status: 503})
		if _, err := c.turn(n, "p", "", time.Second); err == nil {
			t.Fatal("the turn was acknowledged")
		}
		d := n.manager.Dump()
		unavailable := d.Partitions[n.manager.partitionOf("p").number].Unavailable
		if d.OutageDuration == 0 || !d.DirectFailing || !unavailable {
			t.Errorf("during an outage: %+v", d)
		}
	})
}
