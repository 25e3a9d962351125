package proofs

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func targetScenarios() []Scenario {
	return []Scenario{
		{Name: "target-faults", Description: "targets that hang, are slow, fail and drop replies", Instances: 3, Budget: typicalBudget, Run: runTargetFaults},
		{Name: "target-leaving", Description: "leaving targets under load, with a lagging membership", Instances: 3, Run: runTargetLeaving},
		{Name: "late-answer", Description: "an answer that arrives after its call was given up", Instances: 3, Quick: true, Run: runLateAnswer},
	}
}

// targetsOf returns the targets of a service, ordered by ID.
func (r *Rig) targetsOf(service string) []string {
	var ids []string
	for _, id := range slices.Concat(slices.Collect(maps.Keys(r.Engines)), slices.Collect(maps.Keys(r.Services))) {
		if strings.Contains(id, "-"+service+"-") {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

var everyService = []string{testkit.ModelService, testkit.ToolService, testkit.FilingService}

func runTargetFaults(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	for round, faults := range []wire.ServiceFaults{
		{DropReplies: 4}, {FailNext: 4}, {Hang: true}, {Slow: 20}, {DropReplies: 4, Slow: 5},
	} {
		if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
		for _, service := range everyService {
			targets := r.targetsOf(service)
			r.SetTargetFaults(targets[round%len(targets)], faults)
		}
		if faults.Hang {
			r.sleep(ctx, attemptDeadline/2)
		}
		err := r.WaitAnswered(ctx, answersPerFault/2)
		for _, service := range everyService {
			targets := r.targetsOf(service)
			r.SetTargetFaults(targets[round%len(targets)], wire.ServiceFaults{})
		}
		if err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
	}
	err := r.WaitAnswered(ctx, answersPerFault)
	return errors.CombineErrors(err, l.Stop())
}

// leavingGrace is the grace period of a leaving target. It covers the lag of the
// membership list, the interval between two reads of it, and some slack.
const leavingGrace = 4 * time.Second

func runTargetLeaving(ctx context.Context, r *Rig) error {
	const lagMS = 500
	r.SetMemberFaults(wire.MemberFaults{LagMS: lagMS})
	l := r.StartLoad(ctx, typicalPrograms, 0)
	for i := range 2 {
		if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
		for _, service := range everyService {
			r.MarkLeaving(r.targetsOf(service)[i], leavingGrace)
		}
		r.sleep(ctx, leavingGrace)
	}
	err := r.WaitAnswered(ctx, 2*answersPerFault)
	return errors.CombineErrors(err, l.Stop())
}

// runLateAnswer makes calls whose deadline passes while they run. Their late answers
// must be returned only to retries with the same key.
func runLateAnswer(ctx context.Context, r *Rig) error {
	const runTime, deadline = 5 * time.Second, 2 * time.Second
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	filing := filingRequest(a.newCall(), 1, runTime)
	tool := toolRequest(&Call{Program: a.program.ID, Lane: "late", Number: 1, Key: "late"}, runTime)
	for _, q := range []request{filing, tool} {
		r.History.addCall(q.call)
		q.deadline = deadline
		if got := r.retry(ctx, a.rng, q, 0); got.Outcome != Unknown {
			return errors.Newf("a call past its deadline got %s %s", got.Outcome, got.Reason)
		}
	}
	if got := a.chat(ctx, 20, true); !got.Outcome.answered() {
		return errors.Newf("the next call got %s %s", got.Outcome, got.Reason)
	}
	if got := r.retry(ctx, a.rng, filing, retryTimeout); !got.Outcome.answered() && got.Outcome != Unknown {
		return errors.Newf("the filing again got %s %s", got.Outcome, got.Reason)
	}
	if got := r.retry(ctx, a.rng, tool, retryTimeout); !got.Outcome.answered() {
		return errors.Newf("the retried repeatable call got %s %s", got.Outcome, got.Reason)
	}
	return a.verifyUsable(ctx)
}
