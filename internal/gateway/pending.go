package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// pending is one caller's request: a call, or an operation on a program.
type pending struct {
	request  structs.RequestID
	shard    structs.ShardRef
	deadline time.Time
	started  time.Time
	// call is the call, nil for an operation on a program.
	call *structs.Call
	op   *structs.CallerProgram
	// owner is the instance that has the request now, empty while the
	// gateway looks for one.
	owner structs.InstanceID
	// holders are the instances that may have taken the request: they were
	// sent it and did not say otherwise.
	holders map[structs.InstanceID]bool
	// suspects are the instances lost while they had the request.
	suspects []structs.InstanceID
	// retryAt is when to look for an owner again, backoff the time between.
	retryAt time.Time
	backoff time.Duration
	// refused are the instances asked in a search for a living owner while
	// the log is down, and refusal what the first of them answered.
	refused []structs.InstanceID
	refusal structs.Outcome
	// redirectAt is when a redirect was last followed.
	redirectAt time.Time
	// searching is when the gateway last lost its owner.
	searching time.Time
	stream    relay
}

// wake gives the request's next timer.
func (p *pending) wake() time.Time {
	return earliest(p.retryAt, p.deadline.Add(endGrace))
}

// relay is what of a streamed answer went to the caller. The running hash
// proves that a second owner's text continues the first one's.
type relay struct {
	// run is the run that made the pieces.
	run    structs.RunID
	pieces int
	bytes  int
	hash   *xxhash.Digest
}

func (r *relay) add(texts []string) {
	if r.hash == nil {
		r.hash = xxhash.New()
	}
	for _, text := range texts {
		_, _ = r.hash.WriteString(text)
		r.bytes += len(text)
	}
	r.pieces += len(texts)
}

// continues tells whether text begins with what was relayed.
func (r *relay) continues(text string) bool {
	if r.bytes == 0 {
		return true
	}
	return len(text) >= r.bytes && xxhash.Sum64String(text[:r.bytes]) == r.hash.Sum64()
}

func (g *Gateway) submit(now time.Time, ev structs.CallerSubmit) {
	p := g.newPending(now, ev.Request, ev.Call.Program, ev.Deadline)
	if p == nil {
		g.emit(structs.ReplyOutcome{Request: ev.Request, Outcome: notRun(structs.ReasonUnknownProgram, 0)})
		return
	}
	p.call = ev.Call
	if p.call.Key == "" {
		// A key of its own lets a second owner recognise the call.
		p.call.Key = journal.GeneratedKeyPrefix + string(ev.Request)
	}
	g.hold(p)
	g.search(now, p, "")
}

func (g *Gateway) programRequest(now time.Time, ev structs.CallerProgram) {
	p := g.newPending(now, ev.Request, ev.Program, ev.Deadline)
	if p == nil {
		g.emit(structs.ReplyProgram{Request: ev.Request, Outcome: notRun(structs.ReasonUnknownProgram, 0)})
		return
	}
	p.op = &ev
	g.hold(p)
	g.search(now, p, "")
}

// newPending returns nil if the program id is malformed.
func (g *Gateway) newPending(now time.Time, id structs.RequestID, program structs.ProgramID, deadline time.Time) *pending {
	region, _, err := program.Parse()
	if err != nil {
		return nil
	}
	return &pending{
		request:   id,
		shard:     structs.ShardRef{Region: region, Shard: structs.ShardOf(program, g.cfg.Shards)},
		deadline:  deadline,
		started:   now,
		searching: now,
		backoff:   retryMin,
		holders:   map[structs.InstanceID]bool{},
	}
}

func (g *Gateway) hold(p *pending) {
	g.pending[p.request] = p
	g.wakeAt(p.wake())
}

// search sends the request to the preferred instance, or to the best that the
// view knows, or waits.
func (g *Gateway) search(now time.Time, p *pending, prefer structs.InstanceID) {
	p.retryAt = time.Time{}
	owner := prefer
	if owner == "" {
		owner = g.pick(p)
	}
	if owner == "" {
		g.searchLater(now, p)
		return
	}
	p.owner = owner
	p.holders[owner] = true
	g.emit(structs.SendPeer{To: owner, Msg: g.handover(now, p)})
}

// pick gives the instance that took a request of the shard last, or else the
// best that is not suspected.
func (g *Gateway) pick(p *pending) structs.InstanceID {
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

// suspectsOf lists the instances that the receiver of a request would name as
// better owners but that this instance finds unreachable. Without them the
// receiver answers with such an instance until it notices the loss itself, which
// it may never do: it does not wait for that instance.
func (g *Gateway) suspectsOf(p *pending) []structs.InstanceID {
	suspects := slices.Clone(p.suspects)
	for _, id := range g.members.Ranked(p.shard) {
		if g.members.Suspected(id) && !slices.Contains(suspects, id) {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// handover is the message that hands the request to an owner.
func (g *Gateway) handover(now time.Time, p *pending) structs.Message {
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

// searchLater sets the timer of the next search, or gives up for good.
func (g *Gateway) searchLater(now time.Time, p *pending) {
	p.owner = ""
	if now.Sub(p.searching) >= searchLimit {
		g.finish(p, g.giveUp(p, structs.ReasonOwnerUnavailable))
		return
	}
	p.retryAt = now.Add(p.backoff)
	g.wakeAt(p.retryAt)
	p.backoff = min(2*p.backoff, retryMax)
}

func (g *Gateway) pendingTimer(now time.Time, p *pending) {
	if !now.Before(p.deadline.Add(endGrace)) {
		if p.owner != "" && p.call != nil {
			g.emit(structs.SendPeer{To: p.owner, Msg: &structs.Withdraw{Request: p.request}})
		}
		g.finish(p, g.giveUp(p, structs.ReasonDeadline))
		return
	}
	// The suspects may answer again by now: a search that found nobody
	// starts from the view alone.
	p.suspects = nil
	g.search(now, p, "")
}

// giveUp is the gateway's own final word. "Not run" needs that no instance may
// hold the request.
func (g *Gateway) giveUp(p *pending, reason structs.Reason) structs.Outcome {
	if len(p.holders) == 0 && p.call != nil {
		return p.call.Refusal(reason, retryAfterSearch)
	}
	if len(p.holders) == 0 {
		return notRun(reason, retryAfterSearch)
	}
	return structs.Outcome{
		Kind: structs.OutcomeUnknown, Reason: reason, RetryAfter: retryAfterSearch,
		Detail: "The owner of the program did not answer; ask again with the same idempotency key.",
	}
}

func notRun(reason structs.Reason, after time.Duration) structs.Outcome {
	return structs.Outcome{Kind: structs.OutcomeNotRun, Reason: reason, RetryAfter: after}
}

// finish answers the caller and forgets the request.
func (g *Gateway) finish(p *pending, out structs.Outcome) {
	delete(g.pending, p.request)
	if p.op != nil {
		g.emit(structs.ReplyProgram{Request: p.request, Outcome: out})
		return
	}
	g.emit(structs.ReplyOutcome{Request: p.request, Outcome: out})
}

func (g *Gateway) callerGone(id structs.RequestID) {
	p, ok := g.pending[id]
	if !ok {
		delete(g.gathers, id)
		return
	}
	delete(g.pending, id)
	if p.owner != "" && p.call != nil {
		g.emit(structs.SendPeer{To: p.owner, Msg: &structs.Withdraw{Request: id}})
	}
}

// peerDown hands the requests of a lost instance to the next one.
func (g *Gateway) peerDown(now time.Time, peer structs.InstanceID) {
	g.gatherPeerDown(peer)
	var lost []structs.RequestID
	for id, p := range g.pending {
		if p.owner == peer {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		p := g.pending[id]
		if !slices.Contains(p.suspects, peer) {
			p.suspects = append(p.suspects, peer)
		}
		p.searching = now
		p.backoff = retryMin
		g.search(now, p, "")
	}
}
