package owner

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// phase is what a live call waits for.
type phase string

const (
	// phaseQueued waits for its turn in the lane.
	phaseQueued phase = "queued"
	// phaseRecovery waits for the outcome of a previous owner's run.
	phaseRecovery phase = "recovery"
	// phaseReserve waits for a budget reservation to commit.
	phaseReserve phase = "reserve"
	// phaseIntent waits for its Intent to commit.
	phaseIntent phase = "intent"
	// phasePermit waits for a permit from the dispatcher.
	phasePermit phase = "permit"
	// phaseConfirm waits for the log to confirm that the shard is still owned.
	phaseConfirm phase = "confirm"
	// phaseVerifying waits for the log to confirm the state that its refusal is
	// based on.
	phaseVerifying phase = "proving"
	// phaseRunning waits for the end of its run.
	phaseRunning phase = "running"
	// phaseQuerying waits for the target to report the outcome of a failed run.
	phaseQuerying phase = "asking"
	// phaseRecording waits for its outcome to commit.
	phaseRecording phase = "recording"
	// phaseEnded is final.
	phaseEnded phase = "ended"
)

// call is the state of a live call.
type call struct {
	shard *shard
	prog  *program
	spec  *structs.Call
	// key is the idempotency key, or one derived from the request id.
	key           string
	notRepeatable bool
	lane          *lane
	phase         phase
	arrived       time.Time
	waiters       []*waiter
	// rerun indicates that the key's last run has an unknown outcome.
	rerun bool
	// keyLookedUp indicates that earlier deliveries of the key would be known.
	keyLookedUp bool
	// resubmitted indicates that a previous owner may have run the call.
	resubmitted bool

	run structs.RunID
	// permit identifies the permit at the dispatcher. It equals run, except for a
	// further permit of the same run.
	permit  structs.RunID
	service structs.Service
	attempt int
	avoid   []structs.TargetID
	target  structs.Target
	// sentRuns counts the runs that may have reached a target.
	sentRuns int
	// intentAppended indicates that an Intent may be in the log.
	intentAppended bool
	// hold is the worst-case cost taken from the budget. heldFromChunk indicates
	// that it is taken from the reserved chunk.
	hold          journal.Amount
	heldFromChunk bool
	// failedCost is the worst-case cost of the failedRuns earlier runs.
	failedCost journal.Amount
	failedRuns int
	// heldTeams are the team paths whose budgets hold teamHold, for teamRuns
	// runs.
	heldTeams []structs.Team
	teamHold  journal.Amount
	teamRuns  int
	// pieces are the pieces of the response received so far.
	pieces  []string
	resumes int
	// inherited indicates that a previous owner started the run.
	inherited bool
	// cancelReason is why the run was cancelled, empty if it was not.
	cancelReason structs.Reason
	// permitQueued indicates that the dispatcher has the permit request.
	permitQueued bool
	pool         *pool
	timer        *timer
	lingerTimer  *timer
	// outcome is the outcome being recorded in phaseRecording.
	outcome structs.Outcome
}

// waiter is a gateway that waits for a call's outcome.
type waiter struct {
	request structs.RequestID
	from    structs.InstanceID
	// nextPiece is the index of the first piece that the gateway lacks. run
	// produced the pieces before it.
	nextPiece int
	run       structs.RunID
	deadline  time.Time
	timer     *timer
	// detached indicates that the connection to the gateway is broken.
	detached bool
}

// journalID returns the identity of the call in journal records.
func (c *call) journalID() journal.CallID {
	return journal.CallID{
		Program: c.spec.Program, Team: c.prog.team, Single: c.spec.Single, Lane: c.spec.Lane,
		Number: c.spec.Number, Key: c.key, Digest: c.spec.Digest, Run: c.run,
	}
}

// attach adds a gateway that waits for the call.
func (c *call) attach(from structs.InstanceID, m *structs.Submit) {
	o := c.shard.o
	c.resubmitted = c.resubmitted || m.Resubmitted || m.NextPiece > 0
	w := &waiter{request: m.Request, from: from, nextPiece: m.NextPiece, run: m.ReceivedRun, deadline: o.now.Add(m.Remaining)}
	w.timer = o.after(max(0, m.Remaining-responseMargin), func() { c.onDeadline(w) })
	c.waiters = append(c.waiters, w)
	o.requests[m.Request] = c
	o.timers.stop(c.lingerTimer)
	if c.started() {
		c.dropMismatchedWaiters()
	}
	c.forward(w)
}

// started reports whether the run that produces the response is fixed.
func (c *call) started() bool {
	return c.phase == phaseRunning || c.phase == phaseQuerying || c.phase == phaseRecording
}

// dropMismatchedWaiters ends the waiters that received pieces of another run,
// since their response cannot be completed.
func (c *call) dropMismatchedWaiters() {
	for _, w := range slices.Clone(c.waiters) {
		if w.nextPiece == 0 || w.run == c.run {
			continue
		}
		c.removeWaiter(w)
		c.shard.o.send(w.from, &structs.CallEnd{Request: w.request, Outcome: unknown(structs.ReasonTargetFailed)})
	}
}

// reattach handles a repeated Submit of a request that already waits.
func (c *call) reattach(from structs.InstanceID, m *structs.Submit) {
	c.resubmitted = c.resubmitted || m.Resubmitted || m.NextPiece > 0
	for _, w := range c.waiters {
		if w.request == m.Request {
			w.from, w.nextPiece, w.run, w.detached = from, m.NextPiece, m.ReceivedRun, false
			c.shard.o.timers.stop(c.lingerTimer)
			if c.started() {
				c.dropMismatchedWaiters()
			}
			c.forward(w)
			return
		}
	}
}

// forward sends a waiter the pieces that it lacks.
func (c *call) forward(w *waiter) {
	if !c.spec.Stream || w.nextPiece >= len(c.pieces) {
		return
	}
	chunk := structs.Chunk{First: w.nextPiece, Texts: slices.Clone(c.pieces[w.nextPiece:])}
	w.nextPiece, w.run = chunk.Next(), c.run
	c.shard.o.send(w.from, &structs.CallChunk{Request: w.request, Run: c.run, Chunk: chunk})
}

// deadline returns the latest deadline of all waiters.
func (c *call) deadline() time.Time {
	var last time.Time
	for _, w := range c.waiters {
		if w.deadline.After(last) {
			last = w.deadline
		}
	}
	return last
}

// sendOutcome sends the outcome to all waiters.
func (c *call) sendOutcome(out structs.Outcome) {
	for _, w := range c.takeWaiters() {
		c.shard.o.send(w.from, &structs.CallEnd{Request: w.request, Run: c.run, Outcome: out})
	}
}

func (c *call) takeWaiters() []*waiter {
	list := c.waiters
	c.waiters = nil
	for _, w := range list {
		c.unregisterWaiter(w)
	}
	return list
}

func (c *call) unregisterWaiter(w *waiter) {
	c.shard.o.timers.stop(w.timer)
	delete(c.shard.o.requests, w.request)
}

func (c *call) removeWaiter(w *waiter) {
	if i := slices.Index(c.waiters, w); i >= 0 {
		c.waiters = slices.Delete(c.waiters, i, i+1)
	}
	c.unregisterWaiter(w)
}

// onDeadline ends a waiter whose deadline has passed. The call may still run for
// other waiters, so only the last one receives "not run".
func (c *call) onDeadline(w *waiter) {
	if len(c.waiters) == 1 && !c.mayHaveRun() {
		c.refuse(structs.ReasonDeadline, 0)
		return
	}
	c.removeWaiter(w)
	c.shard.o.send(w.from, &structs.CallEnd{Request: w.request, Outcome: unknown(structs.ReasonDeadline)})
	if len(c.waiters) == 0 {
		c.onNoWaiters(structs.ReasonDeadline)
	}
}

// onNoWaiters is called when the last waiter has left.
func (c *call) onNoWaiters(reason structs.Reason) {
	switch c.phase {
	case phaseRunning:
		// A not-repeatable run continues, and its outcome is stored for a retry.
		if !c.notRepeatable {
			c.cancel(reason)
		}
	case phaseQuerying, phaseRecording, phaseEnded:
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
	c.lingerIfDetached()
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

// lingerIfDetached gives a caller a short time to reconnect through another
// gateway before its call is abandoned. A call that was not sent is abandoned at
// once.
func (c *call) lingerIfDetached() {
	for _, w := range c.waiters {
		if !w.detached {
			return
		}
	}
	if len(c.waiters) == 0 && !c.mayHaveRun() {
		c.onNoWaiters(structs.ReasonCancelled)
		return
	}
	o := c.shard.o
	o.timers.stop(c.lingerTimer)
	c.lingerTimer = o.after(lingerTimeout, func() {
		for _, w := range slices.Clone(c.waiters) {
			c.removeWaiter(w)
		}
		c.onNoWaiters(structs.ReasonCancelled)
	})
}
