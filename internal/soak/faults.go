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

// injector injects faults, several at a time.
type injector struct {
	deployment *deployment
	rng        *rand.Rand
	started    time.Time

	mu sync.Mutex
	// log lists the faults with their start times.
	log []string
	err error
	// storeFault is the number of the last fault of the store, which is the one in
	// force.
	storeFault int
	// restarting holds the instances with a restart in progress.
	restarting map[*instance]bool
	work       sync.WaitGroup
}

// maxFaultPause bounds the pause between the starts of two faults.
const maxFaultPause = 500 * time.Millisecond

// run injects faults until the context ends, then waits until all are over.
func (inj *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, time.Duration(inj.rng.Int64N(int64(maxFaultPause))))
		inj.injectNext()
	}
	inj.work.Wait()
	inj.deployment.store.Set(metastore.Fault{})
}

// faultKind is a kind of fault with its relative frequency.
type faultKind struct {
	weight int
	inject func(inj *injector, inst *instance, duration time.Duration)
}

var faultKinds = []faultKind{
	{2, func(inj *injector, inst *instance, duration time.Duration) {
		inj.restart(inst, "kill", duration/4, inst.kill)
	}},
	{3, func(inj *injector, inst *instance, _ time.Duration) { inj.restart(inst, "SIGTERM", 0, inst.terminate) }},
	{2, (*injector).pauseInstance},
	{1, (*injector).killAll},
	{3, func(inj *injector, _ *instance, duration time.Duration) { inj.failStore(duration) }},
	{1, (*injector).failLink},
	{1, (*injector).injectTargetFaults},
	{1, (*injector).crashTarget},
	{1, (*injector).drainTarget},
	{1, (*injector).changeSettings},
}

// injectNext injects one random fault.
func (inj *injector) injectNext() {
	inst := inj.deployment.instances[inj.rng.IntN(len(inj.deployment.instances))]
	duration := time.Duration(50+inj.rng.IntN(1800)) * time.Millisecond
	total := 0
	for _, f := range faultKinds {
		total += f.weight
	}
	pick := inj.rng.IntN(total)
	for _, f := range faultKinds {
		if pick < f.weight {
			f.inject(inj, inst, duration)
			return
		}
		pick -= f.weight
	}
}

func (inj *injector) pauseInstance(inst *instance, duration time.Duration) {
	inj.inject("pause "+inst.name, duration, func() error { inst.pause(duration); return nil })
}

// killAll kills all instances at once, in one of three cases.
func (inj *injector) killAll(_ *instance, duration time.Duration) {
	if inj.rng.IntN(3) != 0 {
		return
	}
	inj.deployment.history.recordAllKilled()
	for _, each := range inj.deployment.instances {
		inj.restart(each, "kill all", duration/4, each.kill)
	}
}

func (inj *injector) injectTargetFaults(_ *instance, duration time.Duration) {
	t := inj.deployment.randomTarget(inj.rng)
	probability := 0.1 + 0.8*inj.rng.Float64()
	inj.inject(fmt.Sprintf("faults at %s, probability %.1f", t.id, probability), duration, func() error {
		t.setFaultProbability(probability)
		time.Sleep(duration)
		t.setFaultProbability(0)
		return nil
	})
}

func (inj *injector) crashTarget(*instance, time.Duration) {
	t := inj.deployment.randomTarget(inj.rng)
	inj.inject("crash "+t.id, registrationTTL, func() error { return inj.deployment.crashTarget(t) })
}

func (inj *injector) drainTarget(*instance, time.Duration) {
	t := inj.deployment.randomTarget(inj.rng)
	inj.inject("drain "+t.id, targetDrainTime, func() error { return inj.deployment.drainTarget(t, t.version) })
}

func (inj *injector) changeSettings(*instance, time.Duration) {
	inj.inject("settings", 0, func() error { inj.deployment.publishSettings(); return nil })
}

// inject logs a fault and runs it in the background.
func (inj *injector) inject(description string, duration time.Duration, apply func() error) {
	inj.mu.Lock()
	inj.log = append(inj.log, fmt.Sprintf("%7.3f s, for %s: %s", time.Since(inj.started).Seconds(), duration, description))
	inj.mu.Unlock()
	inj.work.Go(func() {
		if err := apply(); err != nil {
			inj.mu.Lock()
			inj.err = err
			inj.mu.Unlock()
		}
	})
}

// restart ends the current incarnation of an instance and starts the next one after
// the downtime, unless a restart is already in progress.
func (inj *injector) restart(inst *instance, action string, downtime time.Duration, stop func()) {
	inj.mu.Lock()
	busy := inj.restarting[inst]
	inj.restarting[inst] = true
	inj.mu.Unlock()
	if busy {
		return
	}
	inj.inject(action+" "+inst.name, downtime, func() error {
		stop()
		time.Sleep(downtime)
		err := inst.start(inj.deployment.options.Binary, inj.deployment.options.Dir, inj.deployment.history)
		inj.mu.Lock()
		inj.restarting[inst] = false
		inj.mu.Unlock()
		return err
	})
}

// failStore injects a random fault of the store, for all or some topics.
func (inj *injector) failStore(duration time.Duration) {
	fault := []metastore.Fault{
		{Status: 503}, {Status: 429}, {Unresponsive: true}, {Reset: true}, {DropResponse: true},
		{DropResponse: true, ApplyDelay: duration}, {Delay: 150 * time.Millisecond},
	}[inj.rng.IntN(7)]
	if inj.rng.IntN(3) == 0 {
		fault.Topics = []string{platform.TopicOperator, platform.TopicTargets}
	}
	if inj.rng.IntN(4) == 0 {
		inj.inject("store drops history", 0, func() error {
			inj.deployment.store.DropHistory(platform.TopicOperator, 0)
			inj.deployment.store.DropHistory(platform.TopicTargets, 0)
			return nil
		})
	}
	inj.setStoreFault(fault, duration)
}

// setStoreFault sets a fault of the store for the duration, or until another one
// replaces it.
func (inj *injector) setStoreFault(fault metastore.Fault, duration time.Duration) {
	inj.mu.Lock()
	inj.storeFault++
	number := inj.storeFault
	inj.mu.Unlock()
	inj.inject(fmt.Sprintf("store %+v", fault), duration, func() error {
		inj.deployment.store.Set(fault)
		time.Sleep(duration)
		inj.mu.Lock()
		defer inj.mu.Unlock()
		if inj.storeFault == number {
			inj.deployment.store.Set(metastore.Fault{})
		}
		return nil
	})
}

// failLink breaks the link of an instance to the store, or from other instances.
func (inj *injector) failLink(inst *instance, duration time.Duration) {
	link, name := inst.storeRelay, "link to the store of "
	if inj.rng.IntN(2) == 0 {
		link, name = inst.peerRelay, "link from other instances to "
	}
	mode := inj.rng.IntN(5)
	inj.inject(fmt.Sprintf("%s%s fails, mode %d", name, inst.name, mode), duration, func() error {
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
