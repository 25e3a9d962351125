package gateway

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxFallbacks limits how many further instances are tried for a shard whose
// first candidate cannot read the log.
const maxFallbacks = 3

// rememberOwner records the instance that answered as the owner of the shard.
// Later requests go to it even if the membership list changes, since no other
// instance may be able to claim the shard. The owner itself hands an idle shard
// over.
func (g *Gateway) rememberOwner(p *pending, from structs.InstanceID, out structs.Outcome) {
	if out.Kind == structs.OutcomeAnswered {
		g.owners[p.shard] = from
	}
}

// tryFallback sends the request to another instance if this one could not claim
// the shard because the log is unavailable: the current owner may be alive and
// serve without the log. The call's key deduplicates it, so nothing runs twice.
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
	g.forwardToFallback(now, p, from)
	return true
}

// forwardToFallback sends the request to the next candidate, or returns the
// first refusal to the caller if none is left.
func (g *Gateway) forwardToFallback(now time.Time, p *pending, from structs.InstanceID) {
	p.fallbacks = append(p.fallbacks, from)
	next := g.nextFallback(p)
	if next == "" {
		g.finish(p, g.fallbackOutcome(p))
		return
	}
	g.forward(now, p, next)
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

// fallbackOutcome returns the first refusal. If another instance may hold the
// request, "not run" is replaced by an unknown outcome.
func (g *Gateway) fallbackOutcome(p *pending) structs.Outcome {
	if len(p.holders) > 0 && p.firstRefusal.Kind == structs.OutcomeNotRun {
		return g.undeliveredOutcome(p, p.firstRefusal.Reason)
	}
	return p.firstRefusal
}
