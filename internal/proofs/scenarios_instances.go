package proofs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
)

// Sizes of the typical load.
const (
	typicalPrograms = 8
	typicalCalls    = 8
	// answersPerFault is the number of answers that a scenario waits for between
	// faults.
	answersPerFault = 30
	// longPause is longer than every timeout between instances: the liveness
	// timeout, the send window and the recovery wait.
	longPause = 6 * time.Second
)

// typicalBudget is small enough for some programs of the load to exhaust it.
var typicalBudget = Program{Tokens: 1500, Fees: 4}

func instanceScenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Description: "all points, without a fault", Instances: 3, Quick: true, RequireAnswers: true, Run: runSteady},
		{Name: "kill-owner", Description: "SIGKILL of owners under load, three times", Instances: 3, Quick: true, Budget: typicalBudget, Run: runKillOwner},
		{Name: "kill-owner-twice", Description: "owner and its successor die in one call", Instances: 4, Run: runKillOwnerTwice},
		{Name: "kill-gateway-and-owner", Description: "gateway and owner die in one call", Instances: 5, Quick: true, Run: runKillBoth},
		{Name: "pause-owner", Description: "owner paused longer than any timeout, twice", Instances: 3, Budget: typicalBudget, Run: runPauseOwner},
		{Name: "pause-before-send", Description: "owner paused between the log's acknowledgement and its send", Instances: 3, Quick: true, Relayed: true, Run: runPauseBeforeSend},
		{Name: "rolling-drain", Description: "graceful shutdown of every instance under load", Instances: 3, Run: runRollingDrain},
	}
}

func runSteady(ctx context.Context, r *Rig) error {
	return r.StartLoad(ctx, typicalPrograms, typicalCalls).Wait()
}

// ownerOfLoad returns the owner of the newest program of a load that has one.
func (r *Rig) ownerOfLoad(ctx context.Context, l *Load) (*testkit.Process, error) {
	var owner *testkit.Process
	err := r.WaitUntil(ctx, "an owner", func() bool {
		programs := l.Programs()
		for i := len(programs) - 1; i >= 0 && owner == nil; i-- {
			owner = r.OwnerOf(programs[i])
		}
		return owner != nil
	})
	return owner, err
}

func runKillOwner(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	for range 3 {
		if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
		owner, err := r.ownerOfLoad(ctx, l)
		if err == nil {
			err = r.Replace(ctx, owner)
		}
		if err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
	}
	err := r.WaitAnswered(ctx, answersPerFault)
	return errors.CombineErrors(err, l.Stop())
}

// runAsync makes a call in the background.
func runAsync(call func() Attempt) <-chan Attempt {
	done := make(chan Attempt, 1)
	go func() { done <- call() }()
	return done
}

// waitRuns waits until the targets have started at least count runs of a program.
func (r *Rig) waitRuns(ctx context.Context, program string, count int) error {
	return r.WaitUntil(ctx, "a run at a target", func() bool { return r.runsOf(program) >= count })
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

// waitOwner waits until a running instance owns the program's shard and returns it.
func (r *Rig) waitOwner(ctx context.Context, program string) (*testkit.Process, error) {
	var owner *testkit.Process
	err := r.WaitUntil(ctx, "an owner of "+program, func() bool {
		owner = r.OwnerOf(program)
		return owner != nil
	})
	return owner, err
}

// longChatTokens is the length of a chat that is still in progress when a fault is
// injected.
const longChatTokens = 1200

// runKillOwnerTwice kills the owner of a program during a stream, and then the
// instance that took it over.
func runKillOwnerTwice(ctx context.Context, r *Rig) error {
	a, err := r.newAgent(ctx, r.newRand())
	if err != nil {
		return err
	}
	done := runAsync(func() Attempt { return a.chat(ctx, longChatTokens, true) })
	for range 2 {
		if err := r.waitRuns(ctx, a.program.ID, 1); err != nil {
			return err
		}
		owner, err := r.waitOwner(ctx, a.program.ID)
		if err != nil {
			return err
		}
		r.Kill(owner, false)
	}
	<-done
	return a.verifyUsable(ctx)
}

// verifyUsable checks that the program still takes calls of each kind, and closes
// it.
func (a *agent) verifyUsable(ctx context.Context) error {
	tool := a.tool(ctx, a.runTime())
	file := a.submitFiling(ctx, 1, a.runTime())
	chat := a.chat(ctx, 20, true)
	for _, attempt := range []Attempt{tool, file, chat} {
		if !attempt.Outcome.answered() {
			return errors.CombineErrors(errors.Newf("after the faults a call got %s %s", attempt.Outcome, attempt.Reason), a.close(ctx))
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
	stream := func() Attempt { return a.chat(ctx, longChatTokens, true) }
	file := func() Attempt { return a.submitFiling(ctx, 1, time.Second) }
	for _, call := range []func() Attempt{stream, file} {
		if err := r.killBothDuring(ctx, a, call); err != nil {
			return err
		}
	}
	return a.verifyUsable(ctx)
}

func (r *Rig) killBothDuring(ctx context.Context, a *agent, call func() Attempt) error {
	owner, err := r.waitOwner(ctx, a.program.ID)
	if err != nil {
		return err
	}
	others := r.instancesExcept(owner)
	gateway := others[0]
	r.setEndpoints(endpointOf(gateway))
	runs := r.runsOf(a.program.ID)
	done := runAsync(call)
	if err := r.waitRuns(ctx, a.program.ID, runs+1); err != nil {
		return err
	}
	for _, p := range others[1:] {
		r.addEndpoint(p)
	}
	r.Kill(owner, false)
	r.Kill(gateway, false)
	<-done
	return nil
}

func runPauseOwner(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	for range 2 {
		if err := r.pauseOwnerOnce(ctx, l); err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
	}
	err := r.WaitAnswered(ctx, answersPerFault)
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) pauseOwnerOnce(ctx context.Context, l *Load) error {
	if err := r.WaitAnswered(ctx, answersPerFault); err != nil {
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
	r.sleep(ctx, longPause)
	err = r.WaitAnswered(ctx, answersPerFault)
	return errors.CombineErrors(err, resume())
}

// runPauseBeforeSend pauses owners between the log's acknowledgement of a filing's
// Intent and the filing's send.
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
	return a.verifyUsable(ctx)
}

// pauseBeforeSendOnce pauses the owner once its Intent is in the log, unblocks the
// log's replies to the paused process, and waits until another owner has reported
// the filing's outcome and run the next call. Then it resumes the first owner, which
// now receives the acknowledgement of its Intent and must not send the filing.
func (r *Rig) pauseBeforeSendOnce(ctx context.Context, a *agent) error {
	owner, err := r.waitOwner(ctx, a.program.ID)
	if err != nil {
		return err
	}
	r.removeEndpoint(owner)
	resume, done, err := r.pauseWithIntent(ctx, a, owner)
	if err != nil {
		return err
	}
	<-done
	next := a.tool(ctx, a.runTime())
	if err := resume(); err != nil {
		return err
	}
	// Leave the resumed instance enough time to send the filing, as a faulty one
	// would.
	r.sleep(ctx, resumeSlack)
	r.addEndpoint(owner)
	if !next.Outcome.answered() {
		return errors.Newf("after the owner was replaced a call got %s %s", next.Outcome, next.Reason)
	}
	return r.WaitReady(ctx, owner)
}

// pauseWithIntent starts a filing, pauses its owner once the Intent is in the log
// but not yet acknowledged to the owner, and then unblocks the log's replies.
func (r *Rig) pauseWithIntent(ctx context.Context, a *agent, owner *testkit.Process) (func() error, <-chan Attempt, error) {
	r.Net.CutLog(owner.ID, false, true)
	done, err := r.submitUntilIntent(ctx, a)
	if err != nil {
		return nil, nil, err
	}
	resume, err := r.Pause(owner)
	r.Net.CutLog(owner.ID, false, false)
	return resume, done, err
}

// submitUntilIntent starts a filing and waits until its Intent is in the log.
func (r *Rig) submitUntilIntent(ctx context.Context, a *agent) (<-chan Attempt, error) {
	q := filingRequest(a.newCall(), 1, 50*time.Millisecond)
	done := runAsync(func() Attempt { return a.do(ctx, q) })
	err := r.WaitUntil(ctx, "the intent in the log", func() bool {
		return r.intentInLog(a.program.ID, q.call.Key) || len(done) > 0
	})
	if err == nil && !r.intentInLog(a.program.ID, q.call.Key) {
		got := <-done
		err = errors.Newf("the filing got %s %s and has no intent in the log", got.Outcome, got.Reason)
	}
	return done, err
}

// runRollingDrain replaces each instance gracefully under load.
func runRollingDrain(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	for _, p := range r.instancesExcept(nil) {
		err := r.WaitAnswered(ctx, answersPerFault)
		if err == nil {
			_, err = r.Add(ctx)
		}
		if err == nil {
			err = r.Drain(ctx, p)
		}
		if err != nil {
			return errors.CombineErrors(err, l.Stop())
		}
	}
	err := r.WaitAnswered(ctx, answersPerFault)
	return errors.CombineErrors(err, l.Stop())
}

// intentInLog reports whether the log holds a valid Intent of the call.
func (r *Rig) intentInLog(program, key string) bool {
	intents := make(map[intentID]int64)
	collectIntents(r.readStream(shardStream(program)), intents)
	_, ok := intents[intentID{program, key}]
	return ok
}
