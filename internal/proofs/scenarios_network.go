package proofs

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/wire"
)

func networkScenarios() []Scenario {
	return []Scenario{
		{Name: "peers-cut", Description: "an owner cut off from the other instances, both ways and one way", Instances: 4, Relayed: true, Budget: typicalBudget, Run: runPeersCut},
		{Name: "members-lag", Description: "membership that lags and is down while instances die", Instances: 4, Budget: typicalBudget, Run: runMembersLag},
	}
}

func runPeersCut(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	for _, c := range []blocked{{out: true, in: true}, {out: true}, {in: true}} {
		if err := r.cutPeerOnce(ctx, l, c); err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
	}
	err := r.WaitAnswered(ctx, answersPerFault)
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) cutPeerOnce(ctx context.Context, l *Load, direction blocked) error {
	if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
		return err
	}
	owner, err := r.ownerOfLoad(ctx, l)
	if err != nil {
		return err
	}
	r.countFault()
	r.Net.CutPeer(owner.ID, direction.out, direction.in)
	r.sleep(ctx, longPause)
	r.Net.CutPeer(owner.ID, false, false)
	return nil
}

func runMembersLag(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	err := r.killsUnderLag(ctx, l)
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) killsUnderLag(ctx context.Context, l *Load) error {
	const lagMS = 4000
	for _, faults := range []wire.MemberFaults{{LagMS: lagMS}, {Down: true}} {
		if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
			return err
		}
		owner, err := r.ownerOfLoad(ctx, l)
		if err != nil {
			return err
		}
		r.SetMemberFaults(faults)
		r.Kill(owner, false)
		if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
			return err
		}
	}
	r.SetMemberFaults(wire.MemberFaults{})
	if _, err := r.Add(ctx); err != nil {
		return err
	}
	return r.WaitAnswered(ctx, answersPerFault)
}
