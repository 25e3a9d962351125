package targets

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/rendezvous"
)

// Criteria says what kind of target a request needs.
type Criteria struct {
	Service string
	// Key is what a target may have kept: the program of a turn, or the object
	// of a plain request; empty if any target is as good as another.
	Key string
	// LastIncarnation names the start of the target that ran the key's last request, empty
	// if unknown.
	LastIncarnation string
	// Sticky tells that whoever sends the key's next request will know the
	// target of this one, so that it may be chosen freely.
	Sticky bool
	// Stream tells that an engine's batch runs the request, with a prompt of
	// PromptTokens.
	Stream       bool
	PromptTokens int
	// Exclude lists the starts of targets that were tried before.
	Exclude []string
	// Explanation is filled with what spoke for the choice, unless it is nil.
	Explanation *Explanation
}

const (
	// keyedFill is how busy a target may be, in parts of its slots, for a
	// request to go to the one that its key ranks first. Above 1 the request
	// waits there, which costs less than reading a program's whole prompt
	// elsewhere, and elsewhere it also takes room in the cache: in an overload
	// programs that move push each other's prompts out.
	keyedFill = 1.6
	// nearFill is how busy a target of this data centre may be, in parts of its
	// slots, for a program to begin there: it has room for the program's
	// sub-agents. Prompts sent to other data centres are priced by the byte. All
	// targets of the data centre together must usually be less busy, too: what an
	// instance knows of a single one is mostly old, and a data centre with more
	// callers than its targets can serve would keep them all.
	nearFill = 0.6
	// otherDataCentre is what a target in another data centre must be less
	// busy, in parts of its slots, to be chosen over one here.
	otherDataCentre = 0.15
	// coldCost is added for a target that is still slow after its start.
	coldCost = 0.5
	// openingCost is added for a target to which a connection has to be opened,
	// in parts of its slots.
	openingCost = 0.3
)

// Pick chooses a target and counts a request there; the caller calls End when
// it has ended. It returns nil if the service has no target to try.
func (r *Registry) Pick(want Criteria, now time.Time) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of(want.Service)
	candidates, keyed := r.candidates(s, want)
	chosen := r.choose(candidates, keyed, want, now, false)
	anyKeyed := func(int) bool { return true }
	if chosen == nil && len(candidates) < len(s.all) {
		chosen = r.choose(s.all, anyKeyed, want, now, false)
	}
	if chosen == nil {
		// Each target failed lately: trying one is better than none.
		chosen = r.choose(s.all, anyKeyed, want, now, true)
	}
	if chosen != nil {
		chosen.inFlight++
		s.use(chosen)
	}
	return chosen
}

// PickIncarnation counts a request at one start of a target, nil if it has ended.
func (r *Registry) PickIncarnation(incarnation string) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byIncarnation[incarnation]
	if t != nil {
		t.inFlight++
		r.of(t.Service).use(t)
	}
	return t
}

// choose chooses among the targets of a service:
//   - the one that ran the key's last request, since it has the prompt;
//   - for a key that begins, or whose target is gone or full, one nearby;
//   - the one that the key ranks first, which all instances find without asking;
//   - the least busy one, preferably one to which a connection is kept.
//
// Where targets tell their pace the expected ends decide. The function keyed tells of
// a position whether the key may rank the target there.
func (r *Registry) choose(
	all []*Target, keyed func(i int) bool, want Criteria, now time.Time, includeAvoided bool,
) *Target {
	if w := r.works[want.Service]; w != nil {
		return r.chooseByEnd(w, r.of(want.Service).all, want, now, includeAvoided)
	}
	var last, near, ranked, least best
	beginsNear := want.Sticky && r.nearLoads[want.Service] < nearFill
	// Instances with the same view must not all choose the same target.
	start := rand.IntN(len(all) + 1)
	sampled := len(all) < len(r.of(want.Service).all)
	for i := range all {
		at := (start + i) % len(all)
		t := all[at]
		if t.Draining || slices.Contains(want.Exclude, t.incarnation) {
			continue
		}
		if !includeAvoided && t.avoided(now) {
			continue
		}
		fill := t.busy(now) / float64(max(t.Slots, 1))
		kept := r.connections.HasIdle(t.Address, now)
		least.offer(t, -fill-r.distance(t, kept))
		if want.Key == "" || fill >= keyedFill {
			continue
		}
		rank := rank(want.Key, t.ID)
		if keyed(at) {
			ranked.offer(t, rank)
		}
		if beginsNear && t.DataCentre == r.dataCentre && fill < nearFill {
			if sampled && kept {
				// Among thousands of targets hardly any other program's connection
				// or prompt would be met again.
				rank += keptRank
			}
			near.offer(t, rank)
		}
		if t.incarnation == want.LastIncarnation {
			last.offer(t, 1)
		}
	}
	for _, b := range []best{last, near, ranked, least} {
		if b.target != nil {
			return b.target
		}
	}
	return nil
}

// nearLoadWeight is the part that one report has in the usual load of the targets
// of this data centre: some tens of reports, a few seconds of an instance's work.
const nearLoadWeight = 1.0 / 16

// noteNearLoad takes a report into the usual load of the targets of this data
// centre. The mutex is held.
func (r *Registry) noteNearLoad(t *Target, load call.Load) {
	fill := float64(load.Running+load.Waiting) / float64(max(t.Slots, 1))
	r.nearLoads[t.Service] += nearLoadWeight * (fill - r.nearLoads[t.Service])
}

// keptRank sets targets to which a connection is kept before all others.
const keptRank = math.MaxUint64

// best is the target with the highest score so far.
type best struct {
	target *Target
	score  float64
}

// offer takes a target if its score is higher than those before.
func (b *best) offer(t *Target, score float64) {
	if b.target == nil || score > b.score {
		b.target, b.score = t, score
	}
}

// distance is what speaks against a target besides its load.
func (r *Registry) distance(t *Target, kept bool) float64 {
	cost := 0.0
	if !kept {
		cost += openingCost
	}
	if t.DataCentre != r.dataCentre {
		cost += otherDataCentre
	}
	if t.ColdRemaining > 0 {
		cost += coldCost
	}
	return cost
}

// rank orders targets for a key by rendezvous hashing.
func rank(key, id string) float64 { return float64(rendezvous.Score(key, id)) }
