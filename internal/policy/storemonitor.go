package policy

// A store partition processes its appends sequentially. If the store becomes
// slow, retries and hedges only lengthen the queue. If the store is unresponsive
// or refuses this instance, waiting does not help, and the append has to go
// through another instance or be retried. At first both look the same: an append
// without a reply.

import (
	"slices"
	"time"
)

const (
	// maxAppendSamples is the number of most recent appends that are kept.
	maxAppendSamples = 32
	// appendSampleTTL is the age up to which a sample reflects the store's
	// state.
	appendSampleTTL = 2 * time.Second
	// minSlowAppend is the latency above which an append is slow if the store is
	// close by. For a distant store the threshold is slowAppendFactor times the
	// typical latency.
	minSlowAppend    = 30 * time.Millisecond
	slowAppendFactor = 3
	// maxTypicalAppend bounds the typical latency, so that an instance that
	// starts while the store is slow does not take that for typical.
	maxTypicalAppend = 60 * time.Millisecond
	// typicalAppendInertia is about the number of longer appends after which the
	// typical latency has followed them.
	typicalAppendInertia = 200
	// minAppendTimeout and maxAppendTimeout bound the timeout of an append. The
	// maximum is no longer than an overloaded store queues an append before it
	// refuses it.
	minAppendTimeout = time.Second
	maxAppendTimeout = 2500 * time.Millisecond
	// appendTimeoutFactor is the ratio of the timeout to the longest recent
	// latency.
	appendTimeoutFactor = 4
	// minAppendHedgeDelay is the minimum delay before an append is hedged
	// through another instance while the store is not known to be slow.
	minAppendHedgeDelay = 60 * time.Millisecond
	// fastAppendsToRecover is the number of fast appends after which the store
	// is no longer considered slow.
	fastAppendsToRecover = 3
	// slowNoticeInterval is the minimum time between two notices to all
	// instances that the store is slow.
	slowNoticeInterval = time.Second
	// maxSlowNotices is the number of instances that send a notice. It is more
	// than one, since no instance is connected to all others.
	maxSlowNotices = 4
	// minOutageTime is the time since the last success after which a failure
	// counts as an outage of the store rather than of a single partition.
	minOutageTime = 300 * time.Millisecond
	// recoveryBatchTime is how long turns are batched after the store has
	// recovered, since the backlog arrives all at once.
	recoveryBatchTime = 500 * time.Millisecond
)

// appendSample is an append of any instance that the store has acknowledged.
type appendSample struct {
	latency time.Duration
	at      time.Time
}

// StoreMonitor tracks the latency of the store and whether this instance can
// reach it. The zero value assumes a healthy store.
type StoreMonitor struct {
	samples []appendSample
	// lastSlow is when the store was last observed to be slow, fastSinceSlow the
	// number of fast appends since.
	lastSlow      time.Time
	fastSinceSlow int
	// shortestSlow is the minimum latency of slow appends since the store became
	// slow.
	shortestSlow time.Duration
	// lastSuspected is when an append was last seen to hang, on this instance or
	// another.
	lastSuspected time.Time
	// failing reports whether this instance's appends fail. lastSuccess is the
	// time of the last success, recoveredAt that of the first success after an
	// outage.
	failing     bool
	lastSuccess time.Time
	recoveredAt time.Time
	// typical is the latency of this instance's appends while the store is
	// healthy.
	typical time.Duration
	// lastNotice is when this instance last notified others that the store is
	// slow, noticesReceived the number of such notices since noticeWindowStart.
	lastNotice        time.Time
	noticesReceived   int
	noticeWindowStart time.Time
}

// StoreState is the state of this instance's access to the store.
type StoreState string

// States of the access to the store.
const (
	StoreHealthy StoreState = "good"
	// StoreSlow means that appends are slow for all instances.
	StoreSlow StoreState = "slow"
	// StoreFailing means that this instance's appends fail.
	StoreFailing StoreState = "closed"
)

// AppendResult is the result of an acknowledged append. Slow is determined by
// the instance that made it, since the threshold depends on its distance from
// the store.
type AppendResult struct {
	Latency time.Duration
	Slow    bool
}

// ObserveOwn records an acknowledged append of this instance.
func (s *StoreMonitor) ObserveOwn(took time.Duration, now time.Time) AppendResult {
	s.updateTypical(min(took, maxTypicalAppend))
	result := AppendResult{Latency: took, Slow: took > s.slowThreshold()}
	s.Observe(result, now)
	return result
}

// updateTypical follows shorter latencies at once and longer ones slowly.
func (s *StoreMonitor) updateTypical(took time.Duration) {
	if s.typical == 0 || took < s.typical {
		s.typical = took
		return
	}
	s.typical += (took - s.typical) / typicalAppendInertia
}

// slowThreshold returns the latency above which an append of this instance is
// slow.
func (s *StoreMonitor) slowThreshold() time.Duration {
	return max(minSlowAppend, slowAppendFactor*s.typical)
}

// Observe records an acknowledged append of any instance.
func (s *StoreMonitor) Observe(result AppendResult, now time.Time) {
	if len(s.samples) == maxAppendSamples {
		s.samples = s.samples[1:]
	}
	s.samples = append(s.samples, appendSample{result.Latency, now})
	if !result.Slow {
		s.fastSinceSlow++
		return
	}
	if s.shortestSlow == 0 || s.fastSinceSlow >= fastAppendsToRecover || now.Sub(s.lastSlow) > appendSampleTTL {
		s.shortestSlow = result.Latency
	}
	s.shortestSlow = min(s.shortestSlow, result.Latency)
	s.lastSlow, s.fastSinceSlow = now, 0
}

// ShortestSlow returns the minimum latency of slow appends since the store
// became slow.
func (s *StoreMonitor) ShortestSlow() time.Duration { return s.shortestSlow }

// ObserveNotice records another instance's notice that the store is slow: took
// is the latency of its slow append, or 0 if the append hangs.
func (s *StoreMonitor) ObserveNotice(took time.Duration, now time.Time) {
	if now.Sub(s.noticeWindowStart) >= slowNoticeInterval {
		s.noticeWindowStart, s.noticesReceived = now, 0
	}
	s.noticesReceived++
	if took > 0 {
		s.Observe(AppendResult{Latency: took, Slow: true}, now)
		return
	}
	s.lastSuspected, s.fastSinceSlow = now, 0
}

// ShouldNotifySlow reports whether to notify other instances that the store is
// slow, and if so records the notice. It returns false if this instance or
// enough others have sent one recently.
func (s *StoreMonitor) ShouldNotifySlow(now time.Time) bool {
	if !s.Slow(now) || s.recentlyNotified(now) {
		return false
	}
	s.lastNotice = now
	return true
}

// recentlyNotified reports whether, as far as this instance knows, all instances
// have recently been notified that the store is slow.
func (s *StoreMonitor) recentlyNotified(now time.Time) bool {
	return now.Sub(s.lastNotice) < slowNoticeInterval || s.noticesReceived >= maxSlowNotices && now.Sub(s.noticeWindowStart) < slowNoticeInterval
}

// ObserveTimeout records that an append of this instance timed out. If the store
// is slow for all, that does not indicate a failure of this instance's path.
func (s *StoreMonitor) ObserveTimeout(now time.Time) {
	if !s.Slow(now) {
		s.ObserveOutcome(false, now)
	}
}

// ObserveOutcome records whether an append of this instance succeeded. It
// reports whether appends have recovered from an outage.
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

// ObserveRefusal records that the store refused or aborted an append of this
// instance. A refusal shortly after a success is attributed to the partition
// alone.
func (s *StoreMonitor) ObserveRefusal(now time.Time) { s.failing = s.failing || s.InOutage(now) }

// InOutage reports whether a failure now indicates more than a single
// unavailable partition: no append of this instance has succeeded recently.
func (s *StoreMonitor) InOutage(now time.Time) bool { return now.Sub(s.lastSuccess) >= minOutageTime }

// ShouldNotifyHang reports whether to notify other instances that an append
// hangs, and if so records the notice. It spares them from each detecting a slow
// store on their own.
func (s *StoreMonitor) ShouldNotifyHang(now time.Time) bool {
	if s.failing || s.recentlyNotified(now) {
		return false
	}
	s.lastNotice, s.lastSuspected, s.fastSinceSlow = now, now, 0
	return true
}

// PathDegraded reports whether this instance's path to the store is degraded,
// given an append without a reply for the elapsed time and another instance's
// result. If the store itself is slow, the path is not to blame.
func (s *StoreMonitor) PathDegraded(other AppendResult, elapsed time.Duration) bool {
	return !other.Slow && elapsed > s.slowThreshold()
}

// Failing reports whether this instance's appends fail.
func (s *StoreMonitor) Failing() bool { return s.failing }

// Slow reports whether the store has been slow recently and has not recovered
// since.
func (s *StoreMonitor) Slow(now time.Time) bool {
	return s.fastSinceSlow < fastAppendsToRecover && !s.lastSlow.IsZero() && now.Sub(s.lastSlow) < appendSampleTTL
}

// suspected reports whether the store may be slow or unresponsive: an append
// hung recently, with few fast appends since.
func (s *StoreMonitor) suspected(now time.Time) bool {
	return s.fastSinceSlow < fastAppendsToRecover && !s.lastSuspected.IsZero() && now.Sub(s.lastSuspected) < appendSampleTTL
}

// TypicalLatency returns the median of the recent latencies, 0 if there are
// none.
func (s *StoreMonitor) TypicalLatency(now time.Time) time.Duration {
	latencies := s.recentLatencies(now)
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)/2]
}

// recentLatencies returns the latencies of the samples that have not expired,
// sorted.
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

// longestLatency returns the maximum of the recent latencies, 0 if there are
// none.
func (s *StoreMonitor) longestLatency(now time.Time) time.Duration {
	latencies := s.recentLatencies(now)
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)-1]
}

// PendingAppend is an append of this instance without a reply so far.
type PendingAppend struct {
	Partition int
	Started   time.Time
}

// ShouldBatch reports whether a turn should be added to the batch of its
// partition rather than appended on its own: if this instance's appends fail or
// hang, or the store is slow or has just recovered.
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

// AppendHangs reports whether an append takes long and the store has
// acknowledged none since it started.
func (s *StoreMonitor) AppendHangs(started, now time.Time) bool {
	return now.Sub(started) > s.slowThreshold() && !s.RespondedSince(started)
}

// RespondedSince reports whether, as far as this instance knows, the store has
// acknowledged any instance's append since t.
func (s *StoreMonitor) RespondedSince(t time.Time) bool {
	return len(s.samples) > 0 && s.samples[len(s.samples)-1].at.After(t)
}

// AppendTimeout returns the timeout of an append. It grows with the recent
// latencies. Without any it is the minimum, since only another attempt detects
// that an unresponsive store has recovered.
func (s *StoreMonitor) AppendTimeout(now time.Time) time.Duration {
	return min(max(appendTimeoutFactor*s.longestLatency(now), minAppendTimeout), maxAppendTimeout)
}

// HedgeDelay returns the time after which an append is hedged through another
// instance. If the store is slow, that is the timeout of an append; if it may
// be, half of that, by when a reply should show whether it is.
func (s *StoreMonitor) HedgeDelay(now time.Time) time.Duration {
	switch {
	case s.Slow(now):
		return s.AppendTimeout(now)
	case s.suspected(now):
		return s.AppendTimeout(now) / 2
	}
	return max(minAppendHedgeDelay, 2*s.slowThreshold())
}

// State returns the overall state of this instance's access to the store.
func (s *StoreMonitor) State(now time.Time) StoreState {
	switch {
	case s.failing:
		return StoreFailing
	case s.Slow(now):
		return StoreSlow
	}
	return StoreHealthy
}

// BatchTimeout returns the timeout of a partition's batch, which may have to
// wait for the append before it.
func (s *StoreMonitor) BatchTimeout(now time.Time) time.Duration {
	if s.Slow(now) {
		return 2 * s.AppendTimeout(now)
	}
	return s.AppendTimeout(now) + minAppendHedgeDelay
}
