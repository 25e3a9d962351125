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
	// pauseBuckets counts the buckets of a pause histogram. Their upper
	// bounds grow by a factor of 1.5 and 1.33 in turn from firstPause on;
	// the last one has no bound.
	pauseBuckets = 40
	firstPause   = 20 * time.Millisecond
	// pauseGain is the weight of a new pause in the histogram.
	pauseGain = 0.002
	// minPauses is the number of pauses that make an estimate.
	minPauses = 20
	// presumeFactor times the length that few pauses exceed is the length
	// after which a program is presumed lost.
	presumeFactor   = 3
	presumeQuantile = 0.99
	minPresume      = time.Second
)

// Pauses estimates the length of the tool pauses of one team and the chance
// that a pause never ends. A program that has paused for long is presumed lost
// until it returns, so that the estimate need not wait for idle timeouts.
type Pauses struct {
	// returned holds the decayed counts of ended pauses by length, and lost
	// the decayed count of those that did not end.
	returned [pauseBuckets]float64
	lost     float64
	seen     int
}

var pauseBounds = makePauseBounds()

func makePauseBounds() [pauseBuckets]time.Duration {
	var bounds [pauseBuckets]time.Duration
	for i := range bounds {
		bounds[i] = firstPause << (i / 2)
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

// ObserveReturn counts a pause that ended by a further call; presumed tells that it
// was counted as lost before.
func (p *Pauses) ObserveReturn(pause time.Duration, presumed bool) {
	if presumed {
		p.lost = max(0, p.lost-pauseGain)
	}
	p.decay()
	p.returned[pauseBucket(pause)] += pauseGain
}

// ObserveAbandoned counts a pause that ended, or seems to have ended, without a further
// call.
func (p *Pauses) ObserveAbandoned() {
	p.decay()
	p.lost += pauseGain
}

func (p *Pauses) decay() {
	p.seen++
	for i := range p.returned {
		p.returned[i] *= 1 - pauseGain
	}
	p.lost *= 1 - pauseGain
}

// AbandonTimeout gives the length of a pause after which the program is presumed
// lost.
func (p *Pauses) AbandonTimeout() time.Duration {
	if p.seen < minPauses {
		return pauseBounds[pauseBuckets-1]
	}
	total := p.returnedBeyond(0)
	sum := 0.0
	for i, count := range p.returned {
		sum += count
		if sum >= presumeQuantile*total {
			return max(minPresume, presumeFactor*pauseBounds[i])
		}
	}
	return pauseBounds[pauseBuckets-1]
}

// ReturnProbability is the chance that a program that has paused that long comes
// back; 1 as long as too little is known.
func (p *Pauses) ReturnProbability(paused time.Duration) float64 {
	if p.seen < minPauses {
		return 1
	}
	returns := p.returnedBeyond(pauseBucket(paused))
	if returns == 0 {
		return 0
	}
	return returns / (returns + p.lost)
}

// returnedBeyond sums the counts from a bucket on.
func (p *Pauses) returnedBeyond(bucket int) float64 {
	sum := 0.0
	for _, count := range p.returned[bucket:] {
		sum += count
	}
	return sum
}

// minReturnChance is the least chance of return for which the rule by worth
// holds a prefix in a cache with room, and minReturnChanceFull in one that is
// nearly full, where each prefix displaces another.
const (
	minReturnChance     = 0.15
	minReturnChanceFull = 0.4
	nearlyFull          = 0.85
)

// Retain tells whether to hold a paused program's prefix, given the chance of
// its return and the share of the target's cache in use.
func Retain(rules structs.Rules, chance, fill float64) bool {
	switch rules.Retention {
	case RetainNone:
		return false
	case RetainWorth:
		if fill >= nearlyFull {
			return chance >= minReturnChanceFull
		}
		return chance >= minReturnChance
	default:
		return true
	}
}
