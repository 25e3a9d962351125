package gateway

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// pendingOwnedBy finds the request that an owner speaks of; it returns nil for a
// request that has ended or that another owner has by now: a late or crossed
// answer must not reach the caller twice.
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

// handleChunk relays the pieces that the caller lacks. Pieces behind a gap are left
// for the end, which carries the whole text.
func (g *Gateway) handleChunk(from structs.InstanceID, msg *structs.CallChunk) {
	p := g.pendingOwnedBy(from, msg.Request)
	if p == nil || p.call == nil || !p.call.Stream {
		return
	}
	have := p.stream.pieces
	if have > 0 && msg.Run != p.stream.run {
		// Pieces of two runs are never joined.
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
		// Part of the answer reached the caller, so the call did run.
		out.Kind = structs.OutcomeUnknown
	}
	if out.Kind == structs.OutcomeNotRun && p.heldElsewhere(from) {
		// Only the log can tell what an earlier holder did with a call that
		// may run again; the present owner speaks for itself alone.
		out.Kind = structs.OutcomeUnknown
	}
	if p.call.Stream && out.Kind == structs.OutcomeAnswered {
		out = g.relayRemainder(p, out)
	}
	g.finish(p, out)
}

// heldElsewhere tells whether an instance other than the speaker may have
// taken the request.
func (p *pending) heldElsewhere(from structs.InstanceID) bool {
	for id := range p.holders {
		if id != from {
			return true
		}
	}
	return false
}

// relayRemainder sends the caller what it lacks of the whole text. A text that does
// not continue what was sent is never spliced to it.
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

// handleNotOwner takes the speaker's word that it does not have the request and
// looks further.
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
		g.searchFallback(now, p, from)
		return
	}
	if msg.Owner == "" || msg.Owner == from || g.members.Suspected(msg.Owner) {
		g.searchLater(now, p)
		return
	}
	if p.redirectedRecently(now) {
		g.searchLater(now, p)
		return
	}
	g.search(now, p, msg.Owner)
}

// redirectedRecently bounds the redirects that are followed at once: views of the
// membership may differ for a while and send a request in circles.
func (p *pending) redirectedRecently(now time.Time) bool {
	if !p.redirectAt.IsZero() && now.Sub(p.redirectAt) < minRetryDelay {
		return true
	}
	p.redirectAt = now
	return false
}
