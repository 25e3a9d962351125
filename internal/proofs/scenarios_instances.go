package proofs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
)

// Sizes of the usual load.
const (
	usualPrograms = 8
	usualCalls    = 8
	// someAnswers is a part of the load that a fault falls into.
	someAnswers = 30
	// longPause is longer than every timeout between instances: the liveness
	// timeout, the send window and the recovery wait.
	longPause = 6 * time.Second
)

// usualBudget is one that some programs of the load use up.
var usualBudget = Program{Tokens: 1500, Fees: 4}

func instanceScenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Description: "all points, without a fault", Instances: 3, Quick: true, AllAnswered: true, Run: runSteady},
		{Name: "kill-owner", Description: "SIGKILL of owners under load, three times", Instances: 3, Quick: true, Budget: usualBudget, Run: runKillOwner},
		{Name: "kill-owner-twice", Description: "owner and its successor die in one call", Instances: 4, Run: runKillOwnerTwice},
		{Name: "kill-gateway-and-owner", Description: "gateway and owner die in one call", Instances: 5, Quick: true, Run: runKillBoth},
		{Name: "pause-owner", Description: "owner paused longer than any timeout, twice", Instances: 3, Budget: usualBudget, Run: runPauseOwner},
		{Name: "pause-before-send", Description: "owner paused between the log's acknowledgement and its send", Instances: 3, Quick: true, Relayed: true, Run: runPauseBeforeSend},
		{Name: "rolling-drain", Description: "graceful shutdown of every instance under load", Instances: 3, Run: runRollingDrain},
	}
}

func runSteady(ctx context.Context, r *Rig) error {
	return r.StartLoad(ctx, usualPrograms, usualCalls).Wait()
}

// ownerOfLoad finds the owner of one of the newest programs of a load.
func (r *Rig) ownerOfLoad(ctx context.Context, l *Load) (*testkit.Process, error) {
	var owner *testkit.Process
	err := r.Until(ctx, "an owner", func() bool {
		programs := l.Programs()
		for i := len(programs) - 1; i >= 0 && owner == nil; i-- {
			owner = r.OwnerOf(programs[i])
		}
		return owner != nil
	})
	return owner, err
}

func runKillOwner(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	for range 3 {
		if err := r.UntilAnswered(ctx, someAnswers); err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
		owner, err := r.ownerOfLoad(ctx, l)
		if err == nil {
			err = r.Replace(ctx, owner)
		}
		if err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
	}
	err := r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

// later runs a call beside the scenario.
func later(call func() Attempt) <-chan Attempt {
	done := make(chan Attempt, 1)
	go func() { done <- call() }()
	return done
}

// untilRuns waits until the targets have so many runs of a program.
func (r *Rig) untilRuns(ctx context.Context, program string, count int) error {
	return r.Until(ctx, "a run at a target", func() bool { return r.runsOf(program) >= count })
}

func (r *Rig) runsOf(program string) int {
	n := 0
	for _, target := range r.Engines {
		for _, entry := range target.Ledger().Entries() {
			if entry.Program == program {
				n++
			}
		}
	}
	for _, target := range r.Services {
		for _, entry := range target.Ledger().Entries() {
			if entry.Program == program {
				n++
			}
		}
	}
	return n
}

// untilOwned waits until a living instance owns the program's shard and gives
// it.
func (r *Rig) untilOwned(ctx context.Context, program string) (*testkit.Process, error) {
	var owner *testkit.Process
	err := r.Until(ctx, "an owner of "+program, func() bool {
		owner = r.OwnerOf(program)
		return owner != nil
	})
	return owner, err
}

// longAnswer is a chat long enough to be hit by a fault, in tokens.
const longAnswer = 1200

// runKillOwnerTwice kills the owner of a stream, then the instance that took
// the stream over.
func runKillOwnerTwice(ctx context.Context, r *Rig) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	done := later(func() Attempt { return a.chat(ctx, longAnswer, true) })
	for range 2 {
		if err := r.untilRuns(ctx, a.program.ID, 1); err != nil {
			return err
		}
		owner, err := r.untilOwned(ctx, a.program.ID)
		if err != nil {
			return err
		}
		r.Kill(owner, false)
	}
	<-done
	return a.goOn(ctx)
}

// goOn shows that the program can still be used, then closes it.
func (a *agent) goOn(ctx context.Context) error {
	tool := a.tool(ctx, a.runTime())
	file := a.file(ctx, 1, a.runTime())
	chat := a.chat(ctx, 20, true)
	for _, attempt := range []Attempt{tool, file, chat} {
		if !attempt.Word.whole() {
			return errors.CombineErrors(errors.Newf("after the faults a call got %s %s", attempt.Word, attempt.Reason), a.close(ctx))
		}
	}
	return a.close(ctx)
}

// runKillBoth kills the gateway and the owner in the middle of a stream, then
// in the middle of a filing.
func runKillBoth(ctx context.Context, r *Rig) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	stream := func() Attempt { return a.chat(ctx, longAnswer, true) }
	file := func() Attempt { return a.file(ctx, 1, time.Second) }
	for _, call := range []func() Attempt{stream, file} {
		if err := r.killBothDuring(ctx, a, call); err != nil {
			return err
		}
	}
	return a.goOn(ctx)
}

func (r *Rig) killBothDuring(ctx context.Context, a *agent, call func() Attempt) error {
	owner, err := r.untilOwned(ctx, a.program.ID)
	if err != nil {
		return err
	}
	rest := r.others(owner)
	gateway := rest[0]
	r.setDoors(doorOf(gateway))
	runs := r.runsOf(a.program.ID)
	done := later(call)
	if err := r.untilRuns(ctx, a.program.ID, runs+1); err != nil {
		return err
	}
	for _, p := range rest[1:] {
		r.openDoor(p)
	}
	r.Kill(owner, false)
	r.Kill(gateway, false)
	<-done
	return nil
}

func runPauseOwner(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	for range 2 {
		if err := r.pauseOwnerOnce(ctx, l); err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
	}
	err := r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) pauseOwnerOnce(ctx context.Context, l *Load) error {
	if err := r.UntilAnswered(ctx, someAnswers); err != nil {
		return err
	}
	owner, err := r.ownerOfLoad(ctx, l)
	if err != nil {
		return err
	}
	resume, err := r.Pause(owner)
	if err != nil {
		return err
	}
	r.hold(ctx, longPause)
	err = r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, resume())
}

// runPauseBeforeSend freezes owners between the log's acknowledgement of a
// filing's Intent and the filing's send.
func runPauseBeforeSend(ctx context.Context, r *Rig) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	for range 2 {
		if err := r.pauseBeforeSendOnce(ctx, a); err != nil {
			return err
		}
	}
	return a.goOn(ctx)
}

// pauseBeforeSendOnce freezes the owner with its Intent in the log, lets the
// log's words through to the frozen process, and waits until another owner has
// given the filing's outcome and run the next call. Then it lets the first owner
// go on, which now knows that its Intent counts.
func (r *Rig) pauseBeforeSendOnce(ctx context.Context, a *agent) error {
	owner, err := r.untilOwned(ctx, a.program.ID)
	if err != nil {
		return err
	}
	r.closeDoor(owner)
	resume, done, err := r.pauseWithIntent(ctx, a, owner)
	if err != nil {
		return err
	}
	<-done
	next := a.tool(ctx, a.runTime())
	if err := resume(); err != nil {
		return err
	}
	// The resumed instance has what it needs for a late send; it must have
	// had the time to make it.
	r.hold(ctx, resumeSlack)
	r.openDoor(owner)
	if !next.Word.whole() {
		return errors.Newf("after the owner was replaced a call got %s %s", next.Word, next.Reason)
	}
	return r.WaitReady(ctx, owner)
}

// pauseWithIntent starts a filing, freezes its owner when the Intent is in the
// log and the owner does not know it yet, and then passes the log's words on.
func (r *Rig) pauseWithIntent(ctx context.Context, a *agent, owner *testkit.Process) (func() error, <-chan Attempt, error) {
	r.Net.CutLog(owner.ID, false, true)
	done, err := r.fileUntilIntent(ctx, a)
	if err != nil {
		return nil, nil, err
	}
	resume, err := r.Pause(owner)
	r.Net.CutLog(owner.ID, false, false)
	return resume, done, err
}

// fileUntilIntent starts a filing and waits until its Intent is in the log.
func (r *Rig) fileUntilIntent(ctx context.Context, a *agent) (<-chan Attempt, error) {
	q := filingRequest(a.newCall(), 1, 50*time.Millisecond)
	done := later(func() Attempt { return a.do(ctx, q) })
	err := r.Until(ctx, "the intent in the log", func() bool {
		return r.intentInLog(a.program.ID, q.call.Key) || len(done) > 0
	})
	if err == nil && !r.intentInLog(a.program.ID, q.call.Key) {
		got := <-done
		err = errors.Newf("the filing got %s %s and has no intent in the log", got.Word, got.Reason)
	}
	return done, err
}

// runRollingDrain replaces each instance by a new one under load.
func runRollingDrain(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	for _, p := range r.others(nil) {
		err := r.UntilAnswered(ctx, someAnswers)
		if err == nil {
			_, err = r.Add(ctx)
		}
		if err == nil {
			err = r.Drain(ctx, p)
		}
		if err != nil {
			return errors.CombineErrors(err, l.Finish())
		}
	}
	err := r.UntilAnswered(ctx, someAnswers)
	return errors.CombineErrors(err, l.Finish())
}

// intentInLog tells whether an Intent of the call counts in the log.
func (r *Rig) intentInLog(program, key string) bool {
	intents := make(map[intentID]int64)
	collectIntents(r.stream(shardStream(program)), intents)
	_, ok := intents[intentID{program, key}]
	return ok
}
