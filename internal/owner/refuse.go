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

// refusal is the outcome of a request that this owner does not run. It says
// "not run" only if the request was handed to no other instance, which may have
// run it or may still hold it, and if earlier deliveries of the key were looked
// up or are said not to exist.
func refusal(spec *structs.Call, reason structs.Reason, retryAfter time.Duration, elsewhere, lookedUp bool) structs.Outcome {
	switch {
	case elsewhere:
		out := unknown(reason)
		out.RetryAfter = retryAfter
		return out
	case lookedUp:
		return notRun(reason, retryAfter)
	default:
		return spec.Refusal(reason, retryAfter)
	}
}

// lookedUp tells whether the shard's state shows every earlier delivery of a
// key. A not-repeatable call is taken only while the ownership is proven; see
// verify.
func (s *shard) lookedUp() bool { return s.owned() && !s.logDown() }

// mayHaveRun tells whether "not run" would be a claim that cannot be made.
func (c *call) mayHaveRun() bool { return c.sentRuns > 0 || c.phase == phaseRecovery }

// refuse gives a call up that was not sent: it is dropped for good and all its
// waiters hear so. If its Intent may be in the log, Abandoned follows it, so
// that the next owner need not take it for sent.
func (c *call) refuse(reason structs.Reason, retryAfter time.Duration) {
	if c.phase == phaseEnded {
		return
	}
	if c.sentRuns > 0 {
		out := unknown(reason)
		out.RetryAfter = retryAfter
		c.finish(out, journal.Amount{}, structs.RunEnded{})
		return
	}
	elsewhere := c.mayHaveRun() || c.resubmitted || c.redo || c.prog.passed(c.spec)
	out := refusal(c.spec, reason, retryAfter, elsewhere, c.lookedUp && c.prog.sees(c.notRepeatable))
	c.prog.told(c.spec, out)
	c.abandon()
	c.answer(out)
	c.end()
}

// abandon records that the call's Intent will not be followed by a send.
func (c *call) abandon() {
	if c.intent && c.sentRuns == 0 {
		c.shard.app.push(&journal.Abandoned{Program: c.spec.Program, Run: c.run}, lazy, nil)
		c.intent = false
	}
}

// refuseMessage answers a message that waits for no call.
func (o *Owner) refuseMessage(from structs.InstanceID, msg structs.Message, reason structs.Reason, after time.Duration) {
	switch m := msg.(type) {
	case *structs.Submit:
		o.refuseSubmit(from, m, reason, after)
	case *structs.ProgramRequest:
		o.send(from, &structs.ProgramReply{Request: m.Request, Outcome: notRun(reason, after)})
	}
}

// refuseSubmit refuses a request without having looked its key up.
func (o *Owner) refuseSubmit(from structs.InstanceID, m *structs.Submit, reason structs.Reason, after time.Duration) {
	out := refusal(m.Call, reason, after, m.Resubmitted || m.NextPiece > 0, false)
	o.send(from, &structs.CallEnd{Request: m.Request, Outcome: out})
}

// notOwner tells a gateway to ask elsewhere.
func (o *Owner) notOwner(from structs.InstanceID, msg structs.Message, owner structs.InstanceID) {
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
		return ledgerWait
	default:
		return 0
	}
}

// redeliver takes a held message up again, with the time that is left.
func (o *Owner) redeliver(h *heldMessage) {
	waited := o.now.Sub(h.arrived)
	switch m := h.msg.(type) {
	case *structs.Submit:
		later := *m
		later.Remaining -= waited
		o.onSubmit(h.from, &later)
	case *structs.ProgramRequest:
		later := *m
		later.Remaining -= waited
		o.onProgramRequest(h.from, &later)
	case *structs.BudgetRequest:
		o.onBudgetRequest(h.from, m)
	}
}
