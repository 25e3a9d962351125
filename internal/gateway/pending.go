package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// pending is a caller's request: a call or an operation on a program.
type pending struct {
	request  structs.RequestID
	shard    structs.ShardRef
	deadline time.Time
	started  time.Time
	// Either call or op is set.
	call *structs.Call
	op   *structs.CallerProgram
	// owner is the instance that was sent the request last, empty while the
	// gateway searches for one.
	owner structs.InstanceID
	// holders are the instances that may have taken the request: they were
	// sent it and have not denied it.
	holders map[structs.InstanceID]bool
	// suspects are the instances that went down while they had the request.
	suspects []structs.InstanceID
	// retryAt is the time of the next search for an owner, backoff the delay
	// before the one after it.
	retryAt time.Time
	backoff time.Duration
	// fallbacks are the instances tried while the log is unavailable, and
	// firstRefusal is the outcome that the first of them returned.
	fallbacks    []structs.InstanceID
	firstRefusal structs.Outcome
	// redirectAt is when a redirect was last followed.
	redirectAt time.Time
	// searchStarted is when the request was received or last lost its owner.
	searchStarted time.Time
	stream        relayState
}

// nextTimer returns the time of the request's next timer.
func (p *pending) nextTimer() time.Time {
	return earliest(p.retryAt, p.deadline.Add(deadlineGrace))
}

// relayState describes the part of a streamed response that was sent to the
// caller. The running hash verifies that the text of a second owner continues
// that of the first.
type relayState struct {
	// run is the run that produced the pieces.
	run    structs.RunID
	pieces int
	bytes  int
	hash   *xxhash.Digest
}

func (r *relayState) add(texts []string) {
	if r.hash == nil {
		r.hash = xxhash.New()
	}
	for _, text := range texts {
		_, _ = r.hash.WriteString(text)
		r.bytes += len(text)
	}
	r.pieces += len(texts)
}

// continues reports whether text starts with what was relayed.
func (r *relayState) continues(text string) bool {
	if r.bytes == 0 {
		return true
	}
	return len(text) >= r.bytes && xxhash.Sum64String(text[:r.bytes]) == r.hash.Sum64()
}

func (g *Gateway) handleSubmit(now time.Time, ev structs.CallerSubmit) {
	p := g.newPending(now, ev.Request, ev.Call.Program, ev.Deadline)
	if p == nil {
		g.emit(structs.ReplyOutcome{Request: ev.Request, Outcome: notRun(structs.ReasonUnknownProgram, 0)})
		return
	}
	p.call = ev.Call
	if p.call.Key == "" {
		// A generated key lets a second owner deduplicate the call.
		p.call.Key = journal.GeneratedKeyPrefix + string(ev.Request)
	}
	g.add(p)
	g.forward(now, p, "")
}

func (g *Gateway) handleProgram(now time.Time, ev structs.CallerProgram) {
	p := g.newPending(now, ev.Request, ev.Program, ev.Deadline)
	if p == nil {
		g.emit(structs.ReplyProgram{Request: ev.Request, Outcome: notRun(structs.ReasonUnknownProgram, 0)})
		return
	}
	p.op = &ev
	g.add(p)
	g.forward(now, p, "")
}

// newPending returns a pending request, or nil if the program id is malformed.
func (g *Gateway) newPending(now time.Time, id structs.RequestID, program structs.ProgramID, deadline time.Time) *pending {
	region, _, err := program.Parse()
	if err != nil {
		return nil
	}
	return &pending{
		request:       id,
		shard:         structs.ShardRef{Region: region, Shard: structs.ShardOf(program, g.cfg.Shards)},
		deadline:      deadline,
		started:       now,
		searchStarted: now,
		backoff:       minRetryDelay,
		holders:       map[structs.InstanceID]bool{},
	}
}

func (g *Gateway) add(p *pending) {
	g.pending[p.request] = p
	g.scheduleTimer(p.nextTimer())
}

// forward sends the request to the preferred instance if one is given, else to
// the one that selectOwner returns. Without either it schedules a retry.
func (g *Gateway) forward(now time.Time, p *pending, prefer structs.InstanceID) {
	p.retryAt = time.Time{}
	owner := prefer
	if owner == "" {
		owner = g.selectOwner(p)
	}
	if owner == "" {
		g.retryLater(now, p)
		return
	}
	p.owner = owner
	p.holders[owner] = true
	g.emit(structs.SendPeer{To: owner, Msg: g.handoverMessage(now, p)})
}

// selectOwner returns the last known owner of the shard if it is usable, else
// the usable instance that ranks highest, or "" if there is none.
func (g *Gateway) selectOwner(p *pending) structs.InstanceID {
	if last, ok := g.owners[p.shard]; ok && g.usable(p, last) {
		return last
	}
	for _, id := range g.members.Ranked(p.shard) {
		if g.usable(p, id) {
			return id
		}
	}
	return ""
}

func (g *Gateway) usable(p *pending, id structs.InstanceID) bool {
	peer, ok := g.members.Peer(id)
	if !ok || peer.Leaving || g.members.Suspected(id) {
		return false
	}
	return !slices.Contains(p.suspects, id)
}

// suspectsOf returns the instances that the receiver of a request may consider
// better owners but that are unreachable from here. Without this list the
// receiver would redirect to such an instance until it detects the failure
// itself, which it may never do.
func (g *Gateway) suspectsOf(p *pending) []structs.InstanceID {
	suspects := slices.Clone(p.suspects)
	for _, id := range g.members.Ranked(p.shard) {
		if g.members.Suspected(id) && !slices.Contains(suspects, id) {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// handoverMessage returns the message that hands the request to an owner.
func (g *Gateway) handoverMessage(now time.Time, p *pending) structs.Message {
	remaining := p.deadline.Sub(now)
	if p.op != nil {
		return &structs.ProgramRequest{
			Request: p.request, Op: p.op.Op, Program: p.op.Program,
			Team: p.op.Team, Remaining: remaining, Suspects: g.suspectsOf(p),
		}
	}
	return &structs.Submit{
		Request: p.request, Call: p.call, Remaining: remaining,
		NextPiece: p.stream.pieces, ReceivedRun: p.stream.run, Suspects: g.suspectsOf(p),
		Resubmitted: p.heldElsewhere(p.owner),
	}
}

// retryLater schedules the next search for an owner, or fails the request once
// maxSearchTime has passed.
func (g *Gateway) retryLater(now time.Time, p *pending) {
	p.owner = ""
	if now.Sub(p.searchStarted) >= maxSearchTime {
		g.finish(p, g.undeliveredOutcome(p, structs.ReasonOwnerUnavailable))
		return
	}
	p.retryAt = now.Add(p.backoff)
	g.scheduleTimer(p.retryAt)
	p.backoff = min(2*p.backoff, maxRetryDelay)
}

func (g *Gateway) runPendingTimer(now time.Time, p *pending) {
	if !now.Before(p.deadline.Add(deadlineGrace)) {
		if p.owner != "" && p.call != nil {
			g.emit(structs.SendPeer{To: p.owner, Msg: &structs.Withdraw{Request: p.request}})
		}
		g.finish(p, g.undeliveredOutcome(p, structs.ReasonDeadline))
		return
	}
	// The suspects may be reachable again: a new search relies on the
	// membership view alone.
	p.suspects = nil
	g.forward(now, p, "")
}

// undeliveredOutcome returns the outcome of a request that no owner completed:
// "not run" only if no instance may hold the request, else unknown.
func (g *Gateway) undeliveredOutcome(p *pending, reason structs.Reason) structs.Outcome {
	if len(p.holders) == 0 && p.call != nil {
		return p.call.Refusal(reason, noOwnerRetryAfter)
	}
	if len(p.holders) == 0 {
		return notRun(reason, noOwnerRetryAfter)
	}
	return structs.Outcome{
		Kind: structs.OutcomeUnknown, Reason: reason, RetryAfter: noOwnerRetryAfter,
		Detail: "The owner of the program did not answer; ask again with the same idempotency key.",
	}
}

func notRun(reason structs.Reason, retryAfter time.Duration) structs.Outcome {
	return structs.Outcome{Kind: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// finish sends the final reply and removes the request.
func (g *Gateway) finish(p *pending, out structs.Outcome) {
	delete(g.pending, p.request)
	if p.op != nil {
		g.emit(structs.ReplyProgram{Request: p.request, Outcome: out})
		return
	}
	g.emit(structs.ReplyOutcome{Request: p.request, Outcome: out})
}

func (g *Gateway) handleCallerDisconnected(id structs.RequestID) {
	p, ok := g.pending[id]
	if !ok {
		delete(g.fanouts, id)
		return
	}
	delete(g.pending, id)
	if p.owner != "" && p.call != nil {
		g.emit(structs.SendPeer{To: p.owner, Msg: &structs.Withdraw{Request: id}})
	}
}

// handlePeerDown hands the requests of a failed instance to another one.
func (g *Gateway) handlePeerDown(now time.Time, peer structs.InstanceID) {
	g.fanoutPeerDown(peer)
	var affected []structs.RequestID
	for id, p := range g.pending {
		if p.owner == peer {
			affected = append(affected, id)
		}
	}
	slices.Sort(affected)
	for _, id := range affected {
		p := g.pending[id]
		if !slices.Contains(p.suspects, peer) {
			p.suspects = append(p.suspects, peer)
		}
		p.searchStarted = now
		p.backoff = minRetryDelay
		g.forward(now, p, "")
	}
}
