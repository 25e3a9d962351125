package bench

import (
	"fmt"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// liveProgram is the state of a program in a run.
type liveProgram struct {
	spec   *Program
	served time.Duration
	turns  int64
	// activeCalls is the number of calls that wait or run.
	activeCalls int
	// runningAt is the number of running calls by engine.
	runningAt map[*simEngine]int
	// finished is set when the program makes no further calls, even if it is
	// not closed yet.
	finished            bool
	consecutiveRefusals int
	failed              bool
}

func (p *liveProgram) callStarted(r *simEngine) { p.runningAt[r]++ }

func (p *liveProgram) callEnded(r *simEngine) { p.runningAt[r]-- }

func (p *liveProgram) isRunningAt(r *simEngine) bool { return p.runningAt[r] > 0 }

// liveCall is the state of a call that waits or runs.
type liveCall struct {
	program       *liveProgram
	run           structs.RunID
	step          Step
	contextTokens int
	onDone        func()

	target                                       structs.TargetID
	requestedAt, grantedAt, submittedAt          time.Duration
	timeToFirstToken, duration, firstRequestedAt time.Duration
	attempt                                      int
	usage                                        structs.Usage
}

func (c *liveCall) promptTokens() int {
	return c.program.spec.SharedTokens + c.contextTokens + c.step.InputTokens
}

func (c *liveCall) engineRequest() engine.Request {
	return engine.Request{
		ID: string(c.run), Program: string(c.program.spec.ID),
		SharedKey: c.sharedKey(), SharedTokens: c.program.spec.SharedTokens,
		PromptTokens: c.promptTokens(), OutputTokens: c.step.OutputTokens,
	}
}

func (c *liveCall) sharedKey() string { return "shared:" + string(c.program.spec.Team) }

// startProgram starts a program.
func (d *driver) startProgram(spec *Program) {
	p := &liveProgram{spec: spec, runningAt: make(map[*simEngine]int)}
	d.programs[spec.ID] = p
	d.runChain(p, spec.Chain, 0, func(int) { d.programFinished(p) })
}

// runChain makes the calls of a chain sequentially.
func (d *driver) runChain(p *liveProgram, chain Chain, contextTokens int, onDone func(contextTokens int)) {
	if len(chain) == 0 || p.failed {
		onDone(contextTokens)
		return
	}
	step, rest := chain[0], chain[1:]
	d.startCall(p, step, contextTokens, func() {
		grown := contextTokens + step.InputTokens + step.OutputTokens
		d.runAgents(p, step.Agents, grown, func() {
			if len(rest) == 0 {
				onDone(grown)
				return
			}
			d.clock.after(step.Pause, func() { d.runChain(p, rest, grown, onDone) })
		})
	})
}

// runAgents runs sub-agents concurrently and calls onDone when all are done.
func (d *driver) runAgents(p *liveProgram, agents []Chain, contextTokens int, onDone func()) {
	if len(agents) == 0 {
		onDone()
		return
	}
	remaining := len(agents)
	for _, agent := range agents {
		d.runChain(p, agent, contextTokens, func(int) {
			remaining--
			if remaining == 0 {
				onDone()
			}
		})
	}
}

// startCall requests a permit for a new call, which runs once the permit is granted.
func (d *driver) startCall(p *liveProgram, step Step, contextTokens int, onDone func()) {
	d.requestPermit(&liveCall{program: p, step: step, contextTokens: contextTokens, onDone: onDone, firstRequestedAt: d.clock.now})
}

func (d *driver) requestPermit(c *liveCall) {
	p := c.program
	d.runCount++
	c.run = structs.RunID(fmt.Sprintf("run-%d", d.runCount))
	c.requestedAt = d.clock.now
	d.calls[c.run] = c
	p.activeCalls++
	timeout := p.spec.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	age := d.clock.now - p.spec.Arrival
	d.sendToDispatcher(&structs.PermitRequest{
		Pool: benchPool, Ref: structs.CallRef{Program: p.spec.ID, Run: c.run},
		Team: p.spec.Team, Priority: p.spec.Priority, Weight: p.spec.Weight,
		Served: p.served, Age: age, Slack: p.spec.Deadline - age, HasDeadline: p.spec.Deadline > 0,
		Turns: p.turns, Attempt: c.attempt, Remaining: timeout,
		PromptTokens: int64(c.promptTokens()), MaxTokens: 4096,
		SharedKey: c.sharedKey(), SharedTokens: int64(p.spec.SharedTokens),
	})
}

// callFinished handles the end of a call that ran.
func (d *driver) callFinished(c *liveCall) {
	p := c.program
	delete(d.calls, c.run)
	p.callEnded(d.enginesByTarget[c.target])
	p.activeCalls--
	p.served += c.duration
	p.turns++
	p.consecutiveRefusals = 0
	d.sample.recordCall(d, c)
	d.sendToDispatcher(&structs.PermitFinish{
		Pool: benchPool, Ref: structs.CallRef{Program: p.spec.ID, Run: c.run},
		Target: c.target, Usage: c.usage, Took: c.duration, FirstToken: c.timeToFirstToken,
		CacheTokens: c.usage.PromptTokens + c.usage.CompletionTokens, Pausing: p.activeCalls == 0,
	})
	c.onDone()
}

// callNotSent retries a call that its engine refused to run.
func (d *driver) callNotSent(c *liveCall) {
	p := c.program
	delete(d.calls, c.run)
	p.callEnded(d.enginesByTarget[c.target])
	p.activeCalls--
	d.sample.NotSent++
	d.sendToDispatcher(&structs.PermitFinish{
		Pool: benchPool, Ref: structs.CallRef{Program: p.spec.ID, Run: c.run},
		Target: c.target, Failure: structs.RunNotSent,
	})
	c.attempt++
	d.requestPermit(c)
}

// callRefused retries a call that the dispatcher refused after the given delay.
func (d *driver) callRefused(c *liveCall, m *structs.PermitRefuse) {
	p := c.program
	delete(d.calls, c.run)
	p.activeCalls--
	c.attempt = 0
	p.consecutiveRefusals++
	d.sample.recordRefusal(d, c, d.clock.now-c.requestedAt)
	if p.consecutiveRefusals > maxRefusals || p.failed {
		p.failed = true
		c.onDone()
		return
	}
	d.clock.after(max(m.RetryAfter, time.Millisecond), func() { d.requestPermit(c) })
}

// programFinished closes a program, after the idle timeout if it was abandoned.
func (d *driver) programFinished(p *liveProgram) {
	p.finished = true
	d.sample.recordProgram(d, p)
	wait := closeDelay
	if p.spec.Abandoned {
		wait = idleTimeout
	}
	d.clock.after(wait, func() {
		d.openPrograms--
		d.sendToDispatcher(&structs.ProgramEnded{Pool: benchPool, Program: p.spec.ID})
	})
}
