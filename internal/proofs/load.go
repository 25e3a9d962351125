package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
)

// Load is a set of agents that run programs concurrently.
type Load struct {
	group sync.WaitGroup
	mu    sync.Mutex
	// agents are those whose program is open.
	agents []*agent
	errs   []error
	stop   chan struct{}
}

// stepWeights are the relative frequencies of the steps of a program.
var stepWeights = []struct {
	weight int
	step   func(ctx context.Context, a *agent) bool
}{
	{3, stepChat}, {3, stepStream}, {3, stepTool}, {3, stepFiling}, {1, stepConcurrentFiling}, {1, stepResubmittedFiling}, {1, stepFanOut},
	{1, stepWithoutProgram}, {1, stepCancel},
}

// StartLoad starts agents that each run one program with the given number of steps,
// or one program after another until Stop if calls is 0.
func (r *Rig) StartLoad(ctx context.Context, programs, calls int) *Load {
	l := &Load{stop: make(chan struct{})}
	for range programs {
		rng := r.newRand()
		l.group.Go(func() { l.runPrograms(ctx, r, rng, calls) })
	}
	return l
}

// runPrograms runs one program, or one after another until Stop if calls is 0.
func (l *Load) runPrograms(ctx context.Context, r *Rig, rng *rand.Rand, calls int) {
	const callsPerProgram = 8
	if calls > 0 {
		l.runProgram(ctx, r, rng, calls)
		return
	}
	for !l.stopped() && ctx.Err() == nil {
		l.runProgram(ctx, r, rng, callsPerProgram)
	}
}

func (l *Load) runProgram(ctx context.Context, r *Rig, rng *rand.Rand, calls int) {
	a, err := r.newAgent(ctx, rng)
	if err != nil {
		l.addError(err)
		return
	}
	l.mu.Lock()
	l.agents = append(l.agents, a)
	l.mu.Unlock()
	for range calls {
		if l.stopped() || !randomStep(ctx, a) {
			break
		}
	}
	if err := a.close(ctx); err != nil {
		l.addError(err)
	}
}

func (l *Load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *Load) addError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errs = append(l.errs, err)
}

// Stop lets the programs end after their current step, waits for them, and returns
// the first error.
func (l *Load) Stop() error {
	close(l.stop)
	return l.Wait()
}

// Wait waits for the programs and returns the first error.
func (l *Load) Wait() error {
	l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errs) > 0 {
		return l.errs[0]
	}
	return nil
}

// Programs returns the programs opened so far, newest last.
func (l *Load) Programs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.agents))
	for _, a := range l.agents {
		ids = append(ids, a.program.ID)
	}
	return ids
}

// randomStep makes one step and reports whether the program can continue.
func randomStep(ctx context.Context, a *agent) bool {
	total := 0
	for _, s := range stepWeights {
		total += s.weight
	}
	pick := a.rng.IntN(total)
	for _, s := range stepWeights {
		if pick < s.weight {
			return s.step(ctx, a)
		}
		pick -= s.weight
	}
	return false
}

func stepChat(ctx context.Context, a *agent) bool {
	return a.chat(ctx, 5+a.rng.IntN(40), false).Outcome.answered()
}

func stepStream(ctx context.Context, a *agent) bool {
	return a.chat(ctx, 5+a.rng.IntN(200), true).Outcome.answered()
}

func stepTool(ctx context.Context, a *agent) bool {
	return a.tool(ctx, a.runTime()).Outcome.answered()
}

// stepFiling continues after an unknown outcome, which uses up the call's number.
func stepFiling(ctx context.Context, a *agent) bool {
	outcome := a.submitFiling(ctx, 1, a.runTime()).Outcome
	return outcome.answered() || outcome == Unknown
}

func stepConcurrentFiling(ctx context.Context, a *agent) bool {
	outcome := a.submitFilingConcurrently(ctx, 1, a.runTime()).Outcome
	return outcome.answered() || outcome == Unknown
}

func stepResubmittedFiling(ctx context.Context, a *agent) bool {
	outcome := a.resubmitFiling(ctx, 1, a.runTime()).Outcome
	return outcome.answered() || outcome == Unknown
}

// stepWithoutProgram submits a filing outside any program.
func stepWithoutProgram(ctx context.Context, a *agent) bool {
	call := &Call{Key: ulid.Make().String()}
	outcome := a.rig.do(ctx, a.rng, filingRequest(call, 1, a.runTime())).Outcome
	return outcome.answered() || outcome == Unknown
}

// stepCancel closes the connection of a filing early and then submits it again with
// the same key.
func stepCancel(ctx context.Context, a *agent) bool {
	q := filingRequest(a.unnumberedCall(), 1, a.runTime())
	a.rig.History.addCall(q.call)
	canceled := q
	canceled.cancelAfter = a.runTime()
	if a.rig.retry(ctx, a.rng, canceled, 0).Outcome.answered() {
		return true
	}
	outcome := a.rig.retry(ctx, a.rng, q, retryTimeout).Outcome
	return outcome.answered() || outcome == Unknown
}

func stepFanOut(ctx context.Context, a *agent) bool {
	const count = 3
	a.fanCount++
	lane := fmt.Sprintf("sub-%d", a.fanCount)
	for _, attempt := range a.fanOut(ctx, lane, count, a.runTime()) {
		if !attempt.Outcome.answered() {
			return false
		}
	}
	return true
}

func (a *agent) runTime() time.Duration {
	return time.Duration(5+a.rng.IntN(60)) * time.Millisecond
}
