package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

func notRun(reason structs.Reason, retryAfter time.Duration) structs.Outcome {
	return structs.Outcome{Kind: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

func unknown(reason structs.Reason) structs.Outcome {
	return structs.Outcome{Kind: structs.OutcomeUnknown, Reason: reason}
}

// refusal returns the outcome of a request that this owner does not run. It is
// "not run" only if no other instance may hold or have run the request, and if
// earlier deliveries of the key were looked up or are declared not to exist.
func refusal(spec *structs.Call, reason structs.Reason, retryAfter time.Duration, maybeElsewhere, keyLookedUp bool) structs.Outcome {
	switch {
	case maybeElsewhere:
		out := unknown(reason)
		out.RetryAfter = retryAfter
		return out
	case keyLookedUp:
		return notRun(reason, retryAfter)
	default:
		return spec.Refusal(reason, retryAfter)
	}
}

// hasAllDeliveries reports whether the shard's state includes every earlier
// delivery of a key. Not-repeatable calls are accepted only while ownership is
// verified; see needsVerification.
func (s *shard) hasAllDeliveries() bool { return s.owned() && !s.logDown() }

// mayHaveRun reports whether the call may have run, so that "not run" must not be
// reported.
func (c *call) mayHaveRun() bool { return c.sentRuns > 0 || c.phase == phaseRecovery }

// refuse drops a call that was not sent and reports that to all waiters. If its
// Intent may be in the log, an Abandoned record follows, so that the next owner
// does not assume that the call was sent.
func (c *call) refuse(reason structs.Reason, retryAfter time.Duration) {
	if c.phase == phaseEnded {
		return
	}
	if c.sentRuns > 0 {
		out := unknown(reason)
		out.RetryAfter = retryAfter
		c.recordOutcome(out, journal.Amount{}, structs.RunEnded{})
		return
	}
	maybeElsewhere := c.mayHaveRun() || c.resubmitted || c.rerun || c.prog.wasSkipped(c.spec)
	out := refusal(c.spec, reason, retryAfter, maybeElsewhere, c.keyLookedUp && c.prog.hasAllRuns(c.notRepeatable))
	c.prog.recordUnknown(c.spec, out)
	c.abandon()
	c.sendOutcome(out)
	c.end()
}

// abandon records that no send follows the call's Intent.
func (c *call) abandon() {
	if c.intentAppended && c.sentRuns == 0 {
		c.shard.app.push(&journal.Abandoned{Program: c.spec.Program, Run: c.run}, lazy, nil)
		c.intentAppended = false
	}
}

// refuseMessage refuses a message that has no live call.
func (o *Owner) refuseMessage(from structs.InstanceID, msg structs.Message, reason structs.Reason, after time.Duration) {
	switch m := msg.(type) {
	case *structs.Submit:
		o.refuseSubmit(from, m, reason, after)
	case *structs.ProgramRequest:
		o.send(from, &structs.ProgramReply{Request: m.Request, Outcome: notRun(reason, after)})
	}
}

// refuseSubmit refuses a request without having looked up its key.
func (o *Owner) refuseSubmit(from structs.InstanceID, m *structs.Submit, reason structs.Reason, after time.Duration) {
	out := refusal(m.Call, reason, after, m.Resubmitted || m.NextPiece > 0, false)
	o.send(from, &structs.CallEnd{Request: m.Request, Outcome: out})
}

// sendNotOwner redirects a gateway to another owner.
func (o *Owner) sendNotOwner(from structs.InstanceID, msg structs.Message, owner structs.InstanceID) {
	switch m := msg.(type) {
	case *structs.Submit:
		o.send(from, &structs.NotOwner{Request: m.Request, Owner: owner})
	case *structs.ProgramRequest:
		o.send(from, &structs.NotOwner{Request: m.Request, Owner: owner})
	}
}

func remainingOf(msg structs.Message) time.Duration {
	switch m := msg.(type) {
	case *structs.Submit:
		return m.Remaining
	case *structs.ProgramRequest:
		return m.Remaining
	case *structs.BudgetRequest:
		return ledgerTimeout
	default:
		return 0
	}
}

// redeliver handles a held message with the remaining time.
func (o *Owner) redeliver(h *heldMessage) {
	waited := o.now.Sub(h.arrived)
	switch m := h.msg.(type) {
	case *structs.Submit:
		updated := *m
		updated.Remaining -= waited
		o.onSubmit(h.from, &updated)
	case *structs.ProgramRequest:
		updated := *m
		updated.Remaining -= waited
		o.onProgramRequest(h.from, &updated)
	case *structs.BudgetRequest:
		o.onBudgetRequest(h.from, m)
	}
}
