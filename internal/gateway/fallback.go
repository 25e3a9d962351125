package gateway

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxFallbacks bounds the further instances that are asked for a shard whose
// first candidate cannot read the log.
const maxFallbacks = 3

// remember notes who owns a shard by the answers it gives, so that a change of
// the membership list does not take a program from its living owner while
// nobody can claim the shard. The owner itself hands an idle shard over.
func (g *Gateway) remember(p *pending, from structs.InstanceID, out structs.Outcome) {
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
	if len(p.refused) == 0 {
		p.refusal = out
	}
	if out.Kind == structs.OutcomeNotRun {
		delete(p.holders, from)
	}
	g.fallback(now, p, from)
	return true
}

// fallback asks the next candidate, or gives the first refusal to the caller.
func (g *Gateway) fallback(now time.Time, p *pending, from structs.InstanceID) {
	p.refused = append(p.refused, from)
	next := g.nextFallback(p)
	if next == "" {
		g.finish(p, g.refusalOf(p))
		return
	}
	g.search(now, p, next)
}

func (g *Gateway) nextFallback(p *pending) structs.InstanceID {
	if len(p.refused) > maxFallbacks {
		return ""
	}
	for _, id := range g.members.Ranked(p.shard) {
		if g.usable(p, id) && !slices.Contains(p.refused, id) {
			return id
		}
	}
	return ""
}

// refusalOf keeps the rule that "not run" needs the word of every holder.
func (g *Gateway) refusalOf(p *pending) structs.Outcome {
	if len(p.holders) > 0 && p.refusal.Kind == structs.OutcomeNotRun {
		return g.giveUp(p, p.refusal.Reason)
	}
	return p.refusal
}
