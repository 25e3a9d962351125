package policy

// Load pattern: a partition of the store takes one append after the other. When
// the store turns slow, appends queue there, and each further one (a second try
// by another instance, a repeat, one a turn) makes all wait longer until callers
// leave. When the store is silent or refuses this instance, waiting is useless
// and another instance or a later try is right. Both look alike at first: an
// append without an answer.

import (
	"slices"
	"time"
)

const (
	// storeAnswers is how many of the newest answers are remembered.
	storeAnswers = 32
	// storeMemory is how long an answer tells of the store's state.
	storeMemory = 2 * time.Second
	// storeSlowAbove is the time of an append from which on it mostly waits in
	// the partition's queue; going through another instance takes less.
	storeSlowAbove = 30 * time.Millisecond
	// storePatienceLeast and storePatienceMost bound the time that an append
	// may take: a store that is well needs a few milliseconds, and one that
	// would need over two seconds refuses.
	storePatienceLeast = 700 * time.Millisecond
	storePatienceMost  = 2500 * time.Millisecond
	// storePatienceTimes is how many times the longest answer seen lately an
	// append may take.
	storePatienceTimes = 4
	// storeHedgeLeast is the time after which another instance is asked while
	// the store is not known to be slow.
	storeHedgeLeast = 60 * time.Millisecond
)

// storeAnswer is an append that the store answered, made by any instance.
type storeAnswer struct {
	partition int
	took      time.Duration
	at        time.Time
}

// StorePath is what an instance knows of its way to the store and of the
// store's speed. The zero value knows nothing and takes all for well.
type StorePath struct {
	answers []storeAnswer
	failing bool
}

// StoreState is the state of the way to the store.
type StoreState string

// States of the way to the store.
const (
	StoreGood StoreState = "good"
	// StoreSlow means that the store answers late, whoever asks.
	StoreSlow StoreState = "slow"
	// StoreClosed means that this instance's appends fail.
	StoreClosed StoreState = "closed"
)

// Answered notes an append that the store took, by this instance or another.
func (s *StorePath) Answered(partition int, took time.Duration, now time.Time) {
	if len(s.answers) == storeAnswers {
		s.answers = s.answers[1:]
	}
	s.answers = append(s.answers, storeAnswer{partition, took, now})
}

// OwnAppend notes whether an append of this instance succeeded.
func (s *StorePath) OwnAppend(ok bool) { s.failing = !ok }

// Overtaken tells whether the way of an append is bad that has no answer after
// a time, while another instance's was answered that took the store some time.
// It is not if the store itself is slow.
func (s *StorePath) Overtaken(took, without time.Duration) bool {
	return took <= storeSlowAbove && without > storeSlowAbove
}

// Failing tells that this instance's appends fail.
func (s *StorePath) Failing() bool { return s.failing }

// Slow tells whether the store is slow for a partition: by its newest answer,
// else by the median of all.
func (s *StorePath) Slow(partition int, now time.Time) bool {
	for _, a := range slices.Backward(s.answers) {
		if a.partition == partition && now.Sub(a.at) < storeMemory {
			return a.took > storeSlowAbove
		}
	}
	return s.slowInAll(now)
}

func (s *StorePath) slowInAll(now time.Time) bool {
	return s.Typical(now) > storeSlowAbove
}

// Typical is the median of the answers that still tell, 0 if there is none.
func (s *StorePath) Typical(now time.Time) time.Duration {
	times := s.recent(now)
	if len(times) == 0 {
		return 0
	}
	return times[len(times)/2]
}

// recent lists the times of the answers that still tell, in order.
func (s *StorePath) recent(now time.Time) []time.Duration {
	var times []time.Duration
	for _, a := range s.answers {
		if now.Sub(a.at) < storeMemory {
			times = append(times, a.took)
		}
	}
	slices.Sort(times)
	return times
}

// longest is the longest answer that still tells, 0 if there is none.
func (s *StorePath) longest(now time.Time) time.Duration {
	times := s.recent(now)
	if len(times) == 0 {
		return 0
	}
	return times[len(times)-1]
}

// Pending is an append of this instance without an answer yet.
type Pending struct {
	Partition int
	Begun     time.Time
}

// Gathers tells whether a turn for a partition should ride on the append of the
// partition's gatherer: where this instance's appends fail or hang, or the store
// is slow.
func (s *StorePath) Gathers(partition int, pending []Pending, now time.Time) bool {
	if s.failing || s.Slow(partition, now) {
		return true
	}
	for _, p := range pending {
		if now.Sub(p.Begun) > storeSlowAbove && (p.Partition == partition || !s.answeredSince(p.Begun)) {
			return true
		}
	}
	return false
}

func (s *StorePath) answeredSince(t time.Time) bool {
	return len(s.answers) > 0 && s.answers[len(s.answers)-1].at.After(t)
}

// Patience is how long an append may take. It grows with the store's answers;
// without any the store is silent and trying again is the only way to learn of
// its return.
func (s *StorePath) Patience(now time.Time) time.Duration {
	return min(max(storePatienceTimes*s.longest(now), storePatienceLeast), storePatienceMost)
}

// HedgeAfter is how long a try may take until another instance is asked. Where
// the store is slow it is as long as the slowest append may take.
func (s *StorePath) HedgeAfter(partition int, now time.Time) time.Duration {
	if s.Slow(partition, now) {
		return s.Patience(now)
	}
	return storeHedgeLeast
}

// State is the state as a whole.
func (s *StorePath) State(now time.Time) StoreState {
	switch {
	case s.failing:
		return StoreClosed
	case s.slowInAll(now):
		return StoreSlow
	}
	return StoreGood
}
