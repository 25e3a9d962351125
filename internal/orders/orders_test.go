package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// runBothModes runs a test with targets that check the fencing number and with
// targets that ignore it.
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
		s.waitFor("desired state after a restart and at a new target", s.converged)
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
			t.Fatalf("want exactly one controller, got states %+v and %+v", s.nodes[0].controller.Dump(), s.nodes[1].controller.Dump())
		}
		s.run(time.Minute)
		if claims := s.claims(); claims > 8 {
			t.Errorf("%d claims in a minute, want at most 8", claims)
		}
		s.nodes[1].selected = false
		s.waitFor("desired state", s.converged)
	})
}

// An order that a paused controller left at its adapter must not be sent after
// the orders of the next controller.
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
		if last := e.applied[len(e.applied)-1]; last.Value != "m3" || e.rejected > 0 {
			t.Errorf("applied orders %+v, %d rejected; want m3 last and none rejected", e.applied, e.rejected)
		}
	})
}

// A controller that is partitioned from the log still considers itself the
// controller. A target that checks the fencing number rejects its orders, which
// ends its control; other targets get no orders after its lease.
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
			t.Error("the partitioned controller has given up control before its order was rejected")
		}
		next.paused = true
		s.setModel("m3")
		s.run(readInterval)
		if e.state.Model != "m2" || s.checksFencing != (e.rejected > 0) || s.checksFencing == old.isController() {
			t.Errorf("state %+v, %d orders rejected, partitioned controller %+v", e.state, e.rejected, old.controller.Dump())
		}
	})
}

// Appends take effect, some of them late, but no reply arrives.
func TestLostAppendReplies(t *testing.T) {
	runBothModes(t, 1, 1, func(t *testing.T, s *simulation) {
		s.append = func() (time.Duration, bool) { return 3 * minClaimRetry, true }
		s.waitFor("desired state", s.converged)
		s.run(time.Minute)
		if !s.nodes[0].isController() || s.nodes[0].controller.pools[0].streamState.void == 0 {
			t.Errorf("want control and void records, got state %+v", s.nodes[0].controller.Dump())
		}
		if claims := s.claims(); claims < 2 || s.engines["t0"].applied[0].Fencing != 1 {
			t.Errorf("%d claims, want at least 2; applied orders %+v, want epoch 1 first", claims, s.engines["t0"].applied)
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
			t.Errorf("orders applied during the outage: %+v; want m2 only if the target checks fencing numbers", s.engines["t0"].applied)
		}
		s.logDown = false
		s.waitFor("orders after the outage", s.converged)
	})
}

// An idle pool appends nothing. If the log drops all records, the next epoch
// must still be greater than the last.
func TestEpochsGrowAfterLogTruncation(t *testing.T) {
	runBothModes(t, 1, 2, func(t *testing.T, s *simulation) {
		s.waitFor("desired state", s.converged)
		count := len(s.records)
		s.run(time.Hour)
		if len(s.records) != count || count > 2 {
			t.Errorf("%d records, then %d after an idle hour; want at most 2 and no new ones", count, len(s.records))
		}
		s.firstOffset = uint64(len(s.records))
		s.nodes[0].selected, s.nodes[1].selected = false, true
		s.setModel("m2")
		s.waitFor("orders of the next controller", s.converged)
		if s.engines["t0"].rejected > 0 {
			t.Errorf("%d orders rejected, want 0", s.engines["t0"].rejected)
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
			t.Errorf("%d targets loaded at once, want 2", s.maxLoading)
		}
		s.loadTimes, s.orders.Interval = nil, 20*time.Second
		s.setModel("m2")
		s.waitFor("desired state", s.converged)
		for i := 1; i < len(s.loadTimes); i++ {
			if s.loadTimes[i].Sub(s.loadTimes[i-1]) < s.orders.Interval {
				t.Errorf("loads closer together than the interval: %v", s.loadTimes)
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
		s.waitFor("desired model at the third target", func() bool { return s.engines["t2"].state.Model == "m1" })
		unresponsive.unresponsive = false
		s.waitFor("desired model at the target that is responsive again", func() bool { return unresponsive.state.Model == "m1" })
		if len(leaving.applied) > 0 {
			t.Errorf("orders applied at a leaving target: %+v", leaving.applied)
		}
	})
}

// The setting of the service alone does not make a target count as checking.
func TestTargetWithoutFencingNeedsLease(t *testing.T) {
	s := newSimulation(t, true, 1, 1)
	s.engines["t0"].state.ChecksFencing = false
	s.run(leaseDuration)
	if len(s.engines["t0"].applied) > 0 {
		t.Error("order applied before the predecessor's lease has expired")
	}
	s.waitFor("desired state", s.converged)
}

// Orders sent at the end of a lease, even if long in flight, must take effect
// before the next controller's. The phases vary when the last order is decided.
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
		// Stays below leaseMargin plus the time that claim and lease take here.
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

// A lease record that is read late must not extend the lease.
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

// A controller that misses records must give up control. Late replies to
// earlier commands must be ignored.
func TestMissedRecordsAndLateReplies(t *testing.T) {
	s := newSimulation(t, true, 1, 1)
	n := s.nodes[0]
	s.waitFor("desired state", s.converged)
	n.inbox = append(n.inbox, structs.OrderSent{ID: 1 << 40, Target: "t0", Result: structs.OrderFenced})
	s.run(step)
	if !n.isController() {
		t.Error("a late reply to an earlier order ended control")
	}
	next := uint64(len(s.records))
	n.inbox = append(n.inbox, structs.LogRead{Stream: n.stream(), From: next + 1, Next: next + 1, End: next + 1})
	s.run(step)
	if n.isController() {
		t.Error("instance kept control after it missed records")
	}
	s.waitFor("control regained", n.isController)
}
