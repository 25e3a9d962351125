package owner

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// phase tells what a live call waits for.
type phase string

// Phases of a call.
const (
	// phaseQueued: its turn in the lane.
	phaseQueued phase = "queued"
	// phaseRecovery: what became of a run of an earlier owner.
	phaseRecovery phase = "recovery"
	// phaseReserve: a budget reservation to count.
	phaseReserve phase = "reserve"
	// phaseIntent: its Intent to count.
	phaseIntent phase = "intent"
	// phasePermit: a permit of the dispatcher.
	phasePermit phase = "permit"
	// phaseConfirm: proof from the log that the shard is still owned.
	phaseConfirm phase = "confirm"
	// phaseProving: proof from the log that its refusal is right.
	phaseProving phase = "proving"
	// phaseRunning: the end of its run.
	phaseRunning phase = "running"
	// phaseAsking: the target's word on a broken run.
	phaseAsking phase = "asking"
	// phaseRecording: its outcome to count.
	phaseRecording phase = "recording"
	// phaseEnded: nothing.
	phaseEnded phase = "ended"
)

// call is the row of a live call.
type call struct {
	shard *shard
	prog  *program
	spec  *structs.Call
	// key is the idempotency key, or one made of the request id.
	key           string
	notRepeatable bool
	lane          *lane
	phase         phase
	arrived       time.Time
	waiters       []*waiter
	// redo tells that the key's last run has an unknown outcome.
	redo bool
	// lookedUp tells that earlier deliveries of the key would be known.
	lookedUp bool
	// resubmitted tells that an earlier owner may have run the call.
	resubmitted bool

	run structs.RunID
	// permit is the name of the permit at the dispatcher, the run's but for a
	// further permit of the same run.
	permit  structs.RunID
	service structs.Service
	attempt int
	avoid   []structs.TargetID
	target  structs.Target
	// sentRuns counts the runs that may have reached a target.
	sentRuns int
	// intent tells that an Intent may be in the log.
	intent bool
	// hold is the worst case of the cost, taken from the budget; chunk
	// tells that it is taken from the reserved chunk.
	hold  journal.Amount
	chunk bool
	// burned is the worst case of runs that broke before this one.
	burned journal.Amount
	burns  int
	// teams are the team paths whose budgets hold teamHold, for that many
	// runs.
	teams    []structs.Team
	teamHold journal.Amount
	teamRuns int
	// pieces are the pieces of the answer received so far.
	pieces  []string
	resumes int
	// foreign tells that an earlier owner started the run.
	foreign bool
	// cancelled tells that the run was told to stop, and why.
	cancelled structs.Reason
	// queuedAt tells that the dispatcher has the permit request.
	queuedAt bool
	pool     *pool
	timer    *timer
	linger   *timer
	// outcome waits in phaseRecording.
	outcome structs.Outcome
}

// waiter is a gateway that waits for a call's outcome.
type waiter struct {
	request structs.RequestID
	from    structs.InstanceID
	// next is the first piece that the gateway lacks; run made those before.
	next     int
	run      structs.RunID
	deadline time.Time
	timer    *timer
	// detached tells that the connection to the gateway broke.
	detached bool
}

// id gives the journal's name of the call.
func (c *call) id() journal.CallID {
	return journal.CallID{
		Program: c.spec.Program, Team: c.prog.team, Single: c.spec.Single, Lane: c.spec.Lane,
		Number: c.spec.Number, Key: c.key, Digest: c.spec.Digest, Run: c.run,
	}
}

// attach adds a gateway that waits for the call.
func (c *call) attach(from structs.InstanceID, m *structs.Submit) {
	o := c.shard.o
	c.resubmitted = c.resubmitted || m.Resubmitted || m.NextPiece > 0
	w := &waiter{request: m.Request, from: from, next: m.NextPiece, run: m.ReceivedRun, deadline: o.now.Add(m.Remaining)}
	w.timer = o.after(max(0, m.Remaining-answerMargin), func() { c.onDeadline(w) })
	c.waiters = append(c.waiters, w)
	o.requests[m.Request] = c
	o.timers.stop(c.linger)
	if c.started() {
		c.dropStrangers()
	}
	c.forward(w)
}

// started tells whether the run of the call's answer is fixed.
func (c *call) started() bool {
	return c.phase == phaseRunning || c.phase == phaseAsking || c.phase == phaseRecording
}

// dropStrangers answers the gateways that have pieces of another run: what they
// passed on cannot be made whole.
func (c *call) dropStrangers() {
	for _, w := range slices.Clone(c.waiters) {
		if w.next == 0 || w.run == c.run {
			continue
		}
		c.removeWaiter(w)
		c.shard.o.send(w.from, &structs.CallEnd{Request: w.request, Outcome: unknown(structs.ReasonTargetFailed)})
	}
}

// reattach takes a repeated Submit of a request that is waiting already.
func (c *call) reattach(from structs.InstanceID, m *structs.Submit) {
	c.resubmitted = c.resubmitted || m.Resubmitted || m.NextPiece > 0
	for _, w := range c.waiters {
		if w.request == m.Request {
			w.from, w.next, w.run, w.detached = from, m.NextPiece, m.ReceivedRun, false
			c.shard.o.timers.stop(c.linger)
			if c.started() {
				c.dropStrangers()
			}
			c.forward(w)
			return
		}
	}
}

// forward sends a waiter the pieces that it lacks.
func (c *call) forward(w *waiter) {
	if !c.spec.Stream || w.next >= len(c.pieces) {
		return
	}
	chunk := structs.Chunk{First: w.next, Texts: slices.Clone(c.pieces[w.next:])}
	w.next, w.run = chunk.Next(), c.run
	c.shard.o.send(w.from, &structs.CallChunk{Request: w.request, Run: c.run, Chunk: chunk})
}

// deadline is the latest time by which some gateway needs the outcome.
func (c *call) deadline() time.Time {
	var last time.Time
	for _, w := range c.waiters {
		if w.deadline.After(last) {
			last = w.deadline
		}
	}
	return last
}

// answer gives every waiter the outcome.
func (c *call) answer(out structs.Outcome) {
	for _, w := range c.takeWaiters() {
		c.shard.o.send(w.from, &structs.CallEnd{Request: w.request, Run: c.run, Outcome: out})
	}
}

func (c *call) takeWaiters() []*waiter {
	list := c.waiters
	c.waiters = nil
	for _, w := range list {
		c.forget(w)
	}
	return list
}

func (c *call) forget(w *waiter) {
	c.shard.o.timers.stop(w.timer)
	delete(c.shard.o.requests, w.request)
}

// removeWaiter takes one waiter off.
func (c *call) removeWaiter(w *waiter) {
	if i := slices.Index(c.waiters, w); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
	}
	c.forget(w)
}

// onDeadline answers a waiter whose time is up. While others wait the call may
// still run, so "not run" is said only to the last one.
func (c *call) onDeadline(w *waiter) {
	if len(c.waiters) == 1 && !c.mayHaveRun() {
		c.refuse(structs.ReasonDeadline, 0)
		return
	}
	c.removeWaiter(w)
	c.shard.o.send(w.from, &structs.CallEnd{Request: w.request, Outcome: unknown(structs.ReasonDeadline)})
	if len(c.waiters) == 0 {
		c.deserted(structs.ReasonDeadline)
	}
}

// deserted runs when no gateway waits any more.
func (c *call) deserted(reason structs.Reason) {
	switch c.phase {
	case phaseRunning:
		// A not-repeatable run goes on: its outcome is kept for a retry.
		if !c.notRepeatable {
			c.cancel(reason)
		}
	case phaseAsking, phaseRecording, phaseEnded:
	default:
		c.refuse(reason, 0)
	}
}

func (o *Owner) onWithdraw(m *structs.Withdraw) {
	for _, s := range o.sortedShards() {
		s.withdrawHeld(m.Request)
	}
	c := o.requests[m.Request]
	if c == nil {
		return
	}
	for _, w := range c.waiters {
		if w.request == m.Request {
			c.removeWaiter(w)
			break
		}
	}
	c.lingerIfDeserted()
}

func (s *shard) withdrawHeld(request structs.RequestID) {
	s.held = slices.DeleteFunc(s.held, func(h *heldMessage) bool {
		m, ok := h.msg.(*structs.Submit)
		if !ok || m.Request != request {
			return false
		}
		s.o.timers.stop(h.deadline)
		return true
	})
}

// lingerIfDeserted gives a caller a short time to come back at another gateway
// before its call is given up. What was not sent is given up at once.
func (c *call) lingerIfDeserted() {
	for _, w := range c.waiters {
		if !w.detached {
			return
		}
	}
	if len(c.waiters) == 0 && !c.mayHaveRun() {
		c.deserted(structs.ReasonCancelled)
		return
	}
	o := c.shard.o
	o.timers.stop(c.linger)
	c.linger = o.after(lingerTime, func() {
		for _, w := range slices.Clone(c.waiters) {
			c.removeWaiter(w)
		}
		c.deserted(structs.ReasonCancelled)
	})
}
