package proofs

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/wire"
)

func networkScenarios() []Scenario {
	return []Scenario{
		{Name: "peers-cut", Description: "an owner cut off from the other instances, both ways and one way", Instances: 4, Relayed: true, Budget: usualBudget, Run: runPeersCut},
		{Name: "members-lag", Description: "membership that lags and is down while instances die", Instances: 4, Budget: usualBudget, Run: runMembersLag},
	}
}

func runPeersCut(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	for _, c := range []cut{{out: true, in: true}, {out: true}, {in: true}} {
		if err := r.cutPeerOnce(ctx, l, c); err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
	}
	err := r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) cutPeerOnce(ctx context.Context, l *Load, c cut) error {
	if err := r.UntilAnswered(ctx, someAnswers); err != nil {
		return err
	}
	owner, err := r.ownerOfLoad(ctx, l)
	if err != nil {
		return err
	}
	r.fault()
	r.Net.CutPeer(owner.ID, c.out, c.in)
	r.hold(ctx, longPause)
	r.Net.CutPeer(owner.ID, false, false)
	return nil
}

func runMembersLag(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	err := r.killsUnderLag(ctx, l)
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) killsUnderLag(ctx context.Context, l *Load) error {
	const lagMS = 4000
	for _, faults := range []wire.MemberFaults{{LagMS: lagMS}, {Down: true}} {
		if err := r.UntilAnswered(ctx, someAnswers); err != nil {
			return err
		}
		owner, err := r.ownerOfLoad(ctx, l)
		if err != nil {
			return err
		}
		r.SetMembers(faults)
		r.Kill(owner, false)
		if err := r.UntilAnswered(ctx, someAnswers); err != nil {
			return err
		}
	}
	r.SetMembers(wire.MemberFaults{})
	if _, err := r.Add(ctx); err != nil {
		return err
	}
	return r.UntilAnswered(ctx, someAnswers)
}
