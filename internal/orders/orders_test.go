package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// runBothModes runs a test for targets that check the fencing number and for targets
// that ignore it.
func runBothModes(t *testing.T, targets, nodes int, test func(*testing.T, *simulation)) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks=", checks), func(t *testing.T) {
			s := newSimulation(t, checks, targets, nodes)
			test(t, s)
			if err := s.checkEpochOrder(); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestDesiredStateRestoredAfterTargetRestart(t *testing.T) {
	runBothModes(t, 2, 1, func(t *testing.T, s *simulation) {
		s.orders.Role, s.orders.Adapter, s.orders.Version = "decode", "a", "v"
		s.waitFor("desired state", s.converged)
		s.engines["t1"].state = wire.OrderState{ChecksFencing: s.checksFencing}
		s.engines["t2"] = &engine{state: wire.OrderState{ChecksFencing: s.checksFencing}}
		s.waitFor("state after a restart and at a new target", s.converged)
		kinds := []string{}
		for _, o := range s.engines["t2"].applied {
			kinds = append(kinds, o.Kind)
		}
		if got := fmt.Sprint(kinds); got != "[load_model set_version load_adapter set_role]" {
			t.Error(got)
		}
	})
}

func TestConcurrentClaimsElectOneController(t *testing.T) {
	runBothModes(t, 3, 2, func(t *testing.T, s *simulation) {
		s.nodes[1].selected = true
		s.run(2 * time.Second)
		if s.nodes[0].isController() == s.nodes[1].isController() {
			t.Fatalf("%+v %+v", s.nodes[0].controller.Dump(), s.nodes[1].controller.Dump())
		}
		s.run(time.Minute)
		if claims := s.claims(); claims > 8 {
			t.Errorf("%d claims in a minute", claims)
		}
		s.nodes[1].selected = false
		s.waitFor("desired state", s.converged)
	})
}

// The order that a paused controller has decided on, and that waits at its
// adapter, is not sent after the next controller's orders.
func TestPausedControllerSendsNoStaleOrders(t *testing.T) {
	runBothModes(t, 1, 2, func(t *testing.T, s *simulation) {
		old, next, e := s.nodes[0], s.nodes[1], s.engines["t0"]
		s.waitFor("desired state", s.converged)
		s.setModel("m2")
		s.waitFor("an order at the adapter", func() bool {
			for _, cmd := range old.outbox {
				if _, ok := cmd.(structs.SendOrder); ok {
					return true
				}
			}
			return false
		})
		old.paused, next.selected = true, true
		s.setModel("m3")
		s.waitFor("the next controller's orders", s.converged)
		s.run(s.sendWindow() + step)
		old.paused = false
		s.run(time.Second)
		if last := e.applied[len(e.applied)-1]; last.Value != "m3" || e.refused > 0 {
			t.Errorf("%+v, %d refused", e.applied, e.refused)
		}
	})
}

// A controller that is cut off from the log takes itself for the controller. A
// target that checks refuses it, which ends its control; to others it sends
// nothing after its lease.
func TestControllerPartitionedFromLog(t *testing.T) {
	runBothModes(t, 1, 2, func(t *testing.T, s *simulation) {
		old, next, e := s.nodes[0], s.nodes[1], s.engines["t0"]
		s.waitFor("desired state", s.converged)
		old.partitioned, old.paused, next.selected = true, true, true
		s.setModel("m2")
		s.waitFor("the next controller's orders", s.converged)
		old.paused = false
		s.run(step)
		if !old.isController() {
			t.Error("the controller that is cut off knows of the next one")
		}
		next.paused = true
		s.setModel("m3")
		s.run(readInterval)
		if e.state.Model != "m2" || s.checksFencing != (e.refused > 0) || s.checksFencing == old.isController() {
			t.Errorf("%+v, %d refused, old %+v", e.state, e.refused, old.controller.Dump())
		}
	})
}

// Appends take effect, some late, and no reply arrives.
func TestLostAppendReplies(t *testing.T) {
	runBothModes(t, 1, 1, func(t *testing.T, s *simulation) {
		s.append = func() (time.Duration, bool) { return 3 * minClaimRetry, true }
		s.waitFor("desired state", s.converged)
		s.run(time.Minute)
		if !s.nodes[0].isController() || s.nodes[0].controller.pools[0].streamState.void == 0 {
			t.Errorf("%+v", s.nodes[0].controller.Dump())
		}
		if claims := s.claims(); claims < 2 || s.engines["t0"].applied[0].Fencing != 1 {
			t.Errorf("%d claims, %+v", claims, s.engines["t0"].applied)
		}
	})
}

func TestLogOutage(t *testing.T) {
	runBothModes(t, 1, 1, func(t *testing.T, s *simulation) {
		s.waitFor("desired state", s.converged)
		s.run(leaseDuration)
		s.logDown = true
		s.setModel("m2")
		s.run(10 * time.Minute)
		if s.converged() != s.checksFencing {
			t.Errorf("%+v", s.engines["t0"].applied)
		}
		s.logDown = false
		s.waitFor("orders after the outage", s.converged)
	})
}

// An idle pool costs no appends, and the log may drop all its records: the next
// epoch is still above the last.
func TestEpochsGrowAfterLogTruncation(t *testing.T) {
	runBothModes(t, 1, 2, func(t *testing.T, s *simulation) {
		s.waitFor("desired state", s.converged)
		count := len(s.records)
		s.run(time.Hour)
		if len(s.records) != count || count > 2 {
			t.Errorf("%d records, then %d", count, len(s.records))
		}
		s.firstOffset = uint64(len(s.records))
		s.nodes[0].selected, s.nodes[1].selected = false, true
		s.setModel("m2")
		s.waitFor("orders of the next controller", s.converged)
		if s.engines["t0"].refused > 0 {
			t.Errorf("%d refused", s.engines["t0"].refused)
		}
	})
}

func TestParallelAndInterval(t *testing.T) {
	runBothModes(t, 4, 1, func(t *testing.T, s *simulation) {
		s.orders.Parallel = 2
		for _, e := range s.engines {
			e.loadTime = 3 * time.Second
		}
		s.waitFor("desired state", s.converged)
		if s.maxLoading != 2 {
			t.Errorf("%d at once, want 2", s.maxLoading)
		}
		s.loadTimes, s.orders.Interval = nil, 20*time.Second
		s.setModel("m2")
		s.waitFor("desired state", s.converged)
		for i := 1; i < len(s.loadTimes); i++ {
			if s.loadTimes[i].Sub(s.loadTimes[i-1]) < s.orders.Interval {
				t.Errorf("loads at %v", s.loadTimes)
			}
		}
	})
}

func TestUnresponsiveAndLeavingTargets(t *testing.T) {
	runBothModes(t, 3, 1, func(t *testing.T, s *simulation) {
		unresponsive, leaving := s.engines["t0"], s.engines["t1"]
		s.orders.Parallel, s.leaving["t1"] = 1, true
		s.waitFor("an order at the adapter", func() bool {
			unresponsive.unresponsive = unresponsive.unresponsive || len(s.nodes[0].outbox) > 0
			return unresponsive.unresponsive
		})
		s.waitFor("the third target's state", func() bool { return s.engines["t2"].state.Model == "m1" })
		unresponsive.unresponsive = false
		s.waitFor("the state of the target that answers again", func() bool { return unresponsive.state.Model == "m1" })
		if len(leaving.applied) > 0 {
			t.Errorf("leaving: %+v", leaving.applied)
		}
	})
}

// A service's setting alone does not make a target one that checks.
func TestTargetWithoutFencingNeedsLease(t *testing.T) {
	s := newSimulation(t, true, 1, 1)
	s.engines["t0"].state.ChecksFencing = false
	s.run(leaseDuration)
	if len(s.engines["t0"].applied) > 0 {
		t.Error("order before the predecessor's lease has ended")
	}
	s.waitFor("desired state", s.converged)
}

// The controller that is cut off sends its last orders at the end of its lease,
// and they are long on their way; the next one's first orders come after them.
// The last order is decided on at each moment before the end.
func TestOrdersAtLeaseExpiry(t *testing.T) {
	for phase := range 2 * int(time.Second/step) {
		s := newSimulation(t, false, 1, 2)
		old, next := s.nodes[0], s.nodes[1]
		s.waitFor("desired state", s.converged)
		s.run(time.Minute)
		s.setModel("a")
		s.run(step)
		next.selected = true
		s.waitFor("a lease", func() bool { return old.controller.pools[0].lease.validUntil.After(old.now()) })
		old.partitioned = true
		s.waitFor("the end of the lease", func() bool {
			return old.controller.pools[0].lease.validUntil.Sub(old.now()) <= old.controller.cfg.SendWindow+time.Duration(phase-10)*step
		})
		// The margin and half of the second that claim and lease took here.
		old.sendDelay, old.sendAtLimit = 2500*time.Millisecond, true
		for i := range 50 {
			s.setModel(fmt.Sprint("b", i))
			s.run(step)
		}
		if err := s.checkEpochOrder(); err != nil {
			t.Fatal(err, s.engines["t0"].applied)
		}
	}
}

// A lease record that is read late does not make the lease longer.
func TestLateReadDoesNotExtendLease(t *testing.T) {
	s := newSimulation(t, false, 1, 2)
	old, next := s.nodes[0], s.nodes[1]
	s.waitFor("desired state", s.converged)
	s.run(time.Minute)
	count := len(s.records)
	s.setModel("m2")
	s.waitFor("a lease record that is read but not counted", func() bool { return len(s.records) > count })
	old.partitioned, old.paused, next.selected = true, true, true
	s.waitFor("the next controller's orders", s.converged)
	old.paused = false
	s.setModel("m3")
	s.run(time.Second)
	if err := s.checkEpochOrder(); err != nil {
		t.Error(err)
	}
}

// A controller that misses records no longer knows that it is one. A late answer
// to a former command means nothing.
func TestMissedRecordsAndLateReplies(t *testing.T) {
	s := newSimulation(t, true, 1, 1)
	n := s.nodes[0]
	s.waitFor("desired state", s.converged)
	n.inbox = append(n.inbox, structs.OrderSent{ID: 1 << 40, Target: "t0", Result: structs.OrderFenced})
	s.run(step)
	if !n.isController() {
		t.Error("control ended by the answer to a former order")
	}
	next := uint64(len(s.records))
	n.inbox = append(n.inbox, structs.LogRead{Stream: n.stream(), From: next + 1, Next: next + 1, End: next + 1})
	s.run(step)
	if n.isController() {
		t.Error("control goes on without the missed records")
	}
	s.waitFor("control again", n.isController)
}
