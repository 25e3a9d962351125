package proofs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// outage is how long the log is down. Outages of minutes differ in
	// length only: every timeout of an instance is shorter than this one.
	outage = 8 * time.Second
	// retention is how long the log keeps records in the scenario about it, the
	// least that an instance takes.
	retention = 10 * time.Second
)

func logScenarios() []Scenario {
	return []Scenario{
		{Name: "log-outage", Description: "log down under load", Instances: 3, Quick: true, Run: runLogOutage},
		{Name: "log-lossy", Description: "appends lost before and after taking effect, and a slow log", Instances: 3, Budget: usualBudget, Run: runLogLossy},
		{Name: "lost-reply-owner-dies", Description: "append reply lost, then the owner dies", Instances: 4, Relayed: true, Quick: true, Run: runLostReply},
		{Name: "outage-across-owner-death", Description: "log down before, during and after an owner's death", Instances: 3, Run: runOutageAcrossDeath},
		{Name: "owner-cut-from-log", Description: "owner cut off from the log, not from callers", Instances: 3, Relayed: true, Budget: usualBudget, Run: runOwnerCutFromLog},
		{Name: "retention", Description: "records dropped by the log, then the owner dies", Instances: 3,
			Standins: func(s *cluster.Settings) { s.Log.RetainAge = retention },
			Env:      []string{"BANYANGLADE_RETENTION=" + retention.String()}, Run: runRetention},
	}
}

// runLogOutage takes the log away under load. Repeatable calls of programs that
// have an owner go on; filings are refused at once as not run.
func runLogOutage(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	err := r.outageUnderLoad(ctx)
	if err == nil {
		err = r.UntilAnswered(ctx, someAnswers)
	}
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) outageUnderLoad(ctx context.Context) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	if err := r.UntilAnswered(ctx, someAnswers); err != nil {
		return err
	}
	if got := a.chat(ctx, 20, false); !got.Word.whole() {
		return errors.Newf("before the outage a call got %s %s", got.Word, got.Reason)
	}
	r.SetLog(wire.LogFaults{Down: true})
	err = a.throughOutage(ctx)
	r.hold(ctx, outage)
	r.SetLog(wire.LogFaults{})
	return errors.CombineErrors(err, a.goOn(ctx))
}

// throughOutage makes repeatable calls, which must be served, and a filing,
// which must be refused as not run.
func (a *agent) throughOutage(ctx context.Context) error {
	const calls = 5
	for range calls {
		if got := a.tool(ctx, a.runTime()); !got.Word.whole() {
			return errors.Newf("a repeatable call during the outage got %s %s", got.Word, got.Reason)
		}
	}
	q := filingRequest(&Call{Program: a.program.ID, Lane: "filings", Key: "outage"}, 1, 10*time.Millisecond)
	a.rig.History.addCall(q.call)
	if got := a.rig.retry(ctx, a.rng, q, 0); got.Word != NotRun || got.RetryAfter == 0 {
		return errors.Newf("a filing during the outage got %s %s, retry after %s", got.Word, got.Reason, got.RetryAfter)
	}
	return nil
}

func runLogLossy(ctx context.Context, r *Rig) error {
	const count = 6
	l := r.StartLoad(ctx, usualPrograms, 0)
	for range 2 {
		for _, f := range []wire.LogFaults{
			{DropAppendReplies: count}, {DropAppends: count}, {DropAppendReplies: count, DropAppends: count, DelayMS: 200},
		} {
			if err := r.lossyOnce(ctx, f); err != nil {
				return errors.CombineErrors(err, l.Finish())
			}
		}
	}
	r.SetLog(wire.LogFaults{})
	err := r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

// lossyOnce sets the faults and waits until they are used up.
func (r *Rig) lossyOnce(ctx context.Context, f wire.LogFaults) error {
	if err := r.UntilAnswered(ctx, someAnswers/3); err != nil {
		return err
	}
	r.SetLog(f)
	return r.Until(ctx, "lost appends", func() bool {
		left := r.Log.Faults()
		return left.DropAppendReplies == 0 && left.DropAppends == 0
	})
}

// runLostReply holds the log's words to the owner back, waits until the Intent
// of a filing is in the log, and kills the owner: the filing was never sent, and
// the next owner cannot know that.
func runLostReply(ctx context.Context, r *Rig) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	for range 2 {
		owner, err := r.untilOwned(ctx, a.program.ID)
		if err != nil {
			return err
		}
		r.closeDoor(owner)
		r.Net.CutLog(owner.ID, false, true)
		done, err := r.fileUntilIntent(ctx, a)
		if err != nil {
			return err
		}
		r.Kill(owner, false)
		<-done
	}
	return a.goOn(ctx)
}

// runOutageAcrossDeath kills an owner while the log is down. Nobody can claim
// the shard: a filing is refused as not run until the log is back.
func runOutageAcrossDeath(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms/2, 0)
	err := r.deathInOutage(ctx)
	if err == nil {
		err = r.UntilAnswered(ctx, someAnswers)
	}
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) deathInOutage(ctx context.Context) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	if got := a.tool(ctx, a.runTime()); !got.Word.whole() {
		return errors.Newf("before the outage a call got %s %s", got.Word, got.Reason)
	}
	owner, err := r.untilOwned(ctx, a.program.ID)
	if err != nil {
		return err
	}
	r.SetLog(wire.LogFaults{Down: true})
	r.hold(ctx, outage/4)
	r.Kill(owner, false)
	q := filingRequest(&Call{Program: a.program.ID, Lane: "filings", Key: "orphan"}, 1, 10*time.Millisecond)
	r.History.addCall(q.call)
	got := r.retry(ctx, a.rng, q, 0)
	r.hold(ctx, outage/2)
	r.SetLog(wire.LogFaults{})
	if got.Word != NotRun {
		err = errors.Newf("a filing without an owner during the outage got %s %s", got.Word, got.Reason)
	}
	_, added := r.Add(ctx)
	return errors.CombineErrors(errors.CombineErrors(err, added), a.goOn(ctx))
}

// runOwnerCutFromLog cuts an owner off from the log only, once both ways and
// once one way. It cannot tell this from an outage.
func runOwnerCutFromLog(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	for _, towards := range []bool{true, false} {
		if err := r.cutLogOnce(ctx, l, towards); err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
	}
	err := r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) cutLogOnce(ctx context.Context, l *Load, towards bool) error {
	if err := r.UntilAnswered(ctx, someAnswers); err != nil {
		return err
	}
	owner, err := r.ownerOfLoad(ctx, l)
	if err != nil {
		return err
	}
	r.fault()
	r.Net.CutLog(owner.ID, towards, true)
	r.hold(ctx, outage)
	r.Net.CutLog(owner.ID, false, false)
	return r.UntilAnswered(ctx, someAnswers)
}

// runRetention lets the log drop the records of a filing, kills the owner, and
// submits the filing again: it is known and is not run again.
func runRetention(ctx context.Context, r *Rig) error {
	const programs = 2
	l := r.StartLoad(ctx, programs, 0)
	err := r.fileAcrossRetention(ctx)
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) fileAcrossRetention(ctx context.Context) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	q := filingRequest(a.newCall(), 1, 10*time.Millisecond)
	if got := r.do(ctx, a.rng, q); !got.Word.whole() {
		return errors.Newf("the filing got %s %s", got.Word, got.Reason)
	}
	for r.intentInLog(a.program.ID, q.call.Key) && ctx.Err() == nil {
		if got := a.tool(ctx, a.runTime()); !got.Word.whole() {
			return errors.Newf("a call got %s %s", got.Word, got.Reason)
		}
		r.hold(ctx, time.Second)
	}
	owner := r.ownerSaid(ctx, a.program.ID)
	if owner == nil {
		return errors.New("no instance names the program's owner")
	}
	if err := r.Replace(ctx, owner); err != nil {
		return err
	}
	if got := r.retry(ctx, a.rng, q, patience); got.Word != Replayed {
		return errors.Newf("the filing again got %s %s", got.Word, got.Reason)
	}
	return a.goOn(ctx)
}
