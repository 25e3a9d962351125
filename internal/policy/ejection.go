package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxFailures is the number of consecutive failures that ejects a target.
	maxFailures = 3
	// slowFactor is the ratio of a target's time to the pool's for the same work
	// above which a run is slow.
	slowFactor = 4
	// slowRuns is the number of consecutive slow runs that ejects a target.
	slowRuns = 3
	// slowGain is the weight of a new sample in Slowness.
	slowGain = 0.3
	// minEjection and maxEjection bound the ejection time, which doubles each
	// time.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// probationRuns is the number of successful runs that ends a probation.
	probationRuns = 3
)

// HealthState indicates whether a target accepts calls.
type HealthState string

// States of a target's health.
const (
	Healthy   HealthState = "healthy"
	Ejected   HealthState = "ejected"
	Probation HealthState = "probation"
)

// Health tracks one target. It is ejected after failures or slow runs, returns
// on probation with one call at a time, and is healthy again after some
// successful runs.
type Health struct {
	State HealthState
	// EjectedUntil is the end of the ejection.
	EjectedUntil time.Time
	// Slowness is the moving average of the ratio of actual to expected time.
	Slowness float64

	consecutiveFailures, consecutiveSlow, successes int
	ejectionTime                                    time.Duration
}

// NewHealth returns the state of a healthy target.
func NewHealth() Health { return Health{State: Healthy, Slowness: 1} }

// Advance moves a target to probation once its ejection has expired.
func (h *Health) Advance(now time.Time) {
	if h.State == Ejected && !now.Before(h.EjectedUntil) {
		h.State, h.successes, h.consecutiveFailures, h.consecutiveSlow = Probation, 0, 0, 0
	}
}

// EffectiveSlots returns how many of its slots the target may use.
func (h *Health) EffectiveSlots(slots int) int {
	switch h.State {
	case Ejected:
		return 0
	case Probation:
		return min(1, slots)
	}
	return slots
}

// RecordFailure records a failed run and reports whether it ejects the target.
func (h *Health) RecordFailure(rules structs.Rules, now time.Time, mayEject bool) bool {
	h.consecutiveFailures++
	limit := maxFailures
	if h.State == Probation {
		limit = 1
	}
	if h.consecutiveFailures < limit {
		return false
	}
	return h.eject(rules, now, mayEject)
}

// RecordSuccess records a run that took ratio times the expected time and
// reports whether it ejects the target.
func (h *Health) RecordSuccess(rules structs.Rules, now time.Time, ratio float64, mayEject bool) bool {
	h.consecutiveFailures = 0
	h.Slowness += slowGain * (ratio - h.Slowness)
	if ratio > slowFactor {
		h.consecutiveSlow++
		h.successes = 0
		if h.consecutiveSlow >= slowRuns || h.State == Probation {
			return h.eject(rules, now, mayEject)
		}
		return false
	}
	h.consecutiveSlow = 0
	h.successes++
	if h.State == Probation && h.successes >= probationRuns {
		h.State, h.ejectionTime = Healthy, 0
	}
	return false
}

func (h *Health) eject(rules structs.Rules, now time.Time, mayEject bool) bool {
	if !rules.Ejection || !mayEject || h.State == Ejected {
		return false
	}
	h.ejectionTime = min(maxEjection, max(minEjection, 2*h.ejectionTime))
	h.State, h.EjectedUntil = Ejected, now.Add(h.ejectionTime)
	h.consecutiveFailures, h.consecutiveSlow = 0, 0
	return true
}
