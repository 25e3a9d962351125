package policy

import (
	"testing"
	"time"
)

// at is a time of these tests.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// pathWith is a path with answers of a length, every 10 ms.
func pathWith(took time.Duration, answers int) *StoreMonitor {
	s := new(StoreMonitor)
	for i := range answers {
		s.ObserveOwn(took, at(time.Duration(i)*10*time.Millisecond))
	}
	return s
}

// Slow for all: turns are gathered, appends get time, nobody else is asked soon.
func TestSlowStoreIsGivenTime(t *testing.T) {
	now := at(100 * time.Millisecond)
	s := pathWith(300*time.Millisecond, 8)
	if !s.ShouldBatch(1, nil, now) || s.State(now) != StoreSlow {
		t.Error("turns are not gathered")
	}
	if got := s.AppendTimeout(now); got != 1200*time.Millisecond {
		t.Errorf("patience %s", got)
	}
	if got := s.HedgeDelay(now); got < time.Second {
		t.Errorf("another instance is asked after %s", got)
	}
	if s.PathDegraded(AppendResult{Took: 300 * time.Millisecond, Slow: true}, time.Second) {
		t.Error("the way is blamed for a slow store")
	}
	for range 20 {
		s.ObserveOwn(5*time.Millisecond, now)
	}
	if s.ShouldBatch(1, nil, now) || s.State(now) != StoreHealthy {
		t.Error("turns are gathered when the store is well again")
	}
}

// Silent for all, or for this instance: others are asked and tries are short.
func TestSilenceIsNotSlowness(t *testing.T) {
	now := at(200 * time.Millisecond)
	s := pathWith(5*time.Millisecond, 8)
	hung := []PendingAppend{{Partition: 2, Started: at(100 * time.Millisecond)}}
	if !s.ShouldBatch(1, hung, now) {
		t.Error("turns follow one that hangs")
	}
	if s.AppendTimeout(now) != storePatienceLeast || s.HedgeDelay(now) != storeHedgeLeast {
		t.Errorf("patience %s, hedge %s", s.AppendTimeout(now), s.HedgeDelay(now))
	}
	if !s.PathDegraded(AppendResult{Took: 5 * time.Millisecond}, 100*time.Millisecond) {
		t.Error("the way is not blamed though others are answered")
	}
}

// One partition away: the turns of others go on.
func TestPartitionThatHangsStopsNoOther(t *testing.T) {
	s := pathWith(5*time.Millisecond, 8)
	hung := []PendingAppend{{Partition: 2, Started: at(100 * time.Millisecond)}}
	s.ObserveOwn(5*time.Millisecond, at(120*time.Millisecond))
	now := at(200 * time.Millisecond)
	if s.ShouldBatch(1, hung, now) || !s.ShouldBatch(2, hung, now) {
		t.Errorf("gathers 1: %v, 2: %v", s.ShouldBatch(1, hung, now), s.ShouldBatch(2, hung, now))
	}
}

// A part of the partitions refuses appends while the others take them: neither is
// this instance's way closed, nor is each success the store's return, which would
// have all instances told again and again.
func TestRefusingPartitionsAreNoOutage(t *testing.T) {
	s := pathWith(5*time.Millisecond, 8)
	for i := range 40 {
		now := at(100*time.Millisecond + time.Duration(i)*50*time.Millisecond)
		if i%4 == 3 {
			s.ObserveRefusal(now)
		} else if s.ObserveOutcome(true, now) {
			t.Fatal("a success beside refusals is told as the store's return")
		}
		if s.State(now) != StoreHealthy || s.ShouldBatch(1, nil, now) {
			t.Fatalf("after append %d the way is taken for %s", i, s.State(now))
		}
	}
	if last := at(2100 * time.Millisecond); s.InOutage(last) || !s.InOutage(last.Add(time.Second)) {
		t.Error("single failures and an outage are not told apart")
	}
}

// Refused, then taken again; and what was seen long ago tells nothing.
func TestRefusedAppendsGoThroughOthers(t *testing.T) {
	now := at(100 * time.Millisecond)
	s := pathWith(5*time.Millisecond, 8)
	s.ObserveRefusal(now)
	if !s.ShouldBatch(1, nil, now) || s.State(now) != StoreFailing {
		t.Error("turns go where they are refused")
	}
	now = now.Add(storeOutage)
	if !s.ObserveOutcome(true, now) || !s.ShouldBatch(1, nil, now) {
		t.Error("turns are not gathered right after the store's return")
	}
	now = now.Add(storeSettle)
	if s.ShouldBatch(1, nil, now) {
		t.Error("turns go through others though they need not")
	}
	slow := pathWith(300*time.Millisecond, 8)
	later := now.Add(storeMemory + time.Second)
	if slow.ShouldBatch(1, nil, later) || slow.AppendTimeout(later) != storePatienceLeast {
		t.Error("old answers decide")
	}
}

// Few instances tell all others that the store is slow, not each of them.
func TestFewTellThatTheStoreIsSlow(t *testing.T) {
	now := at(100 * time.Millisecond)
	s, other := pathWith(300*time.Millisecond, 1), pathWith(5*time.Millisecond, 8)
	if other.ShouldNotifySlow(now) || !s.ShouldNotifySlow(now) || s.ShouldNotifySlow(now) {
		t.Error("told wrongly")
	}
	for range storeTellers {
		other.ObserveNotice(300*time.Millisecond, now)
	}
	if !other.ShouldBatch(1, nil, now) || other.ShouldNotifySlow(now) {
		t.Error("what was told has no effect, or is told once more")
	}
	if !other.ShouldNotifySlow(now.Add(storeTellPause)) {
		t.Error("that the store stays slow is not told")
	}
}

// Far from the store longer appends are usual; ten times that is slow there as
// well.
func TestFarStoreIsNotSlow(t *testing.T) {
	s := pathWith(50*time.Millisecond, 8)
	now := at(200 * time.Millisecond)
	if s.ObserveOwn(60*time.Millisecond, now).Slow || s.ShouldBatch(1, nil, now) || s.HedgeDelay(now) < 100*time.Millisecond {
		t.Error("a store that is far away is taken for slow")
	}
	if !s.ObserveOwn(500*time.Millisecond, now).Slow || !s.ShouldBatch(1, nil, now) {
		t.Error("a slow store that is far away is not noticed")
	}
}
