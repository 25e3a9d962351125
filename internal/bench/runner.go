package bench

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// runner simulates one engine on the virtual clock.
type runner struct {
	driver   *driver
	target   structs.Target
	model    *engine.Model
	stepping bool
	// calls holds the submitted calls by run ID.
	calls      map[string]*liveCall
	wasteMeter wasteMeter
}

func (r *runner) submit(c *liveCall) {
	if r.driver.workload.FailingRunner && r.isFaulty() {
		r.driver.clock.after(r.driver.options.HopDelay, func() { r.driver.callNotSent(c) })
		return
	}
	r.calls[string(c.run)] = c
	c.submittedAt = r.driver.clock.now
	if err := r.model.Submit(c.engineRequest()); err != nil {
		panic(err) // each run is submitted only once
	}
	r.startStep()
}

func (r *runner) startStep() {
	if r.stepping || r.model.Idle() {
		return
	}
	r.stepping = true
	r.driver.clock.after(r.model.StepDuration()*time.Duration(r.slowdownFactor()), r.endStep)
}

// isFaulty reports whether the engine currently has the fault of the workload. Only
// the first engine has it, in the middle third of the run.
func (r *runner) isFaulty() bool {
	now, third := r.driver.clock.now, r.driver.options.Duration/3
	return r == r.driver.runners[0] && now > third && now < 2*third
}

// slowdownFactor returns the factor by which steps take longer.
func (r *runner) slowdownFactor() int {
	if factor := r.driver.workload.SlowRunner; factor > 0 && r.isFaulty() {
		return factor
	}
	return 1
}

func (r *runner) endStep() {
	r.stepping = false
	result := r.model.Step()
	now := r.driver.clock.now
	for _, token := range result.Tokens {
		if token.Index == 0 {
			r.calls[token.ID].timeToFirstToken = now - r.calls[token.ID].submittedAt
		}
	}
	for _, finished := range result.Finished {
		c := r.calls[finished.ID]
		delete(r.calls, finished.ID)
		c.usage = structs.Usage{
			PromptTokens: int64(finished.PromptTokens), CachedTokens: int64(finished.CachedTokens),
			CompletionTokens: int64(finished.CompletionTokens),
		}
		c.duration = now - c.submittedAt
		r.wasteMeter.recordUse(c.program.spec.ID, c.usage.CachedTokens > int64(c.program.spec.SharedTokens))
		r.driver.clock.after(r.driver.options.HopDelay, func() { r.driver.callFinished(c) })
	}
	r.reportCache()
	r.startStep()
}

// reportCache delivers cache events with a delay. Some reports are lost or
// delivered twice.
func (r *runner) reportCache() {
	events := r.model.DrainCacheEvents()
	d := r.driver
	if len(events) == 0 {
		return
	}
	lost := d.random.Float64() < d.options.CacheLossRate
	repeated := d.random.Float64() < d.options.CacheDuplicateRate
	if lost {
		return
	}
	report := structs.TargetCache{Target: r.target.ID, Events: events}
	d.clock.after(d.options.CacheLag, func() { d.tick(report) })
	if repeated {
		d.clock.after(2*d.options.CacheLag, func() { d.tick(report) })
	}
}

// reportLoad samples the load and delivers it with a delay.
func (r *runner) reportLoad() {
	state := r.model.CacheState()
	load := wire.EngineLoad{
		Running: r.model.Running(), Waiting: r.model.Waiting(), Slots: r.model.Slots(),
		CacheTokens: state.Used, CacheCapacity: state.Capacity,
	}
	r.wasteMeter.sample(r, state, r.driver.options.LoadInterval)
	r.driver.clock.after(r.driver.options.LoadLag, func() {
		r.driver.tick(structs.TargetLoad{Target: r.target.ID, Load: load})
	})
}

// release executes a ReleaseCache command.
func (r *runner) release(program structs.ProgramID) {
	d := r.driver
	d.clock.after(d.options.HopDelay, func() {
		held := r.model.Release(string(program))
		d.clock.after(d.options.HopDelay, func() {
			d.tick(structs.CacheReleased{Target: r.target.ID, Program: program, Done: held == 0})
		})
	})
}
