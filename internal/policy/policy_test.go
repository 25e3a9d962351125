package policy

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestAdmit(t *testing.T) {
	rules := structs.DefaultRules()
	off := rules
	off.Admission = false
	base := QueueState{Limit: 10, TeamLimit: 10, CallTime: time.Second, Remaining: 10 * time.Second}
	tests := []struct {
		name   string
		rules  structs.Rules
		change func(*QueueState)
		admit  bool
	}{
		{"empty queue", rules, func(*QueueState) {}, true},
		{"full queue", rules, func(l *QueueState) { l.Waiting = 10 }, false},
		{"full queue, rule off", off, func(l *QueueState) { l.Waiting = 10 }, false},
		{"full team", rules, func(l *QueueState) { l.TeamWaiting = 10 }, false},
		{"starts in time", rules, func(l *QueueState) { l.Wait = 8 * time.Second }, true},
		{"starts too late", rules, func(l *QueueState) { l.Wait = 9500 * time.Millisecond }, false},
		{"starts too late, rule off", off, func(l *QueueState) { l.Wait = time.Hour }, true},
		{"new program behind a long wait", rules, func(l *QueueState) { l.FirstCall, l.Wait = true, 3*time.Second }, false},
		{"new program behind a short wait", rules, func(l *QueueState) { l.FirstCall, l.Wait = true, 2*time.Second }, true},
		{"no deadline", rules, func(l *QueueState) { l.Remaining, l.Wait = 0, time.Hour }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			load := base
			test.change(&load)
			verdict := AdmitCall(test.rules, load)
			if verdict.Admit != test.admit {
				t.Fatalf("admitted %v, want %v", verdict.Admit, test.admit)
			}
			if !verdict.Admit && (verdict.RetryAfter <= 0 || verdict.Reason != structs.ReasonOverloaded) {
				t.Fatalf("refusal %+v lacks a reason or a retry delay", verdict)
			}
		})
	}
}

func TestOrderKeys(t *testing.T) {
	young := Call{Arrived: 10 * time.Second, Served: time.Second, Elapsed: 2 * time.Second}
	old := Call{Arrived: 9 * time.Second, Served: 20 * time.Second, Elapsed: 40 * time.Second}
	urgent := Call{Arrived: 11 * time.Second, Served: 20 * time.Second, Elapsed: 40 * time.Second, Slack: time.Second, HasDeadline: true}
	missed := Call{Arrived: 10 * time.Second, Served: 20 * time.Second, Elapsed: 40 * time.Second, Slack: -time.Hour, HasDeadline: true}
	tests := []struct {
		order         string
		aging         float64
		first, second Call
	}{
		{OrderFCFS, 1, old, young},
		{OrderLAS, 1, young, old},
		{OrderLAS, 0, young, old},
		{OrderSlack, 1, urgent, young},
		{OrderHybrid, 1, young, old},
		{OrderHybrid, 0, young, old},
		{OrderHybrid, 1, urgent, young},
		{OrderHybrid, 1, young, missed},
	}
	for _, test := range tests {
		rules := structs.Rules{Order: test.order, Aging: test.aging}
		if a, b := OrderKey(rules, test.first), OrderKey(rules, test.second); a >= b {
			t.Errorf("%s, aging %v: key %v of %+v is not before %v of %+v", test.order, test.aging, a, test.first, b, test.second)
		}
	}
}

// With aging, a call can be overtaken by later ones only for a bounded time.
func TestAgingBoundsTheWait(t *testing.T) {
	for _, order := range []string{OrderFCFS, OrderLAS, OrderSlack, OrderHybrid} {
		rules := structs.Rules{Order: order, Aging: 1}
		long := Call{Served: 10 * time.Minute, Elapsed: time.Hour}
		late := Call{Arrived: noDeadlineSlack + stretchFactor*time.Hour + time.Second, Slack: 0, HasDeadline: true}
		if OrderKey(rules, long) > OrderKey(rules, late) {
			t.Errorf("%s: a call can be overtaken without bound", order)
		}
	}
}

func TestFairShare(t *testing.T) {
	rules := structs.Rules{FairShare: true}
	shares := NewShares()
	shares.Add("a", 10*time.Second, 1)
	shares.Add("b", 10*time.Second, 10)
	floor := shares.Floor([]structs.Team{"a", "b"})
	if !shares.ExceedsBurst(rules, "a", floor) || shares.ExceedsBurst(rules, "b", floor) {
		t.Fatalf("usage a %v, b %v: want only a to exceed the burst", shares.Usage("a"), shares.Usage("b"))
	}
	if shares.ExceedsBurst(structs.Rules{}, "a", floor) {
		t.Fatal("limited although the rule is disabled")
	}
	shares.Join("c", floor)
	if shares.Usage("c") != floor {
		t.Fatalf("a returning team starts at %v, want %v", shares.Usage("c"), floor)
	}
}

func TestPlace(t *testing.T) {
	ms := time.Millisecond
	idle := PlacementOption{Open: true, Prefill: 80 * ms, Slowness: 1}
	holder := PlacementOption{Open: true, Running: 4, Prefill: 5 * ms, Cached: 8000, Slowness: 1}
	busyHolder := PlacementOption{Running: 16, Delay: 30 * ms, Prefill: 5 * ms, Cached: 8000, Slowness: 1}
	fullHolder := PlacementOption{Running: 16, Delay: time.Second, Prefill: 5 * ms, Cached: 8000, Slowness: 1}
	evicting := idle
	evicting.Eviction = 50 * ms
	slow := idle
	slow.Slowness = 10
	excluded := PlacementOption{Excluded: true}
	tests := []struct {
		name, rule string
		options    []PlacementOption
		want       Choice
	}{
		{"round robin", PlaceRoundRobin, []PlacementOption{idle, idle, idle}, Choice{Index: 1}},
		{"least loaded", PlaceLeastLoaded, []PlacementOption{holder, idle}, Choice{Index: 1}},
		{"affinity", PlaceAffinity, []PlacementOption{idle, holder}, Choice{Index: 1}},
		{"affinity, holder closed", PlaceAffinity, []PlacementOption{idle, busyHolder}, Choice{Index: 0}},
		{"cost takes the holder", PlaceCost, []PlacementOption{idle, holder}, Choice{Index: 1}},
		{"cost waits a little", PlaceCost, []PlacementOption{{Open: true, Prefill: 200 * ms, Slowness: 1}, busyHolder}, Choice{Index: 1, Wait: true}},
		{"cost does not wait long", PlaceCost, []PlacementOption{idle, fullHolder}, Choice{Index: 0}},
		{"cost counts evictions", PlaceCost, []PlacementOption{evicting, idle}, Choice{Index: 1}},
		{"cost avoids a slow target", PlaceCost, []PlacementOption{slow, idle}, Choice{Index: 1}},
		{"none", PlaceCost, []PlacementOption{excluded}, Choice{Index: -1}},
		{"affinity none", PlaceAffinity, []PlacementOption{excluded}, Choice{Index: -1}},
		{"excluded", PlaceLeastLoaded, []PlacementOption{excluded, idle}, Choice{Index: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rules := structs.Rules{Placement: test.rule, EvictionTerm: true}
			if got := Place(rules, test.options, 0); got != test.want {
				t.Fatalf("chose %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestEvictionCost(t *testing.T) {
	victims := []CacheEntry{{Tokens: 1000, ReturnProbability: 0}, {Tokens: 1000, ReturnProbability: 0.5}, {Tokens: 1000, ReturnProbability: 1}}
	for need, want := range map[int64]time.Duration{
		0: 0, 1000: 0, 1500: 250 * time.Microsecond, 3000: 1500 * time.Microsecond, 9000: 1500 * time.Microsecond,
	} {
		if got := EvictionCost(victims, need, time.Microsecond); got != want {
			t.Errorf("evicting %d tokens costs %v, want %v", need, got, want)
		}
	}
}

func TestPausesEstimateReturnProbability(t *testing.T) {
	pauses := NewPauses()
	if pauses.ReturnProbability(time.Hour) != 1 {
		t.Fatal("want a return probability of 1 without samples")
	}
	for i := range 1000 {
		pauses.ObserveReturn(time.Duration(300+i%200)*time.Millisecond, false)
		if i%10 == 0 {
			pauses.ObserveAbandoned()
		}
	}
	early, late := pauses.ReturnProbability(100*time.Millisecond), pauses.ReturnProbability(5*time.Second)
	if early < 0.85 || late > 0.05 {
		t.Fatalf("return probability %v early and %v late", early, late)
	}
	if limit := pauses.AbandonTimeout(); limit < time.Second || limit > 3*time.Second {
		t.Fatalf("presumed abandoned after %v", limit)
	}
	rules := structs.DefaultRules()
	if !Retain(rules, early, 0.99) || Retain(rules, late, 0.1) {
		t.Fatal("want prefixes retained in early pauses and released in late ones")
	}
}

func TestHealth(t *testing.T) {
	rules, now := structs.DefaultRules(), time.Unix(0, 0)
	h := NewHealth()
	for range slowRuns {
		h.RecordSuccess(rules, now, 10, true)
	}
	if h.State != Ejected || h.EffectiveSlots(8) != 0 {
		t.Fatalf("state %v after slow runs", h.State)
	}
	now = h.EjectedUntil
	h.Advance(now)
	if h.State != Probation || h.EffectiveSlots(8) != 1 {
		t.Fatalf("state %v after the ejection", h.State)
	}
	h.RecordFailure(rules, now, true)
	if h.State != Ejected || h.EjectedUntil.Sub(now) <= minEjection {
		t.Fatalf("a failure on probation: %v for %v, want a longer ejection", h.State, h.EjectedUntil.Sub(now))
	}
	h.Advance(h.EjectedUntil)
	for range probationRuns {
		h.RecordSuccess(rules, now, 1, true)
	}
	if h.State != Healthy {
		t.Fatalf("state %v after good runs", h.State)
	}
	for range maxFailures {
		h.RecordFailure(rules, now, false)
	}
	if h.State != Healthy {
		t.Fatal("ejected although ejection was not allowed")
	}
}

func TestRetryBudget(t *testing.T) {
	budget := NewRetryBudget()
	allowed := 0
	for range 1000 {
		budget.Allow(0)
		if budget.Allow(1) {
			allowed++
		}
	}
	if limit := retryBurst + 1000*retryRatio; float64(allowed) > limit || allowed < 200 {
		t.Fatalf("%d of 1000 retries allowed, want about %v", allowed, limit)
	}
}

func TestLatenessPredictsWaitOfSaturatedClass(t *testing.T) {
	const position = 100 * time.Millisecond
	var l Lateness
	l.ObserveGrant(0, 0, true)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		l.ObserveGrant(now, now-time.Second, false) // a second behind the due time
	}
	now := 20 * time.Second
	if wait := l.ExpectedWait(now, now+4*time.Second, position); wait < 4900*time.Millisecond || wait > 5*time.Second {
		t.Errorf("wait %v of a call due in 4 s, want about 5 s", wait)
	}
	if wait := l.ExpectedWait(now, now+time.Hour, position); wait != position {
		t.Errorf("wait %v predicted from a backlog of 20 s, want that by position", wait)
	}
	l.ObserveGrant(now, now, true)
	if wait := l.ExpectedWait(now+time.Second, now+4*time.Second, position); wait != position {
		t.Errorf("wait %v behind an empty queue, want that by position", wait)
	}
}
