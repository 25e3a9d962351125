package bench

import (
	"fmt"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// liveProgram is a program that runs.
type liveProgram struct {
	spec   *Program
	served time.Duration
	turns  int64
	// calls counts its calls that wait or run.
	calls int
	// at counts its running calls by engine.
	at map[*runner]int
	// left is set when the program makes no further call, whether or not
	// it said so.
	left    bool
	refused int
	failed  bool
}

func (p *liveProgram) enter(r *runner) { p.at[r]++ }

func (p *liveProgram) leave(r *runner) { p.at[r]-- }

func (p *liveProgram) runsAt(r *runner) bool { return p.at[r] > 0 }

// liveCall is a call that waits or runs.
type liveCall struct {
	program *liveProgram
	run     structs.RunID
	step    Step
	context int
	then    func()

	target                     structs.TargetID
	asked, granted, submitted  time.Duration
	firstToken, took, firstAsk time.Duration
	attempt                    int
	usage                      structs.Usage
}

func (c *liveCall) prompt() int { return c.program.spec.SharedTokens + c.context + c.step.InputTokens }

func (c *liveCall) engineRequest() engine.Request {
	return engine.Request{
		ID: string(c.run), Program: string(c.program.spec.ID),
		SharedKey: c.sharedKey(), SharedTokens: c.program.spec.SharedTokens,
		PromptTokens: c.prompt(), OutputTokens: c.step.OutputTokens,
	}
}

func (c *liveCall) sharedKey() string { return "shared:" + string(c.program.spec.Team) }

// arrive starts a program.
func (d *driver) arrive(spec *Program) {
	p := &liveProgram{spec: spec, at: make(map[*runner]int)}
	d.programs[spec.ID] = p
	d.runChain(p, spec.Chain, 0, func(int) { d.completed(p) })
}

// runChain makes the calls of a chain one after another.
func (d *driver) runChain(p *liveProgram, chain Chain, context int, then func(context int)) {
	if len(chain) == 0 || p.failed {
		then(context)
		return
	}
	step, rest := chain[0], chain[1:]
	d.call(p, step, context, func() {
		grown := context + step.InputTokens + step.OutputTokens
		d.runAgents(p, step.Agents, grown, func() {
			if len(rest) == 0 {
				then(grown)
				return
			}
			d.clock.after(step.Pause, func() { d.runChain(p, rest, grown, then) })
		})
	})
}

// runAgents runs sub-agents at once and goes on when all are done.
func (d *driver) runAgents(p *liveProgram, agents []Chain, context int, then func()) {
	if len(agents) == 0 {
		then()
		return
	}
	left := len(agents)
	for _, agent := range agents {
		d.runChain(p, agent, context, func(int) {
			left--
			if left == 0 {
				then()
			}
		})
	}
}

// call asks the dispatcher for a permit and runs the call once it has one.
func (d *driver) call(p *liveProgram, step Step, context int, then func()) {
	d.ask(&liveCall{program: p, step: step, context: context, then: then, firstAsk: d.clock.now})
}

func (d *driver) ask(c *liveCall) {
	p := c.program
	d.runs++
	c.run = structs.RunID(fmt.Sprintf("run-%d", d.runs))
	c.asked = d.clock.now
	d.calls[c.run] = c
	p.calls++
	timeout := p.spec.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	age := d.clock.now - p.spec.Arrival
	d.toDispatcher(&structs.PermitRequest{
		Pool: benchPool, Ref: structs.CallRef{Program: p.spec.ID, Run: c.run},
		Team: p.spec.Team, Priority: p.spec.Priority, Weight: p.spec.Weight,
		Served: p.served, Age: age, Slack: p.spec.Deadline - age, HasDeadline: p.spec.Deadline > 0,
		Turns: p.turns, Attempt: c.attempt, Remaining: timeout,
		PromptTokens: int64(c.prompt()), MaxTokens: 4096,
		SharedKey: c.sharedKey(), SharedTokens: int64(p.spec.SharedTokens),
	})
}

// answered ends a call that ran.
func (d *driver) answered(c *liveCall) {
	p := c.program
	delete(d.calls, c.run)
	p.leave(d.byTarget[c.target])
	p.calls--
	p.served += c.took
	p.turns++
	p.refused = 0
	d.figures.call(d, c)
	d.toDispatcher(&structs.PermitFinish{
		Pool: benchPool, Ref: structs.CallRef{Program: p.spec.ID, Run: c.run},
		Target: c.target, Usage: c.usage, Took: c.took, FirstToken: c.firstToken,
		CacheTokens: c.usage.PromptTokens + c.usage.CompletionTokens, Pausing: p.calls == 0,
	})
	c.then()
}

// notSent tries a call again that its engine refused without running it.
func (d *driver) notSent(c *liveCall) {
	p := c.program
	delete(d.calls, c.run)
	p.leave(d.byTarget[c.target])
	p.calls--
	d.figures.NotSent++
	d.toDispatcher(&structs.PermitFinish{
		Pool: benchPool, Ref: structs.CallRef{Program: p.spec.ID, Run: c.run},
		Target: c.target, Failure: structs.RunNotSent,
	})
	c.attempt++
	d.ask(c)
}

// refused tries a refused call again when it was told to.
func (d *driver) refused(c *liveCall, m *structs.PermitRefuse) {
	p := c.program
	delete(d.calls, c.run)
	p.calls--
	c.attempt = 0
	p.refused++
	d.figures.refuse(d, c, d.clock.now-c.asked)
	if p.refused > maxRefusals || p.failed {
		p.failed = true
		c.then()
		return
	}
	d.clock.after(max(m.RetryAfter, time.Millisecond), func() { d.ask(c) })
}

// completed closes a program, or leaves it to the idle timeout.
func (d *driver) completed(p *liveProgram) {
	p.left = true
	d.figures.program(d, p)
	wait := closeDelay
	if p.spec.Abandoned {
		wait = idleTimeout
	}
	d.clock.after(wait, func() {
		d.open--
		d.toDispatcher(&structs.ProgramEnded{Pool: benchPool, Program: p.spec.ID})
	})
}
