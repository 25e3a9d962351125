package policy

// A few requests that may run twice are lost or reach a slow target. A hedged
// send rescues them, but under overload hedging makes things worse, so it is
// limited by a budget.

import "time"

const (
	// tailFraction is the fraction of requests that take longer than
	// TailLatency.
	tailFraction = 0.01
	// tailStep is the step size of TailLatency, as a fraction of it.
	tailStep = 0.2
	// minTailSamples is the number of samples required before TailLatency is
	// used.
	minTailSamples = 50
	// hedgeDelayFactor is the ratio of the hedge delay to TailLatency.
	hedgeDelayFactor = 1.25
	// hedgeRatio is the number of hedges allowed per request, maxHedgeCredit the
	// maximum that can accumulate.
	hedgeRatio     = 0.015
	maxHedgeCredit = 2
	// maxHedgeUtilization is the utilization of a service from which on nothing
	// is hedged.
	maxHedgeUtilization = 0.8
)

// Hedger decides when to hedge one kind of request.
type Hedger struct {
	// TailLatency estimates the latency that only tailFraction of the requests
	// exceed.
	TailLatency time.Duration
	samples     int
	// credit is the number of hedges available.
	credit float64
}

// Add records the latency of a request.
func (s *Hedger) Add(took time.Duration) {
	s.samples++
	s.credit = min(s.credit+hedgeRatio, maxHedgeCredit)
	if s.TailLatency == 0 {
		s.TailLatency = took
		return
	}
	step := float64(s.TailLatency) * tailStep
	if took > s.TailLatency {
		s.TailLatency += time.Duration(step * (1 - tailFraction))
		return
	}
	s.TailLatency -= time.Duration(step * tailFraction)
}

// HedgeDelay returns the time after which a request is hedged at the given
// utilization of the service, and false if it must not be hedged.
func (s *Hedger) HedgeDelay(utilization float64) (time.Duration, bool) {
	if s.samples < minTailSamples || s.credit < 1 || utilization >= maxHedgeUtilization {
		return 0, false
	}
	return time.Duration(hedgeDelayFactor * float64(s.TailLatency)), true
}

// RecordHedge records a hedge, whose first send exceeded TailLatency.
func (s *Hedger) RecordHedge() {
	s.credit--
	s.Add(s.TailLatency + 1)
}
