package bench

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// runner is one engine on the virtual clock.
type runner struct {
	driver   *driver
	target   structs.Target
	model    *engine.Model
	stepping bool
	// runs are the calls there by run.
	runs map[string]*liveCall
	// holds measures the waste of its cache.
	holds holdMeter
}

func (r *runner) submit(c *liveCall) {
	if r.driver.workload.FailingRunner && r.faulty() {
		r.driver.clock.after(r.driver.options.HopDelay, func() { r.driver.notSent(c) })
		return
	}
	r.runs[string(c.run)] = c
	c.submitted = r.driver.clock.now
	if err := r.model.Submit(c.engineRequest()); err != nil {
		panic(err) // a run is submitted once
	}
	r.startStep()
}

func (r *runner) startStep() {
	if r.stepping || r.model.Idle() {
		return
	}
	r.stepping = true
	r.driver.clock.after(r.model.StepDuration()*time.Duration(r.slowness()), r.endStep)
}

// faulty tells whether this is the engine with a fault, in the time of it.
func (r *runner) faulty() bool {
	now, third := r.driver.clock.now, r.driver.options.Duration/3
	return r == r.driver.runners[0] && now > third && now < 2*third
}

// slowness is the factor of a slow runner.
func (r *runner) slowness() int {
	if slow := r.driver.workload.SlowRunner; slow > 0 && r.faulty() {
		return slow
	}
	return 1
}

func (r *runner) endStep() {
	r.stepping = false
	result := r.model.Step()
	now := r.driver.clock.now
	for _, token := range result.Tokens {
		if token.Index == 0 {
			r.runs[token.ID].firstToken = now - r.runs[token.ID].submitted
		}
	}
	for _, finished := range result.Finished {
		c := r.runs[finished.ID]
		delete(r.runs, finished.ID)
		c.usage = structs.Usage{
			PromptTokens: int64(finished.PromptTokens), CachedTokens: int64(finished.CachedTokens),
			CompletionTokens: int64(finished.CompletionTokens),
		}
		c.took = now - c.submitted
		r.holds.used(c.program.spec.ID, c.usage.CachedTokens > int64(c.program.spec.SharedTokens))
		r.driver.clock.after(r.driver.options.HopDelay, func() { r.driver.answered(c) })
	}
	r.reportCache()
	r.startStep()
}

// reportCache delivers cache events late, some not at all and some twice.
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

// reportLoad delivers the load of now after the lag.
func (r *runner) reportLoad() {
	state := r.model.CacheState()
	load := wire.EngineLoad{
		Running: r.model.Running(), Waiting: r.model.Waiting(), Slots: r.model.Slots(),
		CacheTokens: state.Used, CacheCapacity: state.Capacity,
	}
	r.holds.sample(r, state, r.driver.options.LoadInterval)
	r.driver.clock.after(r.driver.options.LoadLag, func() {
		r.driver.tick(structs.TargetLoad{Target: r.target.ID, Load: load})
	})
}

// release drops a program's cache as a ReleaseCache asks.
func (r *runner) release(program structs.ProgramID) {
	d := r.driver
	d.clock.after(d.options.HopDelay, func() {
		held := r.model.Release(string(program))
		d.clock.after(d.options.HopDelay, func() {
			d.tick(structs.CacheReleased{Target: r.target.ID, Program: program, Done: held == 0})
		})
	})
}
