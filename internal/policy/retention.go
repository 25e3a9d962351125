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
	// pauseBuckets counts the buckets of a pause histogram; bucket i holds
	// pauses up to firstPause * 2^(i/2).
	pauseBuckets = 48
	firstPause   = 10 * time.Millisecond
	// pauseDecay ages the counts, so that the estimate follows a change.
	pauseDecay = 0.999
	// priorReturns and priorLosses are counted before anything is seen, per
	// histogram.
	priorReturns = 4
	priorLosses  = 0.2
)

// Pauses estimates the length of tool pauses of one team from those that
// ended: by a return or by the end of the program.
type Pauses struct {
	returned, lost [pauseBuckets]float64
	bounds         *[pauseBuckets]time.Duration
}

var pauseBounds = makePauseBounds()

func makePauseBounds() *[pauseBuckets]time.Duration {
	var bounds [pauseBuckets]time.Duration
	for i := range bounds {
		bounds[i] = firstPause << (i / 2)
		if i%2 == 1 {
			bounds[i] += bounds[i] / 2
		}
	}
	return &bounds
}

// NewPauses returns an estimate without samples.
func NewPauses() *Pauses { return &Pauses{bounds: pauseBounds} }

func (p *Pauses) bucket(pause time.Duration) int {
	for i, bound := range p.bounds {
		if pause <= bound {
			return i
		}
	}
	return pauseBuckets - 1
}

// Returned counts a pause that ended by a further call.
func (p *Pauses) Returned(pause time.Duration) {
	p.decay()
	p.returned[p.bucket(pause)]++
}

// Lost counts a pause that ended without a further call.
func (p *Pauses) Lost(pause time.Duration) {
	p.decay()
	p.lost[p.bucket(pause)]++
}

func (p *Pauses) decay() {
	for i := range p.returned {
		p.returned[i] *= pauseDecay
		p.lost[i] *= pauseDecay
	}
}

// ReturnChance is the chance that a program that has paused that long comes
// back.
func (p *Pauses) ReturnChance(paused time.Duration) float64 {
	returns, losses := p.beyond(paused)
	total := 0.0
	for i := range p.returned {
		total += p.returned[i] + p.lost[i]
	}
	if total < 1 {
		return priorReturns / (priorReturns + priorLosses)
	}
	return (returns + priorLosses*returns/total) / (returns + losses + priorLosses)
}

func (p *Pauses) beyond(paused time.Duration) (returns, losses float64) {
	for i := p.bucket(paused); i < pauseBuckets; i++ {
		returns += p.returned[i]
		losses += p.lost[i]
	}
	return returns, losses
}

// Hold is a cached prefix of a paused program.
type Hold struct {
	// ReturnChance is the chance that the program comes back.
	ReturnChance float64
	// Fill is the share of the target's cache in use.
	Fill float64
}

// Retain tells whether to hold a paused program's prefix. By worth, the chance
// of its use must beat the pressure on the cache.
func Retain(rules structs.Rules, hold Hold) bool {
	switch rules.Retention {
	case RetainNone:
		return false
	case RetainWorth:
		return hold.ReturnChance >= pressure(hold.Fill)
	default:
		return true
	}
}

// pressure is the least chance of return that is worth the memory: small
// while there is room.
func pressure(fill float64) float64 {
	switch {
	case fill < 0.5:
		return 0.1
	case fill < 0.9:
		return 0.2
	}
	return 0.3
}
