package gateway

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// pendingOwnedBy returns the pending request with the given id if from is its
// current owner. It returns nil for a request that has ended or moved to another
// owner, so that a late reply never reaches the caller.
func (g *Gateway) pendingOwnedBy(from structs.InstanceID, id structs.RequestID) *pending {
	p, ok := g.pending[id]
	if !ok || p.owner != from {
		return nil
	}
	return p
}

func (g *Gateway) handleAccepted(from structs.InstanceID, id structs.RequestID) {
	if p := g.pendingOwnedBy(from, id); p != nil {
		p.backoff = minRetryDelay
	}
}

// handleChunk relays the pieces that the caller has not received. Pieces after
// a gap are dropped: the final outcome carries the whole text.
func (g *Gateway) handleChunk(from structs.InstanceID, msg *structs.CallChunk) {
	p := g.pendingOwnedBy(from, msg.Request)
	if p == nil || p.call == nil || !p.call.Stream {
		return
	}
	have := p.stream.pieces
	if have > 0 && msg.Run != p.stream.run {
		// Never join pieces of two runs.
		return
	}
	if msg.Chunk.First > have || msg.Chunk.Next() <= have {
		return
	}
	c := structs.Chunk{
		First:     have,
		Texts:     msg.Chunk.Texts[have-msg.Chunk.First:],
		ToolCalls: msg.Chunk.ToolCalls,
	}
	p.stream.run = msg.Run
	p.stream.add(c.Texts)
	g.emit(structs.ReplyChunk{Request: p.request, Chunk: c})
}

func (g *Gateway) handleCallEnd(now time.Time, from structs.InstanceID, msg *structs.CallEnd) {
	p := g.pendingOwnedBy(from, msg.Request)
	if p == nil || p.call == nil {
		return
	}
	if g.tryFallback(now, p, from, msg.Outcome) {
		return
	}
	g.rememberOwner(p, from, msg.Outcome)
	out := msg.Outcome
	if out.Kind == structs.OutcomeNotRun && p.stream.pieces > 0 {
		// Part of the text reached the caller, so the call did run.
		out.Kind = structs.OutcomeUnknown
	}
	if out.Kind == structs.OutcomeNotRun && p.heldElsewhere(from) {
		// An earlier holder may have run the call; the reply of the current
		// owner covers only itself.
		out.Kind = structs.OutcomeUnknown
	}
	if p.call.Stream && out.Kind == structs.OutcomeAnswered {
		out = g.relayRemainder(p, out)
	}
	g.finish(p, out)
}

// heldElsewhere reports whether an instance other than from may have taken
// the request.
func (p *pending) heldElsewhere(from structs.InstanceID) bool {
	for id := range p.holders {
		if id != from {
			return true
		}
	}
	return false
}

// relayRemainder sends the caller the part of the whole text that it has not
// received. If the text does not start with what was sent, the outcome becomes
// unknown.
func (g *Gateway) relayRemainder(p *pending, out structs.Outcome) structs.Outcome {
	if !p.stream.continues(out.Text) {
		return structs.Outcome{
			Kind: structs.OutcomeUnknown, Reason: structs.ReasonOwnerLost,
			Detail: "The answer was cut; ask again with the same idempotency key for the whole one.",
		}
	}
	if rest := out.Text[p.stream.bytes:]; rest != "" {
		c := structs.Chunk{First: p.stream.pieces, Texts: []string{rest}}
		p.stream.add(c.Texts)
		g.emit(structs.ReplyChunk{Request: p.request, Chunk: c})
	}
	return out
}

func (g *Gateway) handleProgramReply(from structs.InstanceID, msg *structs.ProgramReply) {
	p := g.pendingOwnedBy(from, msg.Request)
	if p == nil || p.op == nil {
		return
	}
	delete(g.pending, p.request)
	g.emit(structs.ReplyProgram{Request: p.request, Outcome: msg.Outcome, Info: msg.Info})
}

// handleNotOwner records that from did not take the request and searches for
// another owner, following the redirect if there is one.
func (g *Gateway) handleNotOwner(now time.Time, from structs.InstanceID, msg *structs.NotOwner) {
	p := g.pendingOwnedBy(from, msg.Request)
	if p == nil {
		return
	}
	delete(p.holders, from)
	if g.owners[p.shard] == from {
		delete(g.owners, p.shard)
	}
	if len(p.fallbacks) > 0 {
		g.forwardToFallback(now, p, from)
		return
	}
	if msg.Owner == "" || msg.Owner == from || g.members.Suspected(msg.Owner) {
		g.retryLater(now, p)
		return
	}
	if p.redirectedRecently(now) {
		g.retryLater(now, p)
		return
	}
	g.forward(now, p, msg.Owner)
}

// redirectedRecently reports whether a redirect was followed within
// minRetryDelay, and records this one if not. It prevents redirect loops while
// instances have different membership views.
func (p *pending) redirectedRecently(now time.Time) bool {
	if !p.redirectAt.IsZero() && now.Sub(p.redirectAt) < minRetryDelay {
		return true
	}
	p.redirectAt = now
	return false
}
