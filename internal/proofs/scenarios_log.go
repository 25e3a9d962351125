package proofs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// outageDuration is how long the log is down; longer than every timeout of an
	// instance.
	outageDuration = 8 * time.Second
	// logRetention is the log's retention in the scenario "retention", the minimum
	// that an instance accepts.
	logRetention = 10 * time.Second
)

func logScenarios() []Scenario {
	return []Scenario{
		{Name: "log-outage", Description: "log down under load", Instances: 3, Quick: true, Run: runLogOutage},
		{Name: "log-lossy", Description: "appends lost before and after taking effect, and a slow log", Instances: 3, Budget: typicalBudget, Run: runLogLossy},
		{Name: "lost-reply-owner-dies", Description: "append reply lost, then the owner dies", Instances: 4, Relayed: true, Quick: true, Run: runLostReply},
		{Name: "outage-across-owner-death", Description: "log down before, during and after an owner's death", Instances: 3, Run: runOutageAcrossKill},
		{Name: "owner-cut-from-log", Description: "owner cut off from the log, not from callers", Instances: 3, Relayed: true, Budget: typicalBudget, Run: runOwnerCutFromLog},
		{Name: "retention", Description: "records dropped by the log, then the owner dies", Instances: 3,
			Standins: func(s *cluster.Settings) { s.Log.RetainAge = logRetention },
			Env:      []string{"BANYANGLADE_RETENTION=" + logRetention.String()}, Run: runRetention},
	}
}

// runLogOutage makes the log unavailable under load. Repeatable calls of programs
// with an owner are still served; filings are refused immediately as not run.
func runLogOutage(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	err := r.outageUnderLoad(ctx)
	if err == nil {
		err = r.WaitAnswered(ctx, answersPerFault)
	}
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) outageUnderLoad(ctx context.Context) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
		return err
	}
	if got := a.chat(ctx, 20, false); !got.Outcome.answered() {
		return errors.Newf("before the outage a call got %s %s", got.Outcome, got.Reason)
	}
	r.SetLogFaults(wire.LogFaults{Down: true})
	err = a.callsDuringOutage(ctx)
	r.sleep(ctx, outageDuration)
	r.SetLogFaults(wire.LogFaults{})
	return errors.CombineErrors(err, a.verifyUsable(ctx))
}

// callsDuringOutage makes repeatable calls, which must be served, and a filing,
// which must be refused as not run.
func (a *agent) callsDuringOutage(ctx context.Context) error {
	const calls = 5
	for range calls {
		if got := a.tool(ctx, a.runTime()); !got.Outcome.answered() {
			return errors.Newf("a repeatable call during the outage got %s %s", got.Outcome, got.Reason)
		}
	}
	q := filingRequest(&Call{Program: a.program.ID, Lane: "filings", Key: "outage"}, 1, 10*time.Millisecond)
	a.rig.History.addCall(q.call)
	if got := a.rig.retry(ctx, a.rng, q, 0); got.Outcome != NotRun || got.RetryAfter == 0 {
		return errors.Newf("a filing during the outage got %s %s, retry after %s", got.Outcome, got.Reason, got.RetryAfter)
	}
	return nil
}

func runLogLossy(ctx context.Context, r *Rig) error {
	const count = 6
	l := r.StartLoad(ctx, typicalPrograms, 0)
	for range 2 {
		for _, f := range []wire.LogFaults{
			{DropAppendReplies: count}, {DropAppends: count}, {DropAppendReplies: count, DropAppends: count, DelayMS: 200},
		} {
			if err := r.dropAppends(ctx, f); err != nil {
				return errors.CombineErrors(err, l.Stop())
			}
		}
	}
	r.SetLogFaults(wire.LogFaults{})
	err := r.WaitAnswered(ctx, answersPerFault)
	return errors.CombineErrors(err, l.Stop())
}

// dropAppends sets faults of appends and waits until all of them have occurred.
func (r *Rig) dropAppends(ctx context.Context, f wire.LogFaults) error {
	if err := r.WaitAnswered(ctx, answersPerFault/3); err != nil {
		return err
	}
	r.SetLogFaults(f)
	return r.WaitUntil(ctx, "lost appends", func() bool {
		remaining := r.Log.Faults()
		return remaining.DropAppendReplies == 0 && remaining.DropAppends == 0
	})
}

// runLostReply blocks the log's replies to the owner, waits until the Intent of a
// filing is in the log, and kills the owner. The filing was never sent, but the next
// owner cannot know that.
func runLostReply(ctx context.Context, r *Rig) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	for range 2 {
		owner, err := r.waitOwner(ctx, a.program.ID)
		if err != nil {
			return err
		}
		r.removeEndpoint(owner)
		r.Net.CutLog(owner.ID, false, true)
		done, err := r.submitUntilIntent(ctx, a)
		if err != nil {
			return err
		}
		r.Kill(owner, false)
		<-done
	}
	return a.verifyUsable(ctx)
}

// runOutageAcrossKill kills an owner while the log is down. No instance can claim
// the shard, and a filing is refused as not run until the log recovers.
func runOutageAcrossKill(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms/2, 0)
	err := r.killDuringOutage(ctx)
	if err == nil {
		err = r.WaitAnswered(ctx, answersPerFault)
	}
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) killDuringOutage(ctx context.Context) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	if got := a.tool(ctx, a.runTime()); !got.Outcome.answered() {
		return errors.Newf("before the outage a call got %s %s", got.Outcome, got.Reason)
	}
	owner, err := r.waitOwner(ctx, a.program.ID)
	if err != nil {
		return err
	}
	r.SetLogFaults(wire.LogFaults{Down: true})
	r.sleep(ctx, outageDuration/4)
	r.Kill(owner, false)
	q := filingRequest(&Call{Program: a.program.ID, Lane: "filings", Key: "orphan"}, 1, 10*time.Millisecond)
	r.History.addCall(q.call)
	got := r.retry(ctx, a.rng, q, 0)
	r.sleep(ctx, outageDuration/2)
	r.SetLogFaults(wire.LogFaults{})
	if got.Outcome != NotRun {
		err = errors.Newf("a filing without an owner during the outage got %s %s", got.Outcome, got.Reason)
	}
	_, addErr := r.Add(ctx)
	return errors.CombineErrors(errors.CombineErrors(err, addErr), a.verifyUsable(ctx))
}

// runOwnerCutFromLog cuts an owner off from the log only, first in both directions,
// then for replies only. To the owner this looks like an outage.
func runOwnerCutFromLog(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	for _, outbound := range []bool{true, false} {
		if err := r.cutLogOnce(ctx, l, outbound); err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
	}
	err := r.WaitAnswered(ctx, answersPerFault)
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) cutLogOnce(ctx context.Context, l *Load, outbound bool) error {
	if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
		return err
	}
	owner, err := r.ownerOfLoad(ctx, l)
	if err != nil {
		return err
	}
	r.countFault()
	r.Net.CutLog(owner.ID, outbound, true)
	r.sleep(ctx, outageDuration)
	r.Net.CutLog(owner.ID, false, false)
	return r.WaitAnswered(ctx, answersPerFault)
}

// runRetention waits until the log has dropped the records of a filing, kills the
// owner, and submits the filing again: it must be replayed, not run again.
func runRetention(ctx context.Context, r *Rig) error {
	const programs = 2
	l := r.StartLoad(ctx, programs, 0)
	err := r.submitAcrossRetention(ctx)
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) submitAcrossRetention(ctx context.Context) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	q := filingRequest(a.newCall(), 1, 10*time.Millisecond)
	if got := r.do(ctx, a.rng, q); !got.Outcome.answered() {
		return errors.Newf("the filing got %s %s", got.Outcome, got.Reason)
	}
	for r.intentInLog(a.program.ID, q.call.Key) && ctx.Err() == nil {
		if got := a.tool(ctx, a.runTime()); !got.Outcome.answered() {
			return errors.Newf("a call got %s %s", got.Outcome, got.Reason)
		}
		r.sleep(ctx, time.Second)
	}
	owner := r.reportedOwner(ctx, a.program.ID)
	if owner == nil {
		return errors.New("no instance names the program's owner")
	}
	if err := r.Replace(ctx, owner); err != nil {
		return err
	}
	if got := r.retry(ctx, a.rng, q, retryTimeout); got.Outcome != Replayed {
		return errors.Newf("the filing again got %s %s", got.Outcome, got.Reason)
	}
	return a.verifyUsable(ctx)
}
