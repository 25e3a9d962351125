package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin/ledger"
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
	reasonFork      = "history-fork"
)

func programScenarios() []Scenario {
	return []Scenario{
		{Name: "key-reuse", Description: "a retried call with the same key and another body", Instances: 3, Quick: true, Run: runKeyReuse},
		{Name: "tool-pause-forever", Description: "a program that never returns from its tool pause", Instances: 3,
			Settings: map[string]any{teamPath + "/idle_timeout": "2s"}, Run: runToolPause},
		{Name: "endless-loop", Description: "a program that repeats itself without end", Instances: 3,
			Settings: map[string]any{teamPath + "/loop_repeats": 4}, Run: runEndlessLoop},
		{Name: "budget", Description: "spending within the budget while owners die", Instances: 3,
			Budget: Program{Tokens: 2500, Fees: 6}, Run: runBudget},
		{Name: "team-budget", Description: "spending of a team within its budget while owners die", Instances: 3,
			TeamFees: 40, Run: runTeamBudget},
		{Name: "history", Description: "a program's history is not mixed with another's, also after its owner died", Instances: 3, Quick: true, Run: runHistory},
		{Name: "dead-programs", Description: "cache of programs released though owners die and engines drop replies", Instances: 3, Run: runClosedPrograms},
	}
}

// runKeyReuse submits a filing, and then other filings with the same key: while the
// first runs, after it, and after its owner was killed.
func runKeyReuse(ctx context.Context, r *Rig) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	first := filingRequest(a.newCall(), 1, 500*time.Millisecond)
	done := runAsync(func() Attempt { return r.do(ctx, a.rng, first) })
	if err := r.waitRuns(ctx, a.program.ID, 1); err != nil {
		return err
	}
	check := func(when, path string) error {
		other := plainRequest(&Call{
			Program: a.program.ID, Number: first.call.Number, Key: first.call.Key, NotRepeatable: true,
		}, Filing, testkit.FilingService, path, 0)
		if got := r.do(ctx, r.newRand(), other); got.Outcome != NotRun || got.Reason != reasonKeyReused {
			return errors.Newf("another request with the key %s got %s %s", when, got.Outcome, got.Reason)
		}
		return nil
	}
	err = check("while the first ran", "/other/1/"+a.program.ID)
	<-done
	err = errors.CombineErrors(err, check("after the first", "/other/2/"+a.program.ID))
	owner, ownerErr := r.waitOwner(ctx, a.program.ID)
	if ownerErr != nil {
		return ownerErr
	}
	r.Kill(owner, false)
	err = errors.CombineErrors(err, check("after its owner died", "/other/3/"+a.program.ID))
	return errors.CombineErrors(err, a.verifyUsable(ctx))
}

// runToolPause stops calling programs after one chat. Their cache must be released
// after the idle timeout.
func runToolPause(ctx context.Context, r *Rig) error {
	for range typicalPrograms {
		a, err := r.newAgent(ctx, r.newRand())
		if err != nil {
			return err
		}
		if got := a.chat(ctx, 30, true); !got.Outcome.answered() {
			return errors.Newf("the chat got %s %s", got.Outcome, got.Reason)
		}
		r.History.setClosed(a.program)
	}
	owner := r.randomInstance()
	return r.Replace(ctx, owner)
}

// runEndlessLoop repeats one request with new keys until it is refused as a loop.
func runEndlessLoop(ctx context.Context, r *Rig) error {
	const maxRepeats = 12
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	if got := a.chat(ctx, 30, true); !got.Outcome.answered() {
		return errors.Newf("the chat got %s %s", got.Outcome, got.Reason)
	}
	for i := range maxRepeats {
		call := &Call{Program: a.program.ID, Lane: "loop", Key: fmt.Sprintf("loop-%d", i)}
		q := plainRequest(call, Tool, testkit.ToolService, "/loop/"+a.program.ID, 0)
		q.body = []byte("again")
		call.BodyHash = ledger.BodyHash(q.body)
		got := r.do(ctx, a.rng, q)
		if got.Outcome == NotRun && got.Reason == reasonLoop {
			r.History.setClosed(a.program)
			return r.checkClosed(ctx, a)
		}
		if !got.Outcome.answered() {
			return errors.Newf("a repeat got %s %s", got.Outcome, got.Reason)
		}
	}
	return errors.Newf("%d repeats were not refused as a loop", maxRepeats)
}

// checkClosed checks that calls of a closed program are refused.
func (r *Rig) checkClosed(ctx context.Context, a *agent) error {
	if got := a.tool(ctx, 0); got.Outcome != NotRun || got.Reason != reasonClosed {
		return errors.Newf("a call of the closed program got %s %s", got.Outcome, got.Reason)
	}
	return nil
}

// runBudget lets programs exhaust their budgets while owners are killed.
func runBudget(ctx context.Context, r *Rig) error {
	var group sync.WaitGroup
	errs := make([]error, typicalPrograms)
	for i := range errs {
		rng := r.newRand()
		group.Go(func() { errs[i] = r.exhaustBudget(ctx, rng) })
	}
	var killErr error
	for range 2 {
		killErr = errors.CombineErrors(killErr, r.WaitAnswered(ctx, answersPerFault))
		killErr = errors.CombineErrors(killErr, r.Replace(ctx, r.randomInstance()))
	}
	group.Wait()
	return errors.CombineErrors(killErr, errors.Join(errs...))
}

// exhaustBudget alternates chats and filings until the budget has refused both.
func (r *Rig) exhaustBudget(ctx context.Context, rng *rand.Rand) error {
	const maxCalls = 100
	a, err := r.newAgent(ctx, rng)
	if err != nil {
		return err
	}
	spent := [2]bool{}
	for i := range maxCalls {
		var got Attempt
		if i%2 == 0 {
			got = a.chat(ctx, 60+rng.IntN(60), rng.IntN(2) == 0)
		} else {
			got = a.submitFiling(ctx, 1, 0)
		}
		if got.Outcome == NotRun && got.Reason == reasonBudget {
			spent[i%2] = true
		}
		if spent[0] && spent[1] {
			return a.close(ctx)
		}
	}
	return errors.CombineErrors(errors.Newf("%d calls did not exhaust the budget", maxCalls), a.close(ctx))
}

// runTeamBudget lets programs of a team exhaust the team's budget with filings while
// owners are killed.
func runTeamBudget(ctx context.Context, r *Rig) error {
	var group sync.WaitGroup
	errs := make([]error, typicalPrograms)
	for i := range errs {
		rng := r.newRand()
		group.Go(func() { errs[i] = r.exhaustTeamBudget(ctx, rng) })
	}
	var killErr error
	for range 2 {
		killErr = errors.CombineErrors(killErr, r.WaitAnswered(ctx, answersPerFault/3))
		killErr = errors.CombineErrors(killErr, r.Replace(ctx, r.randomInstance()))
	}
	group.Wait()
	return errors.CombineErrors(killErr, errors.Join(errs...))
}

// exhaustTeamBudget submits filings of one program until the budget refuses one.
func (r *Rig) exhaustTeamBudget(ctx context.Context, rng *rand.Rand) error {
	const maxFilings = 100
	a, err := r.newAgent(ctx, rng)
	if err != nil {
		return err
	}
	for range maxFilings {
		if got := a.submitFiling(ctx, 1, 0); got.Outcome == NotRun && got.Reason == reasonBudget {
			return a.close(ctx)
		}
	}
	return errors.CombineErrors(errors.Newf("%d filings did not exhaust the budget", maxFilings), a.close(ctx))
}

// runHistory sends one program's conversation in a call of another: before the owner
// of the latter is killed, during that, and once all instances know the next owner.
// Both programs must remain usable with their own conversations.
func runHistory(ctx context.Context, r *Rig) error {
	var agents [2]*agent
	for i := range agents {
		a, err := r.newAgent(ctx, r.newRand())
		if err != nil {
			return err
		}
		for range 2 {
			if got := a.chat(ctx, 10+i, true); !got.Outcome.answered() {
				return errors.Newf("a chat got %s %s", got.Outcome, got.Reason)
			}
		}
		agents[i] = a
	}
	err := r.checkForeignHistory(ctx, agents[0], agents[1])
	owner, ownerErr := r.waitOwner(ctx, agents[1].program.ID)
	if ownerErr != nil {
		return ownerErr
	}
	// The log holds a filing before its answer is sent, so that no call is lost with
	// the owner. "kill-owner" covers calls that can be.
	for _, a := range agents {
		if got := a.submitFiling(ctx, 1, 0); !got.Outcome.answered() {
			return errors.Newf("a filing got %s %s", got.Outcome, got.Reason)
		}
	}
	err = errors.CombineErrors(err, r.checkForeignHistoryDuringKill(ctx, agents[0], agents[1], owner))
	err = errors.CombineErrors(err, r.waitOwnerAgreed(ctx, agents[1].program.ID))
	err = errors.CombineErrors(err, r.checkForeignHistory(ctx, agents[0], agents[1]))
	return errors.Join(err, agents[0].verifyUsable(ctx), agents[1].verifyUsable(ctx))
}

// checkForeignHistory makes a call of a program with the messages of another, which
// must be refused.
func (r *Rig) checkForeignHistory(ctx context.Context, other, own *agent) error {
	got, ran := r.chatAs(ctx, other, own)
	if got.Outcome != NotRun || got.Reason != reasonFork || ran {
		return errors.Newf("another program's history got %s %s, run: %t", got.Outcome, got.Reason, ran)
	}
	return nil
}

// chatAs makes a call of a program with the messages of another, and reports whether
// a target ran it.
func (r *Rig) chatAs(ctx context.Context, other, own *agent) (got Attempt, ran bool) {
	messages, runs := own.messages, r.runsOf(own.program.ID)
	own.messages = append([]wire.ChatMessage(nil), other.messages...)
	got = own.chat(ctx, 10, true)
	own.messages = messages
	return got, r.runsOf(own.program.ID) > runs
}

// forwardWait is how long an owner stays paused before it is killed, so that a call
// is forwarded to it. The check also holds if the call only reaches the next owner.
const forwardWait = 200 * time.Millisecond

// checkForeignHistoryDuringKill makes a call with the messages of another program
// while the owner is paused, and then kills the owner. The call was forwarded to the
// owner, so that its outcome may be reported as unknown, but it must not run.
func (r *Rig) checkForeignHistoryDuringKill(ctx context.Context, other, own *agent, owner *testkit.Process) error {
	r.removeEndpoint(owner)
	if _, err := r.Pause(owner); err != nil {
		return err
	}
	type result struct {
		got Attempt
		ran bool
	}
	done := make(chan result, 1)
	go func() {
		got, ran := r.chatAs(ctx, other, own)
		done <- result{got, ran}
	}()
	r.sleep(ctx, forwardWait)
	replaceErr := r.Replace(ctx, owner)
	d := <-done
	refused := d.got.Outcome == NotRun || d.got.Outcome == Unknown
	if !refused || d.got.Reason != reasonFork || d.ran {
		return errors.CombineErrors(
			errors.Newf("while the owner died, another program's history got %s %s, run: %t", d.got.Outcome, d.got.Reason, d.ran),
			replaceErr)
	}
	if d.got.Outcome == Unknown {
		// A fork of the history does not use up the number.
		own.lastNumber--
	}
	return replaceErr
}

// waitOwnerAgreed waits until all instances report the running owner of a program.
func (r *Rig) waitOwnerAgreed(ctx context.Context, program string) error {
	return r.WaitUntil(ctx, "one owner of "+program, func() bool {
		owner := r.OwnerOf(program)
		for _, p := range r.instancesExcept(nil) {
			if owner == nil || r.ownerReportedBy(ctx, p, program) != owner {
				return false
			}
		}
		return true
	})
}

// runClosedPrograms closes programs while the engines are unresponsive, and replaces
// every instance before an engine can confirm a release.
func runClosedPrograms(ctx context.Context, r *Rig) error {
	var agents []*agent
	for range typicalPrograms {
		a, err := r.newAgent(ctx, r.newRand())
		if err != nil {
			return err
		}
		if got := a.chat(ctx, 30, true); !got.Outcome.answered() {
			return errors.Newf("the chat got %s %s", got.Outcome, got.Reason)
		}
		agents = append(agents, a)
	}
	r.setEngineFaults(wire.ServiceFaults{Hang: true})
	var err error
	for _, a := range agents {
		err = errors.CombineErrors(err, a.close(ctx))
	}
	for _, p := range r.instancesExcept(nil) {
		err = errors.CombineErrors(err, r.Replace(ctx, p))
	}
	r.setEngineFaults(wire.ServiceFaults{})
	return err
}

func (r *Rig) setEngineFaults(faults wire.ServiceFaults) {
	for _, id := range r.targetsOf(testkit.ModelService) {
		r.SetTargetFaults(id, faults)
	}
}
