package proofs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const teamPath = "teams/" + testkit.TeamPath

// Reasons that scenarios expect.
const (
	reasonKeyReused = "key-reused"
	reasonLoop      = "loop-detected"
	reasonClosed    = "program-closed"
	reasonBudget    = "budget-exhausted"
)

func programScenarios() []Scenario {
	return []Scenario{
		{Name: "key-reuse", Proves: "a retried call with the same key and another body", Instances: 3, Quick: true, Run: runKeyReuse},
		{Name: "tool-pause-forever", Proves: "a program that never returns from its tool pause", Instances: 3,
			Settings: map[string]any{teamPath + "/idle_timeout": "2s"}, Run: runToolPause},
		{Name: "endless-loop", Proves: "a program that repeats itself without end", Instances: 3,
			Settings: map[string]any{teamPath + "/loop_repeats": 4}, Run: runEndlessLoop},
		{Name: "budget", Proves: "spending within the budget while owners die", Instances: 3,
			Budget: Program{Tokens: 3000, Fees: 3}, Run: runBudget},
		{Name: "dead-programs", Proves: "cache of programs released though owners die and engines drop replies", Instances: 3, Run: runDeadPrograms},
	}
}

// runKeyReuse submits a filing and then another one under the same key: while
// the first runs, after it, and after its owner died.
func runKeyReuse(ctx context.Context, r *Rig) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	first := filingRequest(a.newCall(), 1, 500*time.Millisecond)
	done := later(func() Attempt { return r.do(ctx, a.rng, first) })
	if err := r.untilRuns(ctx, a.program.ID, 1); err != nil {
		return err
	}
	check := func(when, path string) error {
		other := plainRequest(&Call{
			Program: a.program.ID, Number: first.call.Number, Key: first.call.Key, NotRepeatable: true,
		}, Filing, testkit.FilingService, path, 0)
		if got := r.do(ctx, r.newRand(), other); got.Word != NotRun || got.Reason != reasonKeyReused {
			return errors.Newf("another request with the key %s got %s %s", when, got.Word, got.Reason)
		}
		return nil
	}
	err = check("while the first ran", "/other/1/"+a.program.ID)
	<-done
	err = errors.CombineErrors(err, check("after the first", "/other/2/"+a.program.ID))
	owner, ownerErr := r.untilOwned(ctx, a.program.ID)
	if ownerErr != nil {
		return ownerErr
	}
	r.Kill(owner, false)
	err = errors.CombineErrors(err, check("after its owner died", "/other/3/"+a.program.ID))
	return errors.CombineErrors(err, a.goOn(ctx))
}

// runToolPause lets programs fall silent; their cache must be given back.
func runToolPause(ctx context.Context, r *Rig) error {
	for range usualPrograms {
		a, err := r.newAgent(ctx, r.newRand())
		if err != nil {
			return err
		}
		if got := a.chat(ctx, 30, true); !got.Word.whole() {
			return errors.Newf("the chat got %s %s", got.Word, got.Reason)
		}
		r.History.setGone(a.program)
	}
	owner := r.random()
	return r.Replace(ctx, owner)
}

// runEndlessLoop repeats one request under new keys until it is refused.
func runEndlessLoop(ctx context.Context, r *Rig) error {
	const most = 12
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	if got := a.chat(ctx, 30, true); !got.Word.whole() {
		return errors.Newf("the chat got %s %s", got.Word, got.Reason)
	}
	call := &Call{Program: a.program.ID, Lane: "loop"}
	q := plainRequest(call, Tool, testkit.ToolService, "/loop/"+a.program.ID, 0)
	r.History.addCall(call)
	for i := range most {
		call.Key = "loop-" + string(rune('a'+i))
		got := r.retry(ctx, a.rng, q, 0)
		if got.Word == NotRun && got.Reason == reasonLoop {
			r.History.setGone(a.program)
			return r.refusedAsClosed(ctx, a)
		}
		if !got.Word.whole() {
			return errors.Newf("a repeat got %s %s", got.Word, got.Reason)
		}
	}
	return errors.Newf("%d repeats were not noticed", most)
}

// refusedAsClosed checks that a program takes no call any more.
func (r *Rig) refusedAsClosed(ctx context.Context, a *agent) error {
	if got := a.tool(ctx, 0); got.Word != NotRun || got.Reason != reasonClosed {
		return errors.Newf("a call of the closed program got %s %s", got.Word, got.Reason)
	}
	return nil
}

// runBudget lets programs run into their budgets while owners die.
func runBudget(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	for range 2 {
		err := r.UntilAnswered(ctx, someAnswers)
		if err == nil {
			err = r.Replace(ctx, r.random())
		}
		if err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
	}
	err := r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

// runDeadPrograms closes programs while the engines do not answer, and replaces
// every instance before an engine could confirm a release.
func runDeadPrograms(ctx context.Context, r *Rig) error {
	var agents []*agent
	for range usualPrograms {
		a, err := r.newAgent(ctx, r.newRand())
		if err != nil {
			return err
		}
		if got := a.chat(ctx, 30, true); !got.Word.whole() {
			return errors.Newf("the chat got %s %s", got.Word, got.Reason)
		}
		agents = append(agents, a)
	}
	r.setEngines(wire.ServiceFaults{Hang: true})
	var err error
	for _, a := range agents {
		err = errors.CombineErrors(err, a.close(ctx))
	}
	for _, p := range r.others(nil) {
		err = errors.CombineErrors(err, r.Replace(ctx, p))
	}
	r.setEngines(wire.ServiceFaults{})
	return err
}

func (r *Rig) setEngines(faults wire.ServiceFaults) {
	for _, id := range r.targetsOf(testkit.ModelService) {
		r.SetTarget(id, faults)
	}
}
