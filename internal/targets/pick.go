package targets

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Want says what kind of target a request needs.
type Want struct {
	Service string
	// Key is what a target may have kept: the program of a turn, or the object
	// of a plain request; empty if any target is as good as another.
	Key string
	// Exclude lists targets that were tried before.
	Exclude []string
}

const (
	// keyedFill is how busy a target may be, in parts of its slots, for a
	// request to go to the one that its key ranks first. Above 1 the request
	// waits there, which costs less than reading a program's whole prompt
	// elsewhere, and elsewhere it also takes room in the cache. Measured on
	// both sites: 0.6 to 0.9 are worse, 1.25 and 1.6 alike (docs/MEASUREMENTS.md).
	keyedFill = 1.25
	// otherDataCentre is what a target in another data centre must be less
	// busy, in parts of its slots, to be chosen over one here.
	otherDataCentre = 0.15
	// coldCost is added for a target that is still slow after its start.
	coldCost = 0.5
)

// Pick chooses a target and counts a request there; the caller calls End when
// it has ended. It returns nil if the service has no target to try.
func (r *Registry) Pick(want Want, now time.Time) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.byService[want.Service]
	chosen := r.choose(all, want, now, false)
	if chosen == nil {
		// Each target failed lately: trying one is better than none.
		chosen = r.choose(all, want, now, true)
	}
	if chosen != nil {
		chosen.inFlight++
	}
	return chosen
}

// PickSame counts a request at the target with an id, nil if it has left.
func (r *Registry) PickSame(id string) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byID[id]
	if t != nil {
		t.inFlight++
	}
	return t
}

func (r *Registry) choose(all []*Target, want Want, now time.Time, includeAvoided bool) *Target {
	var least, kept *Target
	var leastCost float64
	var keptRank uint64
	// Instances with the same view must not all choose the same target.
	start := rand.IntN(len(all) + 1)
	for i := range all {
		t := all[(start+i)%len(all)]
		if t.Draining || excluded(want.Exclude, t.ID) {
			continue
		}
		if !includeAvoided && (now.Before(t.avoidUntil) || now.Before(t.heardUntil)) {
			continue
		}
		fill := t.busy(now) / float64(max(t.Slots, 1))
		if cost := fill + r.distance(t); least == nil || cost < leastCost {
			least, leastCost = t, cost
		}
		if want.Key == "" || fill >= keyedFill {
			continue
		}
		if rank := rank(want.Key, t.ID); kept == nil || rank > keptRank {
			kept, keptRank = t, rank
		}
	}
	if kept != nil {
		return kept
	}
	return least
}

// distance is what speaks against a target besides its load.
func (r *Registry) distance(t *Target) float64 {
	cost := 0.0
	if t.DataCentre != r.dataCentre {
		cost += otherDataCentre
	}
	if t.ColdRemaining > 0 {
		cost += coldCost
	}
	return cost
}

func excluded(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// rank orders targets for a key by rendezvous hashing.
func rank(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
