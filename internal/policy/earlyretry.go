package policy

// A few requests that may run twice are lost or reach a slow target. They are
// cancelled early and sent to another target. Since that makes an overload worse,
// early retries are limited by a budget.

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
	// earlyRetryTimeoutFactor is the ratio of the timeout to TailLatency.
	earlyRetryTimeoutFactor = 1.25
	// earlyRetryRatio is the number of early retries allowed per request,
	// maxEarlyRetryCredit the maximum that can accumulate.
	earlyRetryRatio     = 0.015
	maxEarlyRetryCredit = 2
	// maxEarlyRetryUtilization is the utilization of a service from which on no
	// request is retried early.
	maxEarlyRetryUtilization = 0.8
)

// EarlyRetry decides when the first attempt of one kind of request is cancelled
// and retried.
type EarlyRetry struct {
	// TailLatency estimates the latency that only tailFraction of the requests
	// exceed.
	TailLatency time.Duration
	samples     int
	// credit is the number of early retries available.
	credit float64
}

// Add records the latency of a request.
func (e *EarlyRetry) Add(latency time.Duration) {
	e.samples++
	e.credit = min(e.credit+earlyRetryRatio, maxEarlyRetryCredit)
	if e.TailLatency == 0 {
		e.TailLatency = latency
		return
	}
	step := float64(e.TailLatency) * tailStep
	if latency > e.TailLatency {
		e.TailLatency += time.Duration(step * (1 - tailFraction))
		return
	}
	e.TailLatency -= time.Duration(step * tailFraction)
}

// Timeout returns the time after which a first attempt is retried at the given
// utilization of the service, and false if it must not be retried early.
func (e *EarlyRetry) Timeout(utilization float64) (time.Duration, bool) {
	if e.samples < minTailSamples || e.credit < 1 || utilization >= maxEarlyRetryUtilization {
		return 0, false
	}
	return time.Duration(earlyRetryTimeoutFactor * float64(e.TailLatency)), true
}

// RecordRetry records an early retry, whose first attempt exceeded TailLatency.
func (e *EarlyRetry) RecordRetry() {
	e.credit--
	e.Add(e.TailLatency + 1)
}
