package bench

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// simEngine simulates one engine on the virtual clock.
type simEngine struct {
	driver   *driver
	target   structs.Target
	model    *engine.Model
	stepping bool
	// calls holds the submitted calls by run ID.
	calls      map[string]*liveCall
	wasteMeter wasteMeter
}

func (e *simEngine) submit(c *liveCall) {
	if e.driver.workload.FailingEngine && e.isFaulty() {
		e.driver.clock.after(e.driver.options.HopDelay, func() { e.driver.callNotSent(c) })
		return
	}
	e.calls[string(c.run)] = c
	c.submittedAt = e.driver.clock.now
	if err := e.model.Submit(c.engineRequest()); err != nil {
		panic(err) // each run is submitted only once
	}
	e.startStep()
}

func (e *simEngine) startStep() {
	if e.stepping || e.model.Idle() {
		return
	}
	e.stepping = true
	e.driver.clock.after(e.model.StepDuration()*time.Duration(e.slowdownFactor()), e.endStep)
}

// isFaulty reports whether the engine currently has the fault of the workload. Only
// the first engine has it, in the middle third of the run.
func (e *simEngine) isFaulty() bool {
	now, third := e.driver.clock.now, e.driver.options.Duration/3
	return e == e.driver.engines[0] && now > third && now < 2*third
}

// slowdownFactor returns the factor by which steps take longer.
func (e *simEngine) slowdownFactor() int {
	if factor := e.driver.workload.SlowEngineFactor; factor > 0 && e.isFaulty() {
		return factor
	}
	return 1
}

func (e *simEngine) endStep() {
	e.stepping = false
	result := e.model.Step()
	now := e.driver.clock.now
	for _, token := range result.Tokens {
		if token.Index == 0 {
			e.calls[token.ID].timeToFirstToken = now - e.calls[token.ID].submittedAt
		}
	}
	for _, finished := range result.Finished {
		c := e.calls[finished.ID]
		delete(e.calls, finished.ID)
		c.usage = structs.Usage{
			PromptTokens: int64(finished.PromptTokens), CachedTokens: int64(finished.CachedTokens),
			CompletionTokens: int64(finished.CompletionTokens),
		}
		c.duration = now - c.submittedAt
		e.wasteMeter.recordUse(c.program.spec.ID, c.usage.CachedTokens > int64(c.program.spec.SharedTokens))
		e.driver.clock.after(e.driver.options.HopDelay, func() { e.driver.callFinished(c) })
	}
	e.reportCache()
	e.startStep()
}

// reportCache delivers cache events with a delay. Some reports are lost or
// delivered twice.
func (e *simEngine) reportCache() {
	events := e.model.DrainCacheEvents()
	d := e.driver
	if len(events) == 0 {
		return
	}
	lost := d.random.Float64() < d.options.CacheLossRate
	repeated := d.random.Float64() < d.options.CacheDuplicateRate
	if lost {
		return
	}
	report := structs.TargetCache{Target: e.target.ID, Events: events}
	d.clock.after(d.options.CacheLag, func() { d.tick(report) })
	if repeated {
		d.clock.after(2*d.options.CacheLag, func() { d.tick(report) })
	}
}

// reportLoad samples the load and delivers it with a delay.
func (e *simEngine) reportLoad() {
	state := e.model.CacheState()
	load := wire.EngineLoad{
		Running: e.model.Running(), Waiting: e.model.Waiting(), Slots: e.model.Slots(),
		CacheTokens: state.Used, CacheCapacity: state.Capacity,
	}
	e.wasteMeter.sample(e, state, e.driver.options.LoadInterval)
	e.driver.clock.after(e.driver.options.LoadLag, func() {
		e.driver.tick(structs.TargetLoad{Target: e.target.ID, Load: load})
	})
}

// release executes a ReleaseCache command.
func (e *simEngine) release(program structs.ProgramID) {
	d := e.driver
	d.clock.after(d.options.HopDelay, func() {
		held := e.model.Release(string(program))
		d.clock.after(d.options.HopDelay, func() {
			d.tick(structs.CacheReleased{Target: e.target.ID, Program: program, Done: held == 0})
		})
	})
}
