package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestGrantsWhenSlotIsFreed(t *testing.T) {
	f := newFixture(t, 1, 1)
	first, second := request("1"), request("2")
	granted := grants(f.send(first, second))
	if len(granted) != 1 || granted["1"] != "t0" {
		t.Fatalf("granted %v, want run 1 at t0", granted)
	}
	granted = grants(f.send(finish(first, "t0")))
	if len(granted) != 1 || granted["2"] != "t0" {
		t.Fatalf("granted %v, want run 2 at t0", granted)
	}
}

func TestDuplicateRequestIsIdempotent(t *testing.T) {
	f := newFixture(t, 1, 1)
	m := request("1")
	f.send(m)
	granted := grants(f.send(m))
	if granted["1"] != "t0" {
		t.Fatalf("duplicate of a granted request: granted %v, want the same grant again", granted)
	}
	f.send(finish(m, "t0"))
	if granted := grants(f.send(m)); len(granted) != 0 {
		t.Fatalf("duplicate of an ended request was granted: %v", granted)
	}
}

func TestNoGrantAtLeavingTarget(t *testing.T) {
	f := newFixture(t, 2, 1)
	f.send(request("1"))
	f.members.targets[1].Leaving = true
	f.tick(structs.MembersListed{})
	if granted := grants(f.send(request("2"))); len(granted) != 0 {
		t.Fatalf("granted %v, want none: the only free target is leaving", granted)
	}
}

func TestNewTargetServesWaitingCalls(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.send(request("1"), request("2"))
	f.members.targets = append(f.members.targets, structs.Target{ID: "t1", Service: testService, Region: "r"})
	if granted := grants(f.tick(structs.MembersListed{})); granted["2"] != "t1" {
		t.Fatalf("granted %v, want run 2 at t1", granted)
	}
}

func TestWaitingCallsRefusedWithoutTargets(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.send(request("1"), request("2"))
	f.members.targets[0].Leaving = true
	refused := refusals(f.tick(structs.MembersListed{}))
	if refused["2"] == nil || refused["2"].Reason != structs.ReasonNoTarget || refused["2"].RetryAfter <= 0 {
		t.Fatalf("refused %+v, want run 2 refused with ReasonNoTarget and a RetryAfter delay", refused)
	}
}

func TestUnlistedTargetIsRemoved(t *testing.T) {
	f := newFixture(t, 2, 1)
	m := request("1")
	target := grants(f.send(m))["1"]
	f.members.targets = f.members.targets[1:]
	f.tick(structs.MembersListed{})
	f.send(finish(m, target))
	f.tick(structs.MembersListed{})
	if got := len(f.d.findPool(testPool).targets); got != 1 {
		t.Fatalf("got %d targets, want 1", got)
	}
}

func TestRestartRegistersRunningCalls(t *testing.T) {
	f := newFixture(t, 1, 2)
	first, second := request("1"), request("2")
	f.send(first, second)
	f.restart()
	for _, m := range []*structs.PermitRequest{first, second} {
		m.Running = "t0"
	}
	if granted := grants(f.send(first, second, request("3"))); len(granted) != 0 {
		t.Fatalf("granted %v, want none: registered runs occupy all slots", granted)
	}
	if granted := grants(f.send(finish(first, "t0"))); granted["3"] != "t0" {
		t.Fatalf("granted %v, want run 3", granted)
	}
}

// The owner may have run the call under a grant of another dispatcher.
func TestFinishOfWaitingCallEndsIt(t *testing.T) {
	f := newFixture(t, 1, 1)
	first, second := request("1"), request("2")
	f.send(first)
	f.send(second)
	f.send(finish(second, "t0"))
	if granted := grants(f.send(finish(first, "t0"))); len(granted) != 0 || f.d.Waiting() != 0 {
		t.Fatalf("granted %v, %d calls waiting; want none", granted, f.d.Waiting())
	}
}

func TestCacheHintsAfterRestart(t *testing.T) {
	f := newFixture(t, 3, 4)
	f.runAt("1", "p", 8000)
	f.restart()
	m := request("2", withProgram("p"), withPrompt(9000), func(m *structs.PermitRequest) {
		m.Hints = []structs.CacheHint{{Target: "t2", Tokens: 8010}}
	})
	if granted := grants(f.send(m)); granted["2"] != "t2" {
		t.Fatalf("granted %v, want run 2 at the hinted target t2", granted)
	}
}

func TestOwnerDown(t *testing.T) {
	f := newFixture(t, 1, 1)
	running, waiting, resent := request("1"), request("2"), request("3")
	f.send(running, waiting, resent)
	f.tick(structs.PeerDown{Peer: "o"})
	f.send(resent)
	refused := refusals(f.tickAfter(ownerDownTimeout))
	if len(refused) != 1 || refused["2"] == nil {
		t.Fatalf("refused %v, want only run 2, which was not sent again", refused)
	}
	if granted := grants(f.tickAfter(f.settings.service.Timeout)); len(granted) != 0 {
		t.Fatalf("granted %v, want none: the run of the failed owner may still be in progress", granted)
	}
	f.tickAfter(permitGrace)
	if _, held := f.d.calls["1"]; held {
		t.Fatal("the permit of a failed owner is never returned")
	}
}

func TestDeadlineOfWaitingCall(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.send(request("1"), request("2", func(m *structs.PermitRequest) { m.Remaining = time.Second }))
	f.now = f.d.NextWake()
	for range 100 {
		refused := refusals(f.tick())
		if refused["2"] != nil {
			if waited := f.now.Sub(time.Unix(1000, 0)); waited > time.Second {
				t.Fatalf("refused after %v, want at most 1s", waited)
			}
			return
		}
		f.now = f.d.NextWake()
	}
	t.Fatal("call was not refused before its deadline")
}

func TestQueueLimits(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.settings.service.QueueLimit, f.settings.policy.MaxQueued = 4, 2
	f.send(request("0"))
	var sent []structs.Message
	for i := range 8 {
		sent = append(sent, request(fmt.Sprint(i+1), func(m *structs.PermitRequest) {
			m.Team = structs.Team(fmt.Sprint(i / 4))
		}))
	}
	refused := refusals(f.send(sent...))
	if f.d.Waiting() != 4 || len(refused) != 4 {
		t.Fatalf("%d calls waiting and %d refused, want 4 each", f.d.Waiting(), len(refused))
	}
	for run, m := range refused {
		if m.RetryAfter <= 0 {
			t.Errorf("refusal of run %s has no RetryAfter delay", run)
		}
	}
}

func TestHigherClassFirst(t *testing.T) {
	f := newFixture(t, 1, 1)
	first := request("1")
	f.send(first)
	f.send(request("2"), request("3", func(m *structs.PermitRequest) { m.Priority = 0 }))
	if granted := grants(f.send(finish(first, "t0"))); granted["3"] != "t0" {
		t.Fatalf("granted %v, want the call of the higher class", granted)
	}
}

func TestChangedOrderResortsQueue(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.settings.service.Rules.Classes = false
	first := request("1")
	f.send(first)
	f.send(request("2"), request("3", func(m *structs.PermitRequest) { m.Priority = 0 }))
	f.settings.service.Rules.Classes = true
	if granted := grants(f.send(finish(first, "t0"))); granted["3"] != "t0" {
		t.Fatalf("granted %v, want the call of the higher class", granted)
	}
}

// A stream of new programs must not starve an old program of the same class.
func TestNoStarvation(t *testing.T) {
	f := newFixture(t, 1, 1)
	running := request("r0")
	old := request("old", func(m *structs.PermitRequest) {
		m.Age, m.Served, m.Remaining = 5*time.Second, 5*time.Second, time.Hour
	})
	f.send(running, old)
	for i := 1; i < 1000; i++ {
		next := request(fmt.Sprintf("r%d", i), func(m *structs.PermitRequest) { m.Remaining = time.Hour })
		f.now = f.now.Add(100 * time.Millisecond)
		granted := grants(f.send(next, finish(running, "t0")))
		if granted["old"] != "" {
			return
		}
		running = next
	}
	t.Fatal("the call of the old program waited for 100 s behind new programs")
}

func TestSlowTargetIsEjected(t *testing.T) {
	f := newFixture(t, 2, 8)
	for i := range 40 {
		m := request(fmt.Sprint(i))
		target := grants(f.send(m))[m.Ref.Run]
		f.now = f.now.Add(time.Second)
		end := finish(m, target)
		if target == "t0" {
			end.Took = time.Minute
		}
		f.send(end)
	}
	if state := f.d.findPool(testPool).target("t0").health.State; state != "ejected" {
		t.Fatalf("state of a target that is 600 times slower = %s, want ejected", state)
	}
}

func TestRetryBudgetRefusesRetries(t *testing.T) {
	f := newFixture(t, 1, 1)
	refused := 0
	for i := range 100 {
		m := request(fmt.Sprint(i), func(m *structs.PermitRequest) { m.Attempt = 1 })
		for _, r := range refusals(f.send(m)) {
			if r.RetryAfter <= 0 {
				t.Fatal("refusal of a retry has no RetryAfter delay")
			}
			refused++
		}
	}
	if refused < 50 {
		t.Fatalf("%d of 100 retries refused, want at least 50", refused)
	}
}

func TestDumpExplainsWaitingCalls(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.send(request("1"), request("2"))
	if _, err := json.Marshal(f.d.Dump()); err != nil {
		t.Fatal(err)
	}
	dump := f.d.Dump().([]PoolDump)
	if len(dump) != 1 || len(dump[0].Calls) != 1 || dump[0].Calls[0].Why == "" || dump[0].Calls[0].Place != 1 {
		t.Fatalf("unexpected dump: %+v", dump)
	}
}

func TestWatchesTargetsOfPools(t *testing.T) {
	f := newFixture(t, 2, 1)
	var watched []structs.Target
	for _, command := range f.send(request("1")) {
		if watch, ok := command.(structs.WatchTargets); ok {
			watched = watch.Targets
		}
	}
	if len(watched) != 2 {
		t.Fatalf("watched targets = %v, want 2", watched)
	}
}
