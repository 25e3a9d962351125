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
		{Name: "dead-programs", Description: "cache of programs released though owners die and engines drop replies", Instances: 3, Run: runDeadPrograms},
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
	for i := range most {
		call := &Call{Program: a.program.ID, Lane: "loop", Key: fmt.Sprintf("loop-%d", i)}
		q := plainRequest(call, Tool, testkit.ToolService, "/loop/"+a.program.ID, 0)
		q.body = []byte("again")
		call.BodyHash = ledger.BodyHash(q.body)
		got := r.do(ctx, a.rng, q)
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

// runBudget lets programs spend until they are refused, while owners die.
func runBudget(ctx context.Context, r *Rig) error {
	var group sync.WaitGroup
	errs := make([]error, usualPrograms)
	for i := range errs {
		rng := r.newRand()
		group.Go(func() { errs[i] = r.spendAll(ctx, rng) })
	}
	var killed error
	for range 2 {
		killed = errors.CombineErrors(killed, r.UntilAnswered(ctx, someAnswers))
		killed = errors.CombineErrors(killed, r.Replace(ctx, r.random()))
	}
	group.Wait()
	return errors.CombineErrors(killed, errors.Join(errs...))
}

// spendAll spends in turns on chats and filings until both are refused for want
// of budget.
func (r *Rig) spendAll(ctx context.Context, rng *rand.Rand) error {
	const most = 100
	a, err := r.newAgent(ctx, rng)
	if err != nil {
		return err
	}
	spent := [2]bool{}
	for i := range most {
		var got Attempt
		if i%2 == 0 {
			got = a.chat(ctx, 60+rng.IntN(60), rng.IntN(2) == 0)
		} else {
			got = a.file(ctx, 1, 0)
		}
		if got.Word == NotRun && got.Reason == reasonBudget {
			spent[i%2] = true
		}
		if spent[0] && spent[1] {
			return a.close(ctx)
		}
	}
	return errors.CombineErrors(errors.Newf("%d calls and the budget was not used up", most), a.close(ctx))
}

// runTeamBudget lets programs of a team file until the team's budget refuses,
// while owners die.
func runTeamBudget(ctx context.Context, r *Rig) error {
	var group sync.WaitGroup
	errs := make([]error, usualPrograms)
	for i := range errs {
		rng := r.newRand()
		group.Go(func() { errs[i] = r.fileAll(ctx, rng) })
	}
	var killed error
	for range 2 {
		killed = errors.CombineErrors(killed, r.UntilAnswered(ctx, someAnswers/3))
		killed = errors.CombineErrors(killed, r.Replace(ctx, r.random()))
	}
	group.Wait()
	return errors.CombineErrors(killed, errors.Join(errs...))
}

// fileAll files until the budget refuses.
func (r *Rig) fileAll(ctx context.Context, rng *rand.Rand) error {
	const most = 100
	a, err := r.newAgent(ctx, rng)
	if err != nil {
		return err
	}
	for range most {
		if got := a.file(ctx, 1, 0); got.Word == NotRun && got.Reason == reasonBudget {
			return a.close(ctx)
		}
	}
	return errors.CombineErrors(errors.Newf("%d filings and the budget was not used up", most), a.close(ctx))
}

// runHistory sends one program's conversation as another's: before the owner of
// the second dies, while it dies, and once all instances know the next owner.
// The second then goes on with its own.
func runHistory(ctx context.Context, r *Rig) error {
	var agents [2]*agent
	for i := range agents {
		a, err := r.newAgent(ctx, r.newRand())
		if err != nil {
			return err
		}
		for range 2 {
			if got := a.chat(ctx, 10+i, true); !got.Word.whole() {
				return errors.Newf("a chat got %s %s", got.Word, got.Reason)
			}
		}
		agents[i] = a
	}
	err := r.mixed(ctx, agents[0], agents[1])
	owner, owned := r.untilOwned(ctx, agents[1].program.ID)
	if owned != nil {
		return owned
	}
	// A filing is in the log before its answer, so that the death of the owner
	// forgets no call; what it may forget is the matter of "kill-owner".
	for _, a := range agents {
		if got := a.file(ctx, 1, 0); !got.Word.whole() {
			return errors.Newf("a filing got %s %s", got.Word, got.Reason)
		}
	}
	err = errors.CombineErrors(err, r.mixedDuringKill(ctx, agents[0], agents[1], owner))
	err = errors.CombineErrors(err, r.untilAgreed(ctx, agents[1].program.ID))
	err = errors.CombineErrors(err, r.mixed(ctx, agents[0], agents[1]))
	return errors.Join(err, agents[0].goOn(ctx), agents[1].goOn(ctx))
}

// mixed makes a call of a program with the messages of another, which must be
// refused.
func (r *Rig) mixed(ctx context.Context, other, own *agent) error {
	got, ran := r.chatAs(ctx, other, own)
	if got.Word != NotRun || got.Reason != reasonFork || ran {
		return errors.Newf("another program's history got %s %s, run: %t", got.Word, got.Reason, ran)
	}
	return nil
}

// chatAs makes a call of a program with the messages of another, and tells
// whether a target ran it.
func (r *Rig) chatAs(ctx context.Context, other, own *agent) (got Attempt, ran bool) {
	messages, runs := own.messages, r.runsOf(own.program.ID)
	own.messages = append([]wire.ChatMessage(nil), other.messages...)
	got = own.chat(ctx, 10, true)
	own.messages = messages
	return got, r.runsOf(own.program.ID) > runs
}

// handoverPause lets a call reach an instance that is paused. If it does not,
// the call is handed to the next owner alone, and the outcome is as good.
const handoverPause = 200 * time.Millisecond

// mixedDuringKill makes such a call while the owner does not answer, and then
// kills the owner. The call was handed to it, so that nobody can say any more
// that it has not run; but it must not run.
func (r *Rig) mixedDuringKill(ctx context.Context, other, own *agent, owner *testkit.Process) error {
	r.closeDoor(owner)
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
	r.hold(ctx, handoverPause)
	replaced := r.Replace(ctx, owner)
	d := <-done
	told := d.got.Word == NotRun || d.got.Word == Unknown
	if !told || d.got.Reason != reasonFork || d.ran {
		return errors.CombineErrors(
			errors.Newf("while the owner died, another program's history got %s %s, run: %t", d.got.Word, d.got.Reason, d.ran),
			replaced)
	}
	if d.got.Word == Unknown {
		// The number was not used, as the history could not be continued.
		own.number--
	}
	return replaced
}

// untilAgreed waits until all instances name the living owner of a program.
func (r *Rig) untilAgreed(ctx context.Context, program string) error {
	return r.Until(ctx, "one owner of "+program, func() bool {
		owner := r.OwnerOf(program)
		for _, p := range r.others(nil) {
			if owner == nil || r.ownerSaidBy(ctx, p, program) != owner {
				return false
			}
		}
		return true
	})
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
