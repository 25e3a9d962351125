package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxFailures is the number of failures in a row that ejects a target.
	maxFailures = 3
	// slowFactor is the ratio of a target's time to the pool's for the same
	// work that ejects it.
	slowFactor = 4
	// slowRuns is the number of runs in a row that must be slow.
	slowRuns = 3
	// slowGain is the weight of a new sample in Slowness.
	slowGain = 0.3
	// minEjection and maxEjection bound the time out; it doubles.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// probationRuns is the number of good runs that end a probation.
	probationRuns = 3
)

// HealthState tells whether a target takes calls.
type HealthState string

// States of a target's health.
const (
	Healthy   HealthState = "healthy"
	Ejected   HealthState = "ejected"
	Probation HealthState = "probation"
)

// Health follows one target: it is ejected after failures or slow runs, comes
// back on probation with one call at a time, and is healthy again after some
// good runs.
type Health struct {
	State HealthState
	// Until is the end of an ejection.
	Until time.Time
	// Slowness is the moving ratio of the target's time to the expected.
	Slowness float64

	failures, slow, good int
	timeout              time.Duration
}

// NewHealth returns a healthy state.
func NewHealth() Health { return Health{State: Healthy, Slowness: 1} }

// Advance ends an ejection whose time is over.
func (h *Health) Advance(now time.Time) {
	if h.State == Ejected && !now.Before(h.Until) {
		h.State, h.good, h.failures, h.slow = Probation, 0, 0, 0
	}
}

// EffectiveSlots gives how many calls the target may run of its usual number.
func (h *Health) EffectiveSlots(slots int) int {
	switch h.State {
	case Ejected:
		return 0
	case Probation:
		return min(1, slots)
	}
	return slots
}

// RecordFailure counts a failure and tells whether the target is ejected by it.
func (h *Health) RecordFailure(rules structs.Rules, now time.Time, mayEject bool) bool {
	h.failures++
	limit := maxFailures
	if h.State == Probation {
		limit = 1
	}
	if h.failures < limit {
		return false
	}
	return h.eject(rules, now, mayEject)
}

// RecordSuccess counts a run that took ratio times the expected time and tells
// whether the target is ejected by it.
func (h *Health) RecordSuccess(rules structs.Rules, now time.Time, ratio float64, mayEject bool) bool {
	h.failures = 0
	h.Slowness += slowGain * (ratio - h.Slowness)
	if ratio > slowFactor {
		h.slow++
		h.good = 0
		if h.slow >= slowRuns || h.State == Probation {
			return h.eject(rules, now, mayEject)
		}
		return false
	}
	h.slow = 0
	h.good++
	if h.State == Probation && h.good >= probationRuns {
		h.State, h.timeout = Healthy, 0
	}
	return false
}

func (h *Health) eject(rules structs.Rules, now time.Time, mayEject bool) bool {
	if !rules.Ejection || !mayEject || h.State == Ejected {
		return false
	}
	h.timeout = min(maxEjection, max(minEjection, 2*h.timeout))
	h.State, h.Until = Ejected, now.Add(h.timeout)
	h.failures, h.slow = 0, 0
	return true
}
