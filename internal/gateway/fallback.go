package gateway

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxFallbacks bounds the further instances that are asked for a shard whose
// first candidate cannot read the log.
const maxFallbacks = 3

// rememberOwner notes who owns a shard by the answers it gives, so that a change of
// the membership list does not take a program from its living owner while
// nobody can claim the shard. The owner itself hands an idle shard over.
func (g *Gateway) rememberOwner(p *pending, from structs.InstanceID, out structs.Outcome) {
	if out.Kind == structs.OutcomeAnswered {
		g.owners[p.shard] = from
	}
}

// tryFallback asks another instance if this one could not claim the shard for
// want of the log: the shard's owner may be alive and serve without the log.
// A second owner recognises the call by its key, so nothing is run twice.
func (g *Gateway) tryFallback(now time.Time, p *pending, from structs.InstanceID, out structs.Outcome) bool {
	if out.Reason != structs.ReasonLogUnavailable || p.stream.pieces > 0 {
		return false
	}
	if len(p.fallbacks) == 0 {
		p.firstRefusal = out
	}
	if out.Kind == structs.OutcomeNotRun {
		delete(p.holders, from)
	}
	g.searchFallback(now, p, from)
	return true
}

// searchFallback asks the next candidate, or gives the first refusal to the caller.
func (g *Gateway) searchFallback(now time.Time, p *pending, from structs.InstanceID) {
	p.fallbacks = append(p.fallbacks, from)
	next := g.nextFallback(p)
	if next == "" {
		g.finish(p, g.fallbackOutcome(p))
		return
	}
	g.search(now, p, next)
}

func (g *Gateway) nextFallback(p *pending) structs.InstanceID {
	if len(p.fallbacks) > maxFallbacks {
		return ""
	}
	for _, id := range g.members.Ranked(p.shard) {
		if g.usable(p, id) && !slices.Contains(p.fallbacks, id) {
			return id
		}
	}
	return ""
}

// fallbackOutcome keeps the rule that "not run" needs the word of every holder.
func (g *Gateway) fallbackOutcome(p *pending) structs.Outcome {
	if len(p.holders) > 0 && p.firstRefusal.Kind == structs.OutcomeNotRun {
		return g.undeliveredOutcome(p, p.firstRefusal.Reason)
	}
	return p.firstRefusal
}
