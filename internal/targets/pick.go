package targets

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/rendezvous"
)

// Criteria describes the target that a request needs.
type Criteria struct {
	Service string
	// Key identifies what a target may have cached: the program of a turn, or the
	// object of a plain request. It is empty if all targets are equivalent.
	Key string
	// LastIncarnation is the target that ran the key's last request, empty if unknown.
	LastIncarnation string
	// Sticky indicates that the target of this request will be known for the key's next
	// request, so that the selection need not be reproducible.
	Sticky bool
	// Stream indicates that the request is run by an engine's batch, with a prompt of
	// PromptTokens.
	Stream       bool
	PromptTokens int
	// Version restricts the selection to targets of one software version; nil allows
	// all.
	Version *string
	// Ended is the number of targets that may have ended under the request, and Work
	// identifies it over its attempts.
	Ended int
	Work  string
	// Exclude lists the incarnations that were already tried.
	Exclude []string
	// Explanation, if not nil, receives the reason for the selection.
	Explanation *Explanation
}

// allows reports whether a target may get the request at all.
func (c Criteria) allows(t *Target) bool {
	return !t.Draining && (c.Version == nil || t.Version == *c.Version) && !slices.Contains(c.Exclude, t.incarnation)
}

const (
	// maxKeyedUtilization is the utilization, as a fraction of the slots, up to which a
	// request goes to the target preferred by its key. It is above 1 because waiting
	// there is cheaper than processing a program's whole prompt elsewhere, where it
	// would also evict other programs' prompts from the cache.
	maxKeyedUtilization = 1.6
	// maxLocalUtilization is the utilization up to which a program begins at a target
	// of this data centre, leaving capacity for its sub-agents. The average utilization
	// of the data centre must be below it, too: the data about single targets is mostly
	// outdated, and a data centre with more callers than its targets can serve would
	// keep them all. Prompts sent to other data centres are charged by the byte.
	maxLocalUtilization = 0.6
	// otherDataCentreCost is how much lower the utilization of a target in another data
	// centre must be for it to be preferred to a local one.
	otherDataCentreCost = 0.15
	// coldCost is added to the utilization of a target that is slow after its start.
	coldCost = 0.5
	// newConnectionCost is added to the utilization of a target without an idle
	// connection.
	newConnectionCost = 0.3
)

// Pick selects a target and counts a request there; the caller must call End when
// the request has ended. It returns nil if the service has no usable target.
func (r *Registry) Pick(criteria Criteria, now time.Time) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.serviceByName(criteria.Service)
	candidates, keyed := r.candidates(s, criteria)
	var chosen *Target
	if criteria.Ended >= IsolationThreshold {
		chosen = r.chooseIsolated(candidates, criteria, now)
	}
	if chosen == nil {
		chosen = r.choose(candidates, keyed, criteria, now, false)
	}
	anyKeyed := func(int) bool { return true }
	if chosen == nil && len(candidates) < len(s.all) {
		chosen = r.choose(s.all, anyKeyed, criteria, now, false)
	}
	if chosen == nil {
		// All targets failed recently: try one anyway.
		chosen = r.choose(s.all, anyKeyed, criteria, now, true)
	}
	if chosen != nil {
		chosen.inFlight++
		s.markUsed(chosen)
	}
	return chosen
}

// PickIncarnation counts a request at the target with the given incarnation; the
// caller must call End. It returns nil if the incarnation is not registered or drains.
func (r *Registry) PickIncarnation(incarnation string) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byIncarnation[incarnation]
	if t == nil || t.Draining {
		return nil
	}
	t.inFlight++
	r.serviceByName(t.Service).markUsed(t)
	return t
}

// choose selects among all; the first three only below maxKeyedUtilization:
//   - the target that ran the key's last request, since it has the prompt cached;
//   - for a sticky request, a local target with capacity;
//   - the target that the key ranks first, on which all instances agree without
//     coordination;
//   - the least utilized target, preferring those with an idle connection.
//
// Where speeds are learned, chooseByCompletion selects the target instead. keyed reports
// whether the key may rank the target at an index. The mutex must be held.
func (r *Registry) choose(
	all []*Target, keyed func(i int) bool, criteria Criteria, now time.Time, includeAvoided bool,
) *Target {
	if model := r.models[criteria.Service]; model != nil {
		return r.chooseByCompletion(model, r.serviceByName(criteria.Service).all, criteria, now, includeAvoided)
	}
	var last, local, ranked, least best
	preferLocal := criteria.Sticky && r.localUtilization[criteria.Service] < maxLocalUtilization
	// A random start keeps instances with the same data from selecting the same target.
	start := rand.IntN(len(all) + 1)
	sampled := len(all) < len(r.serviceByName(criteria.Service).all)
	for i := range all {
		at := (start + i) % len(all)
		t := all[at]
		if !criteria.allows(t) {
			continue
		}
		if !includeAvoided && t.avoided(now) {
			continue
		}
		utilization := t.busy(now) / float64(max(t.Slots, 1))
		hasIdle := r.connections.HasIdle(t.Address, now)
		least.offer(t, -utilization-r.placementCost(t, hasIdle))
		if criteria.Key == "" || utilization >= maxKeyedUtilization {
			continue
		}
		rank := rank(criteria.Key, t.ID)
		if keyed(at) {
			ranked.offer(t, rank)
		}
		if preferLocal && t.DataCentre == r.dataCentre && utilization < maxLocalUtilization {
			if sampled && hasIdle {
				// Among thousands of targets, spreading programs by rank would hardly
				// ever reuse a connection or a cached prompt.
				rank += idleConnectionRank
			}
			local.offer(t, rank)
		}
		if t.incarnation == criteria.LastIncarnation {
			last.offer(t, 1)
		}
	}
	for _, b := range []best{last, local, ranked, least} {
		if b.target != nil {
			return b.target
		}
	}
	return nil
}

// localLoadWeight is the weight of one report in localUtilization, which averages over
// some tens of reports: a few seconds of an instance's work.
const localLoadWeight = 1.0 / 16

// updateLocalUtilization adds a report to the average of this data centre. The
// mutex must be held.
func (r *Registry) updateLocalUtilization(t *Target, load call.Load) {
	utilization := float64(load.Running+load.Waiting) / float64(max(t.Slots, 1))
	r.localUtilization[t.Service] += localLoadWeight * (utilization - r.localUtilization[t.Service])
}

// idleConnectionRank places targets with an idle connection before all others.
const idleConnectionRank = math.MaxUint64

// best is the target with the highest score so far.
type best struct {
	target *Target
	score  float64
}

// offer replaces the target if the score is higher.
func (b *best) offer(t *Target, score float64) {
	if b.target == nil || score > b.score {
		b.target, b.score = t, score
	}
}

// placementCost returns the cost of using a target, to be added to its utilization.
func (r *Registry) placementCost(t *Target, hasIdle bool) float64 {
	cost := 0.0
	if !hasIdle {
		cost += newConnectionCost
	}
	if t.DataCentre != r.dataCentre {
		cost += otherDataCentreCost
	}
	if t.ColdRemaining > 0 {
		cost += coldCost
	}
	return cost
}

// rank returns the rendezvous hash of a target for a key.
func rank(key, id string) float64 { return float64(rendezvous.Score(key, id)) }
