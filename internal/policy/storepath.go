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
	// the partition's queue; going through another instance takes less. It is
	// longer, as a multiple of the usual time, where the store is far away.
	storeSlowAbove = 30 * time.Millisecond
	storeSlowTimes = 3
	// storeUsualMost bounds the usual time, so that an instance that starts
	// beside a slow store does not take that for usual.
	storeUsualMost = 60 * time.Millisecond
	// storeUsualInertia is how many long answers it takes until about that much
	// longer ones are usual.
	storeUsualInertia = 200
	// storePatienceLeast and storePatienceMost bound the timeout of an append: far
	// above the time of a healthy store, and no longer than an overloaded one keeps
	// an append before it refuses it.
	storePatienceLeast = time.Second
	storePatienceMost  = 2500 * time.Millisecond
	// storePatienceTimes is how many times the longest answer seen lately an
	// append may take.
	storePatienceTimes = 4
	// storeHedgeLeast is the time after which another instance is asked while
	// the store is not known to be slow.
	storeHedgeLeast = 60 * time.Millisecond
	// storeFastAgain is how many answers in time end a slow store.
	storeFastAgain = 3
	// storeTellPause is the time between two messages to all that the store is
	// slow.
	storeTellPause = time.Second
	// storeTellers is how many instances tell: none is connected with all.
	storeTellers = 4
	// storeOutage is how long after a success a failure is taken for the partition's
	// own: a part of the partitions may be away.
	storeOutage = 300 * time.Millisecond
	// storeSettle is how long turns are gathered after the store's return, when
	// all that waited comes at once.
	storeSettle = 500 * time.Millisecond
)

// storeAnswer is an append that the store answered, made by any instance.
type storeAnswer struct {
	took time.Duration
	at   time.Time
}

// StoreMonitor is what an instance knows of its access to the store and of the
// store's speed. The zero value knows nothing and takes all for well.
type StoreMonitor struct {
	answers []storeAnswer
	// slowAt is when the store last was seen to be slow, fast how many answers
	// since were not.
	slowAt time.Time
	fast   int
	// shortest is the shortest answer of a slow store since it is slow.
	shortest time.Duration
	// suspected is when an append was last seen to hang, here or elsewhere.
	suspected time.Time
	// failing tells that this instance's appends fail; succeeded is when one last
	// succeeded, returned when one did after an outage.
	failing   bool
	succeeded time.Time
	returned  time.Time
	// usual is the time of this instance's appends when the store is well.
	usual time.Duration
	// told is when this instance last told others that the store is slow, heard
	// how often it was told so since heardFrom.
	told      time.Time
	heard     int
	heardFrom time.Time
}

// StoreState is the state of the access to the store.
type StoreState string

// States of the access to the store.
const (
	StoreHealthy StoreState = "good"
	// StoreSlow means that the store answers late, whoever asks.
	StoreSlow StoreState = "slow"
	// StoreFailing means that this instance's appends fail.
	StoreFailing StoreState = "closed"
)

// AppendResult is an append that the store took, as the instance that made it saw
// it: whether the time is long depends on how far the store is from there.
type AppendResult struct {
	Took time.Duration
	Slow bool
}

// ObserveOwn notes an append of this instance that the store took.
func (s *StoreMonitor) ObserveOwn(took time.Duration, now time.Time) AppendResult {
	s.learnUsual(min(took, storeUsualMost))
	a := AppendResult{Took: took, Slow: took > s.slowAbove()}
	s.Observe(a, now)
	return a
}

// learnUsual follows the short answers at once and the long ones slowly.
func (s *StoreMonitor) learnUsual(took time.Duration) {
	if s.usual == 0 || took < s.usual {
		s.usual = took
		return
	}
	s.usual += (took - s.usual) / storeUsualInertia
}

// slowAbove is the time from which on an append of this instance is slow.
func (s *StoreMonitor) slowAbove() time.Duration {
	return max(storeSlowAbove, storeSlowTimes*s.usual)
}

// Observe notes an append that the store took from another instance.
func (s *StoreMonitor) Observe(a AppendResult, now time.Time) {
	if len(s.answers) == storeAnswers {
		s.answers = s.answers[1:]
	}
	s.answers = append(s.answers, storeAnswer{a.Took, now})
	if !a.Slow {
		s.fast++
		return
	}
	if s.shortest == 0 || s.fast >= storeFastAgain || now.Sub(s.slowAt) > storeMemory {
		s.shortest = a.Took
	}
	s.shortest = min(s.shortest, a.Took)
	s.slowAt, s.fast = now, 0
}

// ShortestSlow is the shortest answer of a slow store since it is slow.
func (s *StoreMonitor) ShortestSlow() time.Duration { return s.shortest }

// ObserveNotice notes that another instance found the store slow, by an answer that took
// some time, or by an append that hangs if that is 0.
func (s *StoreMonitor) ObserveNotice(took time.Duration, now time.Time) {
	if now.Sub(s.heardFrom) >= storeTellPause {
		s.heardFrom, s.heard = now, 0
	}
	s.heard++
	if took > 0 {
		s.Observe(AppendResult{Took: took, Slow: true}, now)
		return
	}
	s.suspected, s.fast = now, 0
}

// ShouldNotifySlow tells whether others should be told that the store is slow: not if this
// instance or enough others did so lately.
func (s *StoreMonitor) ShouldNotifySlow(now time.Time) bool {
	if !s.Slow(now) || s.allKnow(now) {
		return false
	}
	s.told = now
	return true
}

// allKnow tells whether all instances were told lately that the store is slow,
// as far as this one knows.
func (s *StoreMonitor) allKnow(now time.Time) bool {
	return now.Sub(s.told) < storeTellPause || s.heard >= storeTellers && now.Sub(s.heardFrom) < storeTellPause
}

// ObserveTimeout notes that an append of this instance had no answer in time. Where the
// store is slow for all that tells nothing of this instance's way.
func (s *StoreMonitor) ObserveTimeout(now time.Time) {
	if !s.Slow(now) {
		s.ObserveOutcome(false, now)
	}
}

// ObserveOutcome notes whether an append of this instance succeeded. It tells whether
// appends succeed again after an outage.
func (s *StoreMonitor) ObserveOutcome(ok bool, now time.Time) (back bool) {
	back = ok && s.failing
	if back {
		s.returned = now
	}
	if ok {
		s.succeeded = now
	}
	s.failing = !ok
	return back
}

// ObserveRefusal notes that the store refused an append of this instance or cut it off. A
// single refusal among successes is its partition's own.
func (s *StoreMonitor) ObserveRefusal(now time.Time) { s.failing = s.failing || s.InOutage(now) }

// InOutage tells whether a failure now is more than that of single partitions: no
// append of this instance succeeded lately.
func (s *StoreMonitor) InOutage(now time.Time) bool { return now.Sub(s.succeeded) >= storeOutage }

// ShouldNotifyHang tells whether others should be told that an append hangs: the
// store may be slow, which all would find out one after the other.
func (s *StoreMonitor) ShouldNotifyHang(now time.Time) bool {
	if s.failing || s.allKnow(now) {
		return false
	}
	s.told, s.suspected, s.fast = now, now, 0
	return true
}

// PathDegraded tells whether the way of an append is bad that has no answer after
// a time, while another instance's was answered.
// It is not if the store itself is slow.
func (s *StoreMonitor) PathDegraded(other AppendResult, without time.Duration) bool {
	return !other.Slow && without > s.slowAbove()
}

// Failing tells that this instance's appends fail.
func (s *StoreMonitor) Failing() bool { return s.failing }

// Slow tells whether the store is slow: it was, lately, and has not been fast
// often enough since.
func (s *StoreMonitor) Slow(now time.Time) bool {
	return s.fast < storeFastAgain && !s.slowAt.IsZero() && now.Sub(s.slowAt) < storeMemory
}

// suspects tells whether the store may be slow or silent: an append hung, and
// there were few answers in time since.
func (s *StoreMonitor) suspects(now time.Time) bool {
	return s.fast < storeFastAgain && !s.suspected.IsZero() && now.Sub(s.suspected) < storeMemory
}

// TypicalLatency is the median of the answers that still tell, 0 if there is none.
func (s *StoreMonitor) TypicalLatency(now time.Time) time.Duration {
	times := s.recent(now)
	if len(times) == 0 {
		return 0
	}
	return times[len(times)/2]
}

// recent lists the times of the answers that still tell, in order.
func (s *StoreMonitor) recent(now time.Time) []time.Duration {
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
func (s *StoreMonitor) longest(now time.Time) time.Duration {
	times := s.recent(now)
	if len(times) == 0 {
		return 0
	}
	return times[len(times)-1]
}

// PendingAppend is an append of this instance without an answer yet.
type PendingAppend struct {
	Partition int
	Started   time.Time
}

// ShouldBatch tells whether a turn for a partition should ride on the append of the
// partition's gatherer: where this instance's appends fail or hang, or the store
// is slow or has just come back.
func (s *StoreMonitor) ShouldBatch(partition int, pending []PendingAppend, now time.Time) bool {
	if s.failing || s.Slow(now) || s.suspects(now) || now.Sub(s.returned) < storeSettle {
		return true
	}
	for _, p := range pending {
		if s.AppendHangs(p.Started, now) || p.Partition == partition && now.Sub(p.Started) > s.slowAbove() {
			return true
		}
	}
	return false
}

// AppendHangs tells whether an append takes long and nothing was answered since it
// began.
func (s *StoreMonitor) AppendHangs(begun, now time.Time) bool {
	return now.Sub(begun) > s.slowAbove() && !s.RespondedSince(begun)
}

// RespondedSince tells whether the store answered an append of anyone, as far as
// this instance knows.
func (s *StoreMonitor) RespondedSince(t time.Time) bool {
	return len(s.answers) > 0 && s.answers[len(s.answers)-1].at.After(t)
}

// AppendTimeout is how long an append may take. It grows with the store's answers;
// without any the store is silent and trying again is the only way to learn of
// its return.
func (s *StoreMonitor) AppendTimeout(now time.Time) time.Duration {
	return min(max(storePatienceTimes*s.longest(now), storePatienceLeast), storePatienceMost)
}

// HedgeDelay is how long a try may take until another instance is asked. Where
// the store is slow it is as long as the slowest append may take, and where it
// may be, half as long: until then an answer shows whether it is.
func (s *StoreMonitor) HedgeDelay(now time.Time) time.Duration {
	switch {
	case s.Slow(now):
		return s.AppendTimeout(now)
	case s.suspects(now):
		return s.AppendTimeout(now) / 2
	}
	return max(storeHedgeLeast, 2*s.slowAbove())
}

// State is the state as a whole.
func (s *StoreMonitor) State(now time.Time) StoreState {
	switch {
	case s.failing:
		return StoreFailing
	case s.Slow(now):
		return StoreSlow
	}
	return StoreHealthy
}

// BatchTimeout is how long the gatherer of a partition may take: turns may have
// to wait for the append before theirs.
func (s *StoreMonitor) BatchTimeout(now time.Time) time.Duration {
	if s.Slow(now) {
		return 2 * s.AppendTimeout(now)
	}
	return s.AppendTimeout(now) + storeHedgeLeast
}
