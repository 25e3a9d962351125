package policy

import (
	"testing"
	"time"
)

// at returns a time relative to the start of a test.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// monitorWith returns a monitor that has observed appends of the given latency,
// one every 10 ms.
func monitorWith(latency time.Duration, appends int) *StoreMonitor {
	s := new(StoreMonitor)
	for i := range appends {
		s.ObserveOwn(latency, at(time.Duration(i)*10*time.Millisecond))
	}
	return s
}

// While the store is slow for all, turns are batched and timeouts and hedge
// delays are long.
func TestSlowStoreExtendsTimeouts(t *testing.T) {
	now := at(100 * time.Millisecond)
	s := monitorWith(300*time.Millisecond, 8)
	if !s.ShouldBatch(1, nil, now) || s.State(now) != StoreSlow {
		t.Error("turns are not batched while the store is slow")
	}
	if got := s.AppendTimeout(now); got != 1200*time.Millisecond {
		t.Errorf("append timeout %s", got)
	}
	if got := s.HedgeDelay(now); got < time.Second {
		t.Errorf("hedged after %s", got)
	}
	if s.PathDegraded(AppendResult{Latency: 300 * time.Millisecond, Slow: true}, time.Second) {
		t.Error("path reported as degraded while the store is slow")
	}
	for range 20 {
		s.ObserveOwn(5*time.Millisecond, now)
	}
	if s.ShouldBatch(1, nil, now) || s.State(now) != StoreHealthy {
		t.Error("turns are batched after the store has recovered")
	}
}

// While the store is unresponsive, timeouts and hedge delays are short.
func TestUnresponsiveStoreIsNotSlow(t *testing.T) {
	now := at(200 * time.Millisecond)
	s := monitorWith(5*time.Millisecond, 8)
	hung := []PendingAppend{{Partition: 2, Started: at(100 * time.Millisecond)}}
	if !s.ShouldBatch(1, hung, now) {
		t.Error("turns are not batched while an append hangs")
	}
	if s.AppendTimeout(now) != minAppendTimeout || s.HedgeDelay(now) != minAppendHedgeDelay {
		t.Errorf("append timeout %s, hedge delay %s", s.AppendTimeout(now), s.HedgeDelay(now))
	}
	if !s.PathDegraded(AppendResult{Latency: 5 * time.Millisecond}, 100*time.Millisecond) {
		t.Error("path not reported as degraded although other instances receive replies")
	}
}

// A hanging partition does not affect turns for other partitions.
func TestHangingPartitionDoesNotAffectOthers(t *testing.T) {
	s := monitorWith(5*time.Millisecond, 8)
	hung := []PendingAppend{{Partition: 2, Started: at(100 * time.Millisecond)}}
	s.ObserveOwn(5*time.Millisecond, at(120*time.Millisecond))
	now := at(200 * time.Millisecond)
	if s.ShouldBatch(1, hung, now) || !s.ShouldBatch(2, hung, now) {
		t.Errorf("batches partition 1: %v, 2: %v", s.ShouldBatch(1, hung, now), s.ShouldBatch(2, hung, now))
	}
}

// While some partitions refuse appends and others accept them, the instance is
// not failing, and a success is not a recovery, of which all instances would be
// notified.
func TestRefusingPartitionsAreNotAnOutage(t *testing.T) {
	s := monitorWith(5*time.Millisecond, 8)
	for i := range 40 {
		now := at(100*time.Millisecond + time.Duration(i)*50*time.Millisecond)
		if i%4 == 3 {
			s.ObserveRefusal(now)
		} else if s.ObserveOutcome(true, now) {
			t.Fatal("a success among refusals is reported as recovery")
		}
		if s.State(now) != StoreHealthy || s.ShouldBatch(1, nil, now) {
			t.Fatalf("after append %d the state is %s", i, s.State(now))
		}
	}
	if last := at(2100 * time.Millisecond); s.InOutage(last) || !s.InOutage(last.Add(time.Second)) {
		t.Error("single failures and an outage are not distinguished")
	}
}

// Turns are batched from a refusal until shortly after the recovery, and old
// samples have no effect.
func TestRefusedAppendsAreBatched(t *testing.T) {
	now := at(100 * time.Millisecond)
	s := monitorWith(5*time.Millisecond, 8)
	s.ObserveRefusal(now)
	if !s.ShouldBatch(1, nil, now) || s.State(now) != StoreFailing {
		t.Error("turns are not batched after a refusal")
	}
	now = now.Add(minOutageTime)
	if !s.ObserveOutcome(true, now) || !s.ShouldBatch(1, nil, now) {
		t.Error("turns are not batched right after the recovery")
	}
	now = now.Add(recoveryBatchTime)
	if s.ShouldBatch(1, nil, now) {
		t.Error("turns are batched long after the recovery")
	}
	slow := monitorWith(300*time.Millisecond, 8)
	expired := now.Add(appendSampleTTL + time.Second)
	if slow.ShouldBatch(1, nil, expired) || slow.AppendTimeout(expired) != minAppendTimeout {
		t.Error("expired samples have an effect")
	}
}

// A few notices suffice to notify all instances that the store is slow.
func TestSlowNoticesAreLimited(t *testing.T) {
	now := at(100 * time.Millisecond)
	s, other := monitorWith(300*time.Millisecond, 1), monitorWith(5*time.Millisecond, 8)
	if other.ShouldNotifySlow(now) || !s.ShouldNotifySlow(now) || s.ShouldNotifySlow(now) {
		t.Error("want a single notice, from the instance that observed the slow append")
	}
	for range maxSlowNotices {
		other.ObserveNotice(300*time.Millisecond, now)
	}
	if !other.ShouldBatch(1, nil, now) || other.ShouldNotifySlow(now) {
		t.Error("received notices have no effect, or another one is sent")
	}
	if !other.ShouldNotifySlow(now.Add(slowNoticeInterval)) {
		t.Error("no further notice while the store stays slow")
	}
}

// The threshold for slow appends adapts to a distant store.
func TestDistantStoreIsNotSlow(t *testing.T) {
	s := monitorWith(50*time.Millisecond, 8)
	now := at(200 * time.Millisecond)
	if s.ObserveOwn(60*time.Millisecond, now).Slow || s.ShouldBatch(1, nil, now) || s.HedgeDelay(now) < 100*time.Millisecond {
		t.Error("a distant store is considered slow")
	}
	if !s.ObserveOwn(500*time.Millisecond, now).Slow || !s.ShouldBatch(1, nil, now) {
		t.Error("a slow distant store is not detected")
	}
}
