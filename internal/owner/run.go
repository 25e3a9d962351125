package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// writeIntent makes the Intent of a not-repeatable call durable. A permit is
// requested only once it is committed, so that a later owner knows of every send.
func (c *call) writeIntent() {
	if !c.holdTeamBudgets() {
		return
	}
	p := c.prog
	need := c.worstCase()
	if !need.LessOrEqual(p.available()) {
		c.refuseBudget()
		return
	}
	if c.shard.logDown() {
		c.refuse(structs.ReasonLogUnavailable, logRetryAfter)
		return
	}
	c.run = c.shard.o.newRun()
	c.phase, c.intentAppended, c.hold = phaseIntent, true, need
	p.pending = p.pending.Add(need)
	count, digest := c.history()
	intent := &journal.Intent{
		CallID: c.journalID(), Service: c.spec.Service, Hold: need, HistoryCount: count, HistoryDigest: digest,
	}
	c.shard.app.push(intent, urgent, func() {
		// The durable state holds the worst case from here on.
		p.pending = p.pending.Sub(need)
		c.keyLookedUp = true
		if c.phase == phaseIntent {
			c.awaitPermit()
		}
	})
}

// sendOrConfirm runs the call at the granted target. A not-repeatable call is
// sent at once only if ownership was verified so recently that a newer owner
// still waits. Other calls are sent at once if ownership was verified since the
// last pause. Otherwise the log must confirm ownership first.
func (c *call) sendOrConfirm() {
	c.shard.o.timers.stop(c.timer)
	if c.shard.verifiedRecently() || !c.notRepeatable && c.shard.verifiedSincePause() {
		c.startRun(true)
		return
	}
	c.phase = phaseConfirm
	c.timer = c.shard.o.after(confirmTimeout, c.onConfirmTimeout)
	confirmed := func() {
		if c.phase == phaseConfirm {
			c.shard.o.timers.stop(c.timer)
			c.startRun(!c.notRepeatable)
		}
	}
	if !c.notRepeatable {
		c.shard.verifyOwnership(func(bool) { confirmed() })
		return
	}
	c.shard.app.push(c.startedRecord(), urgent, confirmed)
}

// onConfirmTimeout is called when the log does not respond. A repeatable call
// continues without it.
func (c *call) onConfirmTimeout() {
	c.shard.o.timers.stop(c.timer)
	if c.notRepeatable {
		c.refuse(structs.ReasonLogUnavailable, logRetryAfter)
		return
	}
	c.startRun(true)
}

func (c *call) startedRecord() *journal.Started {
	return &journal.Started{
		CallID: c.journalID(), Service: c.spec.Service, Target: c.target.ID,
		NotRepeatable: c.notRepeatable, Cache: c.service.Kind == structs.ServiceEngine,
	}
}

// startRun emits the only StartRun of a run.
func (c *call) startRun(record bool) {
	o := c.shard.o
	c.phase = phaseRunning
	c.sentRuns++
	if record && (c.notRepeatable || c.spec.Kind == structs.CallChat) {
		c.shard.app.push(c.startedRecord(), urgency(c.spec.Stream), nil)
	}
	o.emit(structs.StartRun{
		Run: c.run, Target: c.target, Call: c.spec, Fencing: uint64(c.shard.epoch),
		Timeout: c.runTimeout(), NotAfter: o.now.Add(o.cfg.SendWindow),
	})
	c.startRunTimer()
}

// runTimeout limits a run. A not-repeatable call may outlive its caller's
// deadline, so that a retry receives its outcome.
func (c *call) runTimeout() time.Duration {
	if c.notRepeatable && c.service.Timeout > 0 {
		return c.service.Timeout
	}
	left := c.deadline().Sub(c.shard.o.now)
	if c.service.Timeout > 0 {
		return min(left, c.service.Timeout)
	}
	return left
}

// resumeOpenRun attaches to the run that a previous owner of the shard started,
// if the journal names it. Delivered pieces are never followed by pieces of
// another run. It reports whether the call needs no new run.
func (c *call) resumeOpenRun() bool {
	if c.notRepeatable {
		return false
	}
	hadDelivered := c.delivered()
	target, ok := c.resumeTarget()
	c.dropMismatchedWaiters()
	if hadDelivered && len(c.waiters) == 0 {
		// The cost is charged to the previous owner's chunk.
		c.run = ""
		c.recordOutcome(unknown(structs.ReasonTargetFailed), journal.Amount{}, structs.RunEnded{})
		return true
	}
	if !ok {
		return false
	}
	c.target, c.phase, c.inherited = target, phaseRunning, true
	c.sentRuns++
	c.joinPool()
	c.requestPermit()
	c.resumeRun()
	return true
}

// resumeTarget returns the target that runs the call for a previous owner.
func (c *call) resumeTarget() (structs.Target, bool) {
	run := c.openRun()
	if run == nil || !c.spec.Stream || c.spec.Kind != structs.CallChat {
		return structs.Target{}, false
	}
	target, ok := c.shard.o.findTarget(run.Service, run.Target)
	if ok {
		c.run = run.Run
	}
	return target, ok
}

// runEndGrace is how long after its timeout the end of a run is awaited.
const runEndGrace = 5 * time.Second

// startRunTimer ends a run whose end is never reported, so that its lane is not
// blocked.
func (c *call) startRunTimer() {
	o, run := c.shard.o, c.run
	o.timers.stop(c.timer)
	c.timer = o.after(c.runTimeout()+runEndGrace, func() {
		o.onRunEnded(structs.RunEnded{Run: run, Target: c.target.ID, Failure: structs.RunTimeout})
	})
}

func (c *call) resumeRun() {
	c.resumes++
	c.startRunTimer()
	c.shard.o.emit(structs.ResumeRun{
		Run: c.run, Target: c.target, From: len(c.pieces), Timeout: c.runTimeout(),
	})
}

// openRun returns the started run of the call's key whose end is unknown.
func (c *call) openRun() *journal.OpenRun {
	row := c.prog.row()
	if row == nil {
		return nil
	}
	for _, run := range row.OpenRuns() {
		if run.Key == c.key && !run.NotRepeatable && run.Target != "" {
			return run
		}
	}
	return nil
}

// delivered reports whether a gateway has received pieces of the response.
func (c *call) delivered() bool {
	return slices.ContainsFunc(c.waiters, func(w *waiter) bool { return w.nextPiece > 0 })
}

func (o *Owner) findTarget(service structs.ServiceName, id structs.TargetID) (structs.Target, bool) {
	for _, t := range o.members.Targets(service) {
		if t.ID == id {
			return t, true
		}
	}
	return structs.Target{}, false
}

// onRunChunk appends new pieces in order. Known pieces are skipped, and a chunk
// behind a gap is dropped, since the complete response includes it.
func (o *Owner) onRunChunk(e structs.RunChunk) {
	c := o.runs[e.Run]
	if c == nil || c.phase != phaseRunning || e.Chunk.First > len(c.pieces) {
		return
	}
	if known := len(c.pieces) - e.Chunk.First; known < len(e.Chunk.Texts) {
		c.pieces = append(c.pieces, e.Chunk.Texts[known:]...)
	}
	for _, w := range c.waiters {
		c.forward(w)
	}
}

func (o *Owner) onRunEnded(e structs.RunEnded) {
	c := o.runs[e.Run]
	if c == nil || c.phase != phaseRunning {
		return
	}
	if e.Failure == structs.RunBroken && c.canResume() {
		c.resumeRun()
		return
	}
	c.finishPermit(e)
	switch e.Failure {
	case structs.RunOK:
		c.onRunSucceeded(e)
	case structs.RunNotSent, structs.RunFenced:
		c.onRunNotSent(e)
	default:
		c.onRunFailed(e)
	}
}

func (c *call) canResume() bool {
	return c.spec.Stream && c.spec.Kind == structs.CallChat && c.cancelReason == "" &&
		c.resumes < maxResumes && len(c.pieces) > 0
}

func (c *call) onRunSucceeded(e structs.RunEnded) {
	out := e.Outcome
	out.Kind = structs.OutcomeAnswered
	if len(c.pieces) > 0 && c.resumes > 0 {
		// A resumed run reports only what followed the resume.
		out.Text = strings.Join(c.pieces, "")
	}
	c.recordOutcome(out, c.actualCost(out), e)
}

// actualCost returns the cost of a response, or the worst case if the target did
// not report its usage.
func (c *call) actualCost(out structs.Outcome) journal.Amount {
	cost := c.worstCase()
	if used := out.Usage.Tokens(); used > 0 {
		cost.Tokens = used
	}
	return cost
}

// onRunNotSent is called when the target definitely did not receive the request.
// If a resume was not sent, the run itself may have succeeded.
func (c *call) onRunNotSent(e structs.RunEnded) {
	if c.resumes > 0 {
		c.onRunFailed(e)
		return
	}
	c.sentRuns--
	if c.cancelReason != "" {
		c.refuse(c.cancelReason, 0)
		return
	}
	if c.attempt < c.prog.policy().Retries && c.shard.owned() && e.Failure != structs.RunFenced {
		c.prepareRetry(e.Target)
		c.awaitPermit()
		return
	}
	c.refuse(structs.ReasonNoTarget, busyRetryAfter)
}

// prepareRetry prepares the call for another permit. The Intent of a
// not-repeatable call covers one send, which has not happened, so its run id
// stays.
func (c *call) prepareRetry(avoid structs.TargetID) {
	c.attempt++
	if avoid != "" {
		c.avoid = append(c.avoid, avoid)
	}
	if !c.notRepeatable {
		c.run = ""
	}
}

// onRunFailed is called when the request may have run and its response is lost.
func (c *call) onRunFailed(e structs.RunEnded) {
	retry := !c.notRepeatable && c.cancelReason == "" && e.Failure != structs.RunTimeout &&
		!c.delivered() && c.attempt < c.prog.policy().Retries && c.shard.owned()
	if retry {
		if !c.inherited {
			c.chargeFailedRun()
		}
		c.pieces, c.resumes, c.inherited = nil, 0, false
		c.prepareRetry(e.Target)
		c.reserveCost()
		return
	}
	reason := structs.ReasonTargetFailed
	if c.cancelReason != "" {
		reason = c.cancelReason
	} else if e.Failure == structs.RunTimeout {
		reason = structs.ReasonDeadline
	}
	if c.notRepeatable && c.service.AskByKey && e.Failure != structs.RunCancelled {
		c.queryTarget(reason, e)
		return
	}
	c.recordOutcome(unknown(reason), c.worstCase(), e)
}

// queryTarget queries the target for the outcome of a failed run.
func (c *call) queryTarget(reason structs.Reason, e structs.RunEnded) {
	c.phase = phaseQuerying
	c.shard.o.queryOutcome(c.run, c.spec.Program, c.spec.Key, []structs.Target{c.target}, func(found bool, out structs.Outcome) {
		if !found {
			c.recordOutcome(unknown(reason), c.worstCase(), e)
			return
		}
		out.Kind = structs.OutcomeAnswered
		c.recordOutcome(out, c.actualCost(out), e)
	})
}

// cancel cancels the run of a call.
func (c *call) cancel(reason structs.Reason) {
	if c.phase != phaseRunning || c.cancelReason != "" {
		return
	}
	c.cancelReason = reason
	c.shard.o.emit(structs.CancelRun{Run: c.run, Target: c.target})
}

// recordOutcome records the outcome of a call that was or may have been sent. The
// record of a not-repeatable call is committed before the response is sent,
// unless the log is unavailable: an outage does not delay responses.
func (c *call) recordOutcome(out structs.Outcome, cost journal.Amount, e structs.RunEnded) {
	o := c.shard.o
	if c.run == "" {
		c.run = o.newRun()
	}
	count, digest := c.history()
	done := &journal.Done{
		CallID: c.journalID(), Service: c.spec.Service, Target: c.target.ID, NotRepeatable: c.notRepeatable,
		Chunk: c.heldFromChunk, Cost: cost.Add(c.failedCost), Outcome: out, CacheTokens: c.cacheTokens(out), TookNS: int64(e.Took),
		HistoryCount: count, HistoryDigest: digest,
	}
	if !c.notRepeatable || c.shard.logDown() || len(c.waiters) == 0 {
		c.shard.app.push(done, c.shard.o.appendUrgency(), nil)
		c.sendOutcome(out)
		c.end()
		return
	}
	c.phase, c.outcome = phaseRecording, out
	end := func() {
		if c.phase == phaseRecording {
			c.sendOutcome(c.outcome)
			c.end()
		}
	}
	c.timer = o.after(confirmTimeout, end)
	c.shard.app.push(done, urgent, end)
}

// cacheTokens estimates the prefix length that the target caches after the call.
func (c *call) cacheTokens(out structs.Outcome) int64 {
	if c.service.Kind != structs.ServiceEngine || out.Kind != structs.OutcomeAnswered {
		return 0
	}
	return out.Usage.Tokens()
}
