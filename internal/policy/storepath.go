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
	// maxAppendSamples is how many of the newest answers are remembered.
	maxAppendSamples = 32
	// appendSampleTTL is how long an answer tells of the store's state.
	appendSampleTTL = 2 * time.Second
	// minSlowAppend is the time of an append from which on it mostly waits in
	// the partition's queue; going through another instance takes less. It is
	// longer, as a multiple of the usual time, where the store is far away.
	minSlowAppend    = 30 * time.Millisecond
	slowAppendFactor = 3
	// maxTypicalAppend bounds the usual time, so that an instance that starts
	// beside a slow store does not take that for usual.
	maxTypicalAppend = 60 * time.Millisecond
	// typicalAppendInertia is how many long answers it takes until about that much
	// longer ones are usual.
	typicalAppendInertia = 200
	// minAppendTimeout and maxAppendTimeout bound the timeout of an append: far
	// above the time of a healthy store, and no longer than an overloaded one keeps
	// an append before it refuses it.
	minAppendTimeout = time.Second
	maxAppendTimeout = 2500 * time.Millisecond
	// appendTimeoutFactor is how many times the longest answer seen lately an
	// append may take.
	appendTimeoutFactor = 4
	// minAppendHedgeDelay is the time after which another instance is asked while
	// the store is not known to be slow.
	minAppendHedgeDelay = 60 * time.Millisecond
	// fastAppendsToRecover is how many answers in time end a slow store.
	fastAppendsToRecover = 3
	// slowNoticeInterval is the time between two messages to all that the store is
	// slow.
	slowNoticeInterval = time.Second
	// maxSlowNotices is how many instances tell: none is connected with all.
	maxSlowNotices = 4
	// minOutageTime is how long after a success a failure is taken for the partition's
	// own: a part of the partitions may be away.
	minOutageTime = 300 * time.Millisecond
	// recoveryBatchTime is how long turns are gathered after the store's return, when
	// all that waited comes at once.
	recoveryBatchTime = 500 * time.Millisecond
)

// appendSample is an append that the store answered, made by any instance.
type appendSample struct {
	latency time.Duration
	at      time.Time
}

// StoreMonitor is what an instance knows of its access to the store and of the
// store's speed. The zero value knows nothing and takes all for well.
type StoreMonitor struct {
	samples []appendSample
	// lastSlow is when the store last was seen to be slow, fast how many answers
	// since were not.
	lastSlow      time.Time
	fastSinceSlow int
	// shortestSlow is the shortest answer of a slow store since it is slow.
	shortestSlow time.Duration
	// lastSuspected is when an append was last seen to hang, here or elsewhere.
	lastSuspected time.Time
	// failing tells that this instance's appends fail; succeeded is when one last
	// succeeded, returned when one did after an outage.
	failing     bool
	lastSuccess time.Time
	recoveredAt time.Time
	// typical is the time of this instance's appends when the store is well.
	typical time.Duration
	// lastNotice is when this instance last told others that the store is slow, heard
	// how often it was told so since noticeWindowStart.
	lastNotice        time.Time
	noticesReceived   int
	noticeWindowStart time.Time
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
	s.updateTypical(min(took, maxTypicalAppend))
	result := AppendResult{Took: took, Slow: took > s.slowThreshold()}
	s.Observe(result, now)
	return result
}

// updateTypical follows the short answers at once and the long ones slowly.
func (s *StoreMonitor) updateTypical(took time.Duration) {
	if s.typical == 0 || took < s.typical {
		s.typical = took
		return
	}
	s.typical += (took - s.typical) / typicalAppendInertia
}

// slowThreshold is the time from which on an append of this instance is slow.
func (s *StoreMonitor) slowThreshold() time.Duration {
	return max(minSlowAppend, slowAppendFactor*s.typical)
}

// Observe notes an append that the store took from another instance.
func (s *StoreMonitor) Observe(result AppendResult, now time.Time) {
	if len(s.samples) == maxAppendSamples {
		s.samples = s.samples[1:]
	}
	s.samples = append(s.samples, appendSample{result.Took, now})
	if !result.Slow {
		s.fastSinceSlow++
		return
	}
	if s.shortestSlow == 0 || s.fastSinceSlow >= fastAppendsToRecover || now.Sub(s.lastSlow) > appendSampleTTL {
		s.shortestSlow = result.Took
	}
	s.shortestSlow = min(s.shortestSlow, result.Took)
	s.lastSlow, s.fastSinceSlow = now, 0
}

// ShortestSlow is the shortest answer of a slow store since it is slow.
func (s *StoreMonitor) ShortestSlow() time.Duration { return s.shortestSlow }

// ObserveNotice notes that another instance found the store slow, by an answer that took
// some time, or by an append that hangs if that is 0.
func (s *StoreMonitor) ObserveNotice(took time.Duration, now time.Time) {
	if now.Sub(s.noticeWindowStart) >= slowNoticeInterval {
		s.noticeWindowStart, s.noticesReceived = now, 0
	}
	s.noticesReceived++
	if took > 0 {
		s.Observe(AppendResult{Took: took, Slow: true}, now)
		return
	}
	s.lastSuspected, s.fastSinceSlow = now, 0
}

// ShouldNotifySlow tells whether others should be told that the store is slow: not if this
// instance or enough others did so lately.
func (s *StoreMonitor) ShouldNotifySlow(now time.Time) bool {
	if !s.Slow(now) || s.recentlyNotified(now) {
		return false
	}
	s.lastNotice = now
	return true
}

// recentlyNotified tells whether all instances were told lately that the store is slow,
// as far as this one knows.
func (s *StoreMonitor) recentlyNotified(now time.Time) bool {
	return now.Sub(s.lastNotice) < slowNoticeInterval || s.noticesReceived >= maxSlowNotices && now.Sub(s.noticeWindowStart) < slowNoticeInterval
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
func (s *StoreMonitor) ObserveOutcome(ok bool, now time.Time) (recovered bool) {
	recovered = ok && s.failing
	if recovered {
		s.recoveredAt = now
	}
	if ok {
		s.lastSuccess = now
	}
	s.failing = !ok
	return recovered
}

// ObserveRefusal notes that the store refused an append of this instance or cut it off. A
// single refusal among successes is its partition's own.
func (s *StoreMonitor) ObserveRefusal(now time.Time) { s.failing = s.failing || s.InOutage(now) }

// InOutage tells whether a failure now is more than that of single partitions: no
// append of this instance succeeded lately.
func (s *StoreMonitor) InOutage(now time.Time) bool { return now.Sub(s.lastSuccess) >= minOutageTime }

// ShouldNotifyHang tells whether others should be told that an append hangs: the
// store may be slow, which all would find out one after the other.
func (s *StoreMonitor) ShouldNotifyHang(now time.Time) bool {
	if s.failing || s.recentlyNotified(now) {
		return false
	}
	s.lastNotice, s.lastSuspected, s.fastSinceSlow = now, now, 0
	return true
}

// PathDegraded tells whether the way of an append is bad that has no answer after
// a time, while another instance's was answered.
// It is not if the store itself is slow.
func (s *StoreMonitor) PathDegraded(other AppendResult, elapsed time.Duration) bool {
	return !other.Slow && elapsed > s.slowThreshold()
}

// Failing tells that this instance's appends fail.
func (s *StoreMonitor) Failing() bool { return s.failing }

// Slow tells whether the store is slow: it was, lately, and has not been fast
// often enough since.
func (s *StoreMonitor) Slow(now time.Time) bool {
	return s.fastSinceSlow < fastAppendsToRecover && !s.lastSlow.IsZero() && now.Sub(s.lastSlow) < appendSampleTTL
}

// suspected tells whether the store may be slow or silent: an append hung, and
// there were few answers in time since.
func (s *StoreMonitor) suspected(now time.Time) bool {
	return s.fastSinceSlow < fastAppendsToRecover && !s.lastSuspected.IsZero() && now.Sub(s.lastSuspected) < appendSampleTTL
}

// TypicalLatency is the median of the answers that still tell, 0 if there is none.
func (s *StoreMonitor) TypicalLatency(now time.Time) time.Duration {
	latencies := s.recentLatencies(now)
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)/2]
}

// recentLatencies lists the times of the answers that still tell, in order.
func (s *StoreMonitor) recentLatencies(now time.Time) []time.Duration {
	var latencies []time.Duration
	for _, a := range s.samples {
		if now.Sub(a.at) < appendSampleTTL {
			latencies = append(latencies, a.latency)
		}
	}
	slices.Sort(latencies)
	return latencies
}

// longestLatency is the longest answer that still tells, 0 if there is none.
func (s *StoreMonitor) longestLatency(now time.Time) time.Duration {
	latencies := s.recentLatencies(now)
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)-1]
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
	if s.failing || s.Slow(now) || s.suspected(now) || now.Sub(s.recoveredAt) < recoveryBatchTime {
		return true
	}
	for _, p := range pending {
		if s.AppendHangs(p.Started, now) || p.Partition == partition && now.Sub(p.Started) > s.slowThreshold() {
			return true
		}
	}
	return false
}

// AppendHangs tells whether an append takes long and nothing was answered since it
// began.
func (s *StoreMonitor) AppendHangs(started, now time.Time) bool {
	return now.Sub(started) > s.slowThreshold() && !s.RespondedSince(started)
}

// RespondedSince tells whether the store answered an append of anyone, as far as
// this instance knows.
func (s *StoreMonitor) RespondedSince(t time.Time) bool {
	return len(s.samples) > 0 && s.samples[len(s.samples)-1].at.After(t)
}

// AppendTimeout is how long an append may take. It grows with the store's answers;
// without any the store is silent and trying again is the only way to learn of
// its return.
func (s *StoreMonitor) AppendTimeout(now time.Time) time.Duration {
	return min(max(appendTimeoutFactor*s.longestLatency(now), minAppendTimeout), maxAppendTimeout)
}

// HedgeDelay is how long a try may take until another instance is asked. Where
// the store is slow it is as long as the slowest append may take, and where it
// may be, half as long: until then an answer shows whether it is.
func (s *StoreMonitor) HedgeDelay(now time.Time) time.Duration {
	switch {
	case s.Slow(now):
		return s.AppendTimeout(now)
	case s.suspected(now):
		return s.AppendTimeout(now) / 2
	}
	return max(minAppendHedgeDelay, 2*s.slowThreshold())
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
	return s.AppendTimeout(now) + minAppendHedgeDelay
}
