package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Names of the placement rules.
const (
	PlaceRoundRobin  = "round-robin"
	PlaceLeastLoaded = "least-loaded"
	PlaceAffinity    = "affinity"
	PlaceCost        = "cost"
)

// PlacementOption is a target at which a call could be placed.
type PlacementOption struct {
	// Excluded means that the target must not get the call, Avoided that it
	// should get it only if there is no other.
	Excluded, Avoided bool
	// Open reports whether the target accepts a call now; otherwise Delay is the
	// expected time until it does.
	Open  bool
	Delay time.Duration
	// Running is the number of calls at the target.
	Running int
	// Backlog is the expected time until the prefill queued at the target
	// is done.
	Backlog time.Duration
	// Prefill is the time to process the part of the prompt that is not
	// cached there.
	Prefill time.Duration
	// Cached is the number of prompt tokens cached there.
	Cached int64
	// Eviction is the expected time to recompute what the placement evicts.
	Eviction time.Duration
	// Slowness is the target's time for the same work relative to the pool's.
	Slowness float64
}

func (o PlacementOption) accepts() bool { return o.Open && !o.Excluded }

// Choice is the decision of a placement rule.
type Choice struct {
	// Index is the chosen option, -1 if none can take the call.
	Index int
	// Wait means that the call should wait for the option rather than take an
	// open one.
	Wait bool
}

var noChoice = Choice{Index: -1}

// Place chooses the target of a call. last is the index of the option that the
// pool's previous placement took, for round robin.
func Place(rules structs.Rules, options []PlacementOption, last int) Choice {
	switch rules.Placement {
	case PlaceRoundRobin:
		return placeRoundRobin(options, last)
	case PlaceAffinity:
		return placeAffinity(options)
	case PlaceCost:
		return placeCost(rules, options)
	default:
		return placeLeastLoaded(options)
	}
}

func placeRoundRobin(options []PlacementOption, last int) Choice {
	for i := range options {
		index := (last + 1 + i) % len(options)
		if options[index].accepts() {
			return Choice{Index: index}
		}
	}
	return noChoice
}

func placeLeastLoaded(options []PlacementOption) Choice {
	best := noChoice
	for i, option := range options {
		if option.accepts() && (best.Index < 0 || option.Running < options[best.Index].Running) {
			best.Index = i
		}
	}
	return best
}

func placeAffinity(options []PlacementOption) Choice {
	best := placeLeastLoaded(options)
	for i, option := range options {
		if option.accepts() && option.Cached > options[best.Index].Cached {
			best.Index = i
		}
	}
	return best
}

// placeCost takes the option with the lowest cost. If it is not open, the call
// waits for it, as in delay scheduling, since the delay is part of the cost.
func placeCost(rules structs.Rules, options []PlacementOption) Choice {
	best := noChoice
	var least time.Duration
	for i, option := range options {
		if option.Excluded {
			continue
		}
		cost := Cost(rules, option)
		if best.Index < 0 || cost < least {
			best, least = Choice{Index: i, Wait: !option.Open}, cost
		}
	}
	return best
}

// Cost returns the expected time that a placement costs: the call's own delay
// and prefill, the delay that its prefill causes to the calls running there, and
// the recomputation of what it evicts.
func Cost(rules structs.Rules, option PlacementOption) time.Duration {
	prefill := time.Duration(float64(option.Prefill) * max(1, option.Slowness))
	cost := option.Delay + option.Backlog + prefill
	cost += time.Duration(option.Running) * (prefill + stepCostPerSequence)
	if rules.EvictionTerm {
		cost += option.Eviction
	}
	return cost
}

// stepCostPerSequence is the time by which each running call lengthens another
// one's run, since decoding steps get longer.
const stepCostPerSequence = 2 * time.Millisecond
