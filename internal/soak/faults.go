package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/platform"
)

// injector brings faults about, several at a time.
type injector struct {
	deployment *deployment
	rng        *rand.Rand
	started    time.Time

	mu sync.Mutex
	// log tell what happened when.
	log []string
	err error
	// storeFault numbers the store's faults: the newest is the one in force.
	storeFault int
	// restarting holds the machines with a restart under way.
	restarting map[*instance]bool
	work       sync.WaitGroup
}

// maxFaultPause bounds the pause between the beginnings of two faults.
const maxFaultPause = 500 * time.Millisecond

// run brings faults about until the context ends, then waits until each is over.
func (f *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, time.Duration(f.rng.Int64N(int64(maxFaultPause))))
		f.injectNext()
	}
	f.work.Wait()
	f.deployment.store.Set(metastore.Fault{})
}

// faultKind is a kind of fault with how often it is chosen, relative to the others.
type faultKind struct {
	weight int
	inject func(f *injector, inst *instance, duration time.Duration)
}

var faultKinds = []faultKind{
	{2, func(f *injector, inst *instance, duration time.Duration) {
		f.restart(inst, "kill", duration/4, inst.kill)
	}},
	{3, func(f *injector, inst *instance, _ time.Duration) { f.restart(inst, "SIGTERM", 0, inst.terminate) }},
	{2, (*injector).pauseInstance},
	{1, (*injector).killAll},
	{3, func(f *injector, _ *instance, duration time.Duration) { f.failStore(duration) }},
	{1, (*injector).failLink},
	{1, (*injector).injectTargetFaults},
	{1, (*injector).crashTarget},
	{1, (*injector).drainTarget},
	{1, (*injector).changeSettings},
}

// injectNext begins one fault.
func (f *injector) injectNext() {
	inst := f.deployment.instances[f.rng.IntN(len(f.deployment.instances))]
	duration := time.Duration(50+f.rng.IntN(1800)) * time.Millisecond
	total := 0
	for _, c := range faultKinds {
		total += c.weight
	}
	pick := f.rng.IntN(total)
	for _, c := range faultKinds {
		if pick < c.weight {
			c.inject(f, inst, duration)
			return
		}
		pick -= c.weight
	}
}

func (f *injector) pauseInstance(inst *instance, duration time.Duration) {
	f.inject("pause "+inst.name, duration, func() error { inst.pause(duration); return nil })
}

// killAll ends all instances at once, once in three times that it is chosen.
func (f *injector) killAll(_ *instance, duration time.Duration) {
	if f.rng.IntN(3) != 0 {
		return
	}
	for _, each := range f.deployment.instances {
		f.restart(each, "kill all", duration/4, each.kill)
	}
}

func (f *injector) injectTargetFaults(_ *instance, duration time.Duration) {
	t := f.deployment.randomTarget(f.rng)
	probability := 0.1 + 0.8*f.rng.Float64()
	f.inject(fmt.Sprintf("trouble at %s, share %.1f", t.id, probability), duration, func() error {
		t.setFaultProbability(probability)
		time.Sleep(duration)
		t.setFaultProbability(0)
		return nil
	})
}

func (f *injector) crashTarget(*instance, time.Duration) {
	t := f.deployment.randomTarget(f.rng)
	f.inject("crash "+t.id, registrationTTL, func() error { return f.deployment.crashTarget(t) })
}

func (f *injector) drainTarget(*instance, time.Duration) {
	t := f.deployment.randomTarget(f.rng)
	f.inject("drain "+t.id, targetDrainTime, func() error { return f.deployment.drainTarget(t) })
}

func (f *injector) changeSettings(*instance, time.Duration) {
	f.inject("settings", 0, func() error { f.deployment.publish(); return nil })
}

// inject carries a fault out beside the others.
func (f *injector) inject(what string, duration time.Duration, do func() error) {
	f.mu.Lock()
	f.log = append(f.log, fmt.Sprintf("%7.3f s, for %s: %s", time.Since(f.started).Seconds(), duration, what))
	f.mu.Unlock()
	f.work.Go(func() {
		if err := do(); err != nil {
			f.mu.Lock()
			f.err = err
			f.mu.Unlock()
		}
	})
}

// restart ends the life on a machine and starts the next a while later, unless
// another restart is under way there.
func (f *injector) restart(inst *instance, how string, down time.Duration, end func()) {
	f.mu.Lock()
	busy := f.restarting[inst]
	f.restarting[inst] = true
	f.mu.Unlock()
	if busy {
		return
	}
	f.inject(how+" "+inst.name, down, func() error {
		end()
		time.Sleep(down)
		err := inst.start(f.deployment.options.Binary, f.deployment.options.Dir, f.deployment.history)
		f.mu.Lock()
		f.restarting[inst] = false
		f.mu.Unlock()
		return err
	})
}

// failStore lets the store fail in one of its ways, for all or some topics.
func (f *injector) failStore(duration time.Duration) {
	fault := []metastore.Fault{
		{Status: 503}, {Status: 429}, {Silent: true}, {Reset: true}, {LoseAnswer: true},
		{LoseAnswer: true, Late: duration}, {Delay: 150 * time.Millisecond},
	}[f.rng.IntN(7)]
	if f.rng.IntN(3) == 0 {
		fault.Topics = []string{platform.TopicOperator, platform.TopicTargets}
	}
	if f.rng.IntN(4) == 0 {
		f.inject("store drops history", 0, func() error {
			f.deployment.store.DropHistory(platform.TopicOperator, 0)
			f.deployment.store.DropHistory(platform.TopicTargets, 0)
			return nil
		})
	}
	f.setStoreFault(fault, duration)
}

// setStoreFault puts a fault of the store in force for a while, unless another one
// follows before.
func (f *injector) setStoreFault(fault metastore.Fault, duration time.Duration) {
	f.mu.Lock()
	f.storeFault++
	number := f.storeFault
	f.mu.Unlock()
	f.inject(fmt.Sprintf("store %+v", fault), duration, func() error {
		f.deployment.store.Set(fault)
		time.Sleep(duration)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.storeFault == number {
			f.deployment.store.Set(metastore.Fault{})
		}
		return nil
	})
}

// failLink lets one machine's link to the store or from the others fail.
func (f *injector) failLink(inst *instance, duration time.Duration) {
	link, name := inst.store, "link to the store of "
	if f.rng.IntN(2) == 0 {
		link, name = inst.peers, "link from the others to "
	}
	mode := f.rng.IntN(5)
	f.inject(fmt.Sprintf("%s%s fails, way %d", name, inst.name, mode), duration, func() error {
		inst.current().markDisrupted()
		switch mode {
		case 0:
			link.Reset()
		case 1:
			link.Delay(80 * time.Millisecond)
		default:
			link.Block(mode != 3, mode != 4)
		}
		time.Sleep(duration)
		link.Delay(0)
		link.Block(false, false)
		return nil
	})
}
