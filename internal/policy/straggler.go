package policy

// The load pattern: a few answers of a kind of request that may run twice are
// lost or come from a target in trouble, and whoever waits for them is late. A
// second send helps these, and in an overload it harms all.

import "time"

const (
	// tailFraction is the part of answers that come later than Rare.
	tailFraction = 0.01
	// tailStep is how far one answer moves Rare, in parts of it.
	tailStep = 0.2
	// minTailSamples is the number of answers after which Rare is relied on.
	minTailSamples = 50
	// hedgeDelayFactor times Rare is waited, since work itself is uneven.
	hedgeDelayFactor = 1.25
	// hedgeRatio is how many second sends there may be in parts of all requests,
	// maxHedgeCredit how many are saved up.
	hedgeRatio     = 0.015
	maxHedgeCredit = 2
	// maxHedgeUtilization is how busy a service may be, in parts of its slots, for second
	// sends.
	maxHedgeUtilization = 0.8
)

// Hedger follows the times of one kind of request.
type Hedger struct {
	// TailLatency is the time that few answers pass.
	TailLatency time.Duration
	samples     int
	// credit is the number of second sends that are allowed now.
	credit float64
}

// Add takes the time of an answer in.
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

// HedgeDelay is how long a first send may take where a second one is allowed, in a
// service of a fill; false if there is to be none for now.
func (s *Hedger) HedgeDelay(utilization float64) (time.Duration, bool) {
	if s.samples < minTailSamples || s.credit < 1 || utilization >= maxHedgeUtilization {
		return 0, false
	}
	return time.Duration(hedgeDelayFactor * float64(s.TailLatency)), true
}

// RecordHedge counts a second send, after a first one that passed Rare.
func (s *Hedger) RecordHedge() {
	s.credit--
	s.Add(s.TailLatency + 1)
}
