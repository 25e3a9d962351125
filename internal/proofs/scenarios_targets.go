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
		{Name: "target-faults", Description: "targets that hang, are slow, fail and drop replies", Instances: 3, Budget: usualBudget, Run: runTargetFaults},
		{Name: "target-leaving", Description: "leaving targets under load, with a lagging membership", Instances: 3, Run: runTargetLeaving},
		{Name: "late-answer", Description: "an answer that arrives after its call was given up", Instances: 3, Quick: true, Run: runLateAnswer},
	}
}

// targetsOf lists the targets of a service in order of name.
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
	l := r.StartLoad(ctx, usualPrograms, 0)
	for round, faults := range []wire.ServiceFaults{
		{DropReplies: 4}, {FailNext: 4}, {Hang: true}, {Slow: 20}, {DropReplies: 4, Slow: 5},
	} {
		if err := r.UntilAnswered(ctx, someAnswers); err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
		for _, service := range everyService {
			targets := r.targetsOf(service)
			r.SetTarget(targets[round%len(targets)], faults)
		}
		if faults.Hang {
			r.hold(ctx, attemptDeadline/2)
		}
		err := r.UntilAnswered(ctx, someAnswers/2)
		for _, service := range everyService {
			targets := r.targetsOf(service)
			r.SetTarget(targets[round%len(targets)], wire.ServiceFaults{})
		}
		if err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
	}
	err := r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

// leavingWithin is the time after which a leaving target may get nothing: the
// lag of the membership list, the time between two reads of it, and some slack.
const leavingWithin = 4 * time.Second

func runTargetLeaving(ctx context.Context, r *Rig) error {
	const lagMS = 500
	r.SetMembers(wire.MemberFaults{LagMS: lagMS})
	l := r.StartLoad(ctx, usualPrograms, 0)
	for i := range 2 {
		if err := r.UntilAnswered(ctx, someAnswers); err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
		for _, service := range everyService {
			r.Leave(r.targetsOf(service)[i], leavingWithin)
		}
		r.hold(ctx, leavingWithin)
	}
	err := r.UntilAnswered(ctx, 2*someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

// runLateAnswer gives calls a deadline that ends before their run does. Their
// answers come late: they reach the one who asks again with the same key, and
// nobody else.
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
		if got := r.retry(ctx, a.rng, q, 0); got.Word != Unknown {
			return errors.Newf("a call given up while it ran got %s %s", got.Word, got.Reason)
		}
	}
	if got := a.chat(ctx, 20, true); !got.Word.whole() {
		return errors.Newf("the next call got %s %s", got.Word, got.Reason)
	}
	if got := r.retry(ctx, a.rng, filing, patience); !got.Word.whole() && got.Word != Unknown {
		return errors.Newf("the filing again got %s %s", got.Word, got.Reason)
	}
	if got := r.retry(ctx, a.rng, tool, patience); !got.Word.whole() {
		return errors.Newf("the repeatable call again got %s %s", got.Word, got.Reason)
	}
	return a.goOn(ctx)
}
