package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

const testSlots = 4

func newTestRegistry(n int) *Registry {
	r := NewRegistry("dc")
	for i := range n {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint("a", i), DataCentre: "dc", Slots: testSlots})
	}
	return r
}

func TestKeyStaysAtItsTargetUntilThatIsTooBusy(t *testing.T) {
	r := newTestRegistry(5)
	now := time.Unix(100, 0)
	first := r.Pick(Want{Service: "s", Key: "program"}, now)
	placed := 1
	for r.Pick(Want{Service: "s", Key: "program"}, now) == first {
		placed++
	}
	if want := int(keyedFill * testSlots); placed != want {
		t.Errorf("%d requests went to the first target, want %d", placed, want)
	}
	for range placed {
		r.End(first)
	}
	if r.Pick(Want{Service: "s", Key: "program"}, now) != first {
		t.Error("the key did not come back to its target")
	}
}

func TestRequestsWithoutAKeySpread(t *testing.T) {
	r := newTestRegistry(4)
	now := time.Unix(100, 0)
	counts := map[string]int{}
	for range 8 {
		counts[r.Pick(Want{Service: "s"}, now).ID]++
	}
	for id, n := range counts {
		if n != 2 {
			t.Errorf("%s got %d of 8 requests", id, n)
		}
	}
}

func TestReportedLoadCountsWhileItIsNew(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	a := r.Pick(Want{Service: "s"}, now)
	r.End(a)
	r.Report(a, call.Load{Running: testSlots, Waiting: 3, Slots: testSlots}, now)
	for range 3 {
		if got := r.Pick(Want{Service: "s"}, now); got == a {
			t.Error("the busy target was chosen")
		}
	}
	if a.busy(now.Add(2*loadAge)) != 0 {
		t.Error("an old report still counts")
	}
}

func TestFailingTargetIsAvoidedAndTriedAgain(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	bad := r.PickSame("t0")
	r.Failed(bad, now)
	for range 4 {
		if r.Pick(Want{Service: "s"}, now) == bad {
			t.Error("a target that failed was chosen at once")
		}
	}
	if later := now.Add(avoidFirst); r.Pick(Want{Service: "s", Exclude: []string{"t1"}}, later) != bad {
		t.Error("the target was not tried again")
	}
}

func TestFailingTargetsAreBetterThanNone(t *testing.T) {
	r := newTestRegistry(1)
	now := time.Unix(100, 0)
	r.Failed(r.PickSame("t0"), now)
	if r.Pick(Want{Service: "s"}, now) == nil {
		t.Error("no target was chosen")
	}
}

func TestLeavingAndExcludedTargets(t *testing.T) {
	r := newTestRegistry(2)
	now := time.Unix(100, 0)
	if !r.Put(Entry{ID: "t0", Service: "s", Address: "a0", Slots: testSlots, Draining: true}) {
		t.Error("a target that began to leave is no change")
	}
	if got := r.Pick(Want{Service: "s", Exclude: []string{"t1"}}, now); got != nil {
		t.Errorf("got %s", got.ID)
	}
	if !r.Remove("t1") || r.Remove("t1") || r.Has("t1") {
		t.Error("a target can be removed once")
	}
}

func TestAnotherTargetUnderTheSameIDIsNew(t *testing.T) {
	r := newTestRegistry(1)
	old := r.PickSame("t0")
	r.Put(Entry{ID: "t0", Service: "other", Address: "a0", Slots: testSlots})
	if r.PickSame("t0") == old || r.Pick(Want{Service: "s"}, time.Unix(100, 0)) != nil {
		t.Error("the target kept the state of another service's")
	}
}
