package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Names of the retention rules.
const (
	RetainNone  = "none"
	RetainWorth = "worth"
	RetainAll   = "all"
)

const (
	// pauseBuckets is the number of buckets of a pause histogram. Their upper
	// bounds grow alternately by factors of 1.5 and 1.33, starting at
	// firstPauseBound; the last bucket is unbounded.
	pauseBuckets    = 40
	firstPauseBound = 20 * time.Millisecond
	// pauseGain is the weight of a new pause in the histogram.
	pauseGain = 0.002
	// minPauses is the number of samples required for an estimate.
	minPauses = 20
	// abandonFactor is multiplied with the abandonQuantile of the pauses to get
	// the length after which a program is presumed abandoned.
	abandonFactor     = 3
	abandonQuantile   = 0.99
	minAbandonTimeout = time.Second
)

// Pauses estimates the lengths of one team's tool pauses and the probability
// that a pause never ends. After a long pause a program is presumed abandoned
// until it returns, so that the estimate does not depend on idle timeouts.
type Pauses struct {
	// returned holds the decayed counts of ended pauses by length, abandoned the
	// decayed count of those that did not end.
	returned  [pauseBuckets]float64
	abandoned float64
	samples   int
}

var pauseBounds = makePauseBounds()

func makePauseBounds() [pauseBuckets]time.Duration {
	var bounds [pauseBuckets]time.Duration
	for i := range bounds {
		bounds[i] = firstPauseBound << (i / 2)
		if i%2 == 1 {
			bounds[i] += bounds[i] / 2
		}
	}
	return bounds
}

// NewPauses returns an estimate without samples.
func NewPauses() *Pauses { return &Pauses{} }

func pauseBucket(pause time.Duration) int {
	for i, bound := range pauseBounds {
		if pause <= bound {
			return i
		}
	}
	return pauseBuckets - 1
}

// ObserveReturn records a pause that ended with another call. presumedAbandoned
// reports whether it was counted as abandoned before.
func (p *Pauses) ObserveReturn(pause time.Duration, presumedAbandoned bool) {
	if presumedAbandoned {
		p.abandoned = max(0, p.abandoned-pauseGain)
	}
	p.decay()
	p.returned[pauseBucket(pause)] += pauseGain
}

// ObserveAbandoned records a pause that ended, or is presumed to have ended,
// without another call.
func (p *Pauses) ObserveAbandoned() {
	p.decay()
	p.abandoned += pauseGain
}

func (p *Pauses) decay() {
	p.samples++
	for i := range p.returned {
		p.returned[i] *= 1 - pauseGain
	}
	p.abandoned *= 1 - pauseGain
}

// AbandonTimeout returns the length of a pause after which the program is
// presumed abandoned.
func (p *Pauses) AbandonTimeout() time.Duration {
	if p.samples < minPauses {
		return pauseBounds[pauseBuckets-1]
	}
	total := p.returnedFrom(0)
	sum := 0.0
	for i, count := range p.returned {
		sum += count
		if sum >= abandonQuantile*total {
			return max(minAbandonTimeout, abandonFactor*pauseBounds[i])
		}
	}
	return pauseBounds[pauseBuckets-1]
}

// ReturnProbability returns the probability that a program returns after it has
// paused for the given time, 1 if there are too few samples.
func (p *Pauses) ReturnProbability(paused time.Duration) float64 {
	if p.samples < minPauses {
		return 1
	}
	returns := p.returnedFrom(pauseBucket(paused))
	if returns == 0 {
		return 0
	}
	return returns / (returns + p.abandoned)
}

// returnedFrom returns the sum of the counts from a bucket on.
func (p *Pauses) returnedFrom(bucket int) float64 {
	sum := 0.0
	for _, count := range p.returned[bucket:] {
		sum += count
	}
	return sum
}

// minReturnProbability is the minimum probability of return for which
// RetainWorth holds a prefix, minReturnProbabilityNearlyFull the same in a cache
// that is nearly full, where each prefix displaces another.
const (
	minReturnProbability           = 0.15
	minReturnProbabilityNearlyFull = 0.4
	nearlyFullThreshold            = 0.85
)

// Retain decides whether to hold a paused program's prefix, given the
// probability of its return and the utilization of the target's cache.
func Retain(rules structs.Rules, returnProbability, utilization float64) bool {
	switch rules.Retention {
	case RetainNone:
		return false
	case RetainWorth:
		if utilization >= nearlyFullThreshold {
			return returnProbability >= minReturnProbabilityNearlyFull
		}
		return returnProbability >= minReturnProbability
	default:
		return true
	}
}
