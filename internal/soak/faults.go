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

// faults brings faults about, several at a time.
type faults struct {
	deployment *deployment
	rng        *rand.Rand
	begun      time.Time

	mu sync.Mutex
	// lines tell what happened when.
	lines []string
	err   error
	// storeFault numbers the store's faults: the newest is the one in force.
	storeFault int
	// restarting holds the machines with a restart under way.
	restarting map[*machine]bool
	work       sync.WaitGroup
}

// between bounds the pause between the beginnings of two faults.
const between = 500 * time.Millisecond

// run brings faults about until the context ends, then waits until each is over.
func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, time.Duration(f.rng.Int64N(int64(between))))
		f.next()
	}
	f.work.Wait()
	f.deployment.store.Set(metastore.Fault{})
}

// choice is a kind of fault with how often it is chosen, relative to the others.
type choice struct {
	weight int
	begin  func(f *faults, m *machine, lasts time.Duration)
}

var choices = []choice{
	{2, func(f *faults, m *machine, lasts time.Duration) { f.restart(m, "kill", lasts/4, m.kill) }},
	{3, func(f *faults, m *machine, _ time.Duration) { f.restart(m, "SIGTERM", 0, m.terminate) }},
	{2, (*faults).pauseMachine},
	{1, (*faults).killAll},
	{3, func(f *faults, _ *machine, lasts time.Duration) { f.storeFails(lasts) }},
	{1, (*faults).linkFails},
	{1, (*faults).troubleTarget},
	{1, (*faults).crashTarget},
	{1, (*faults).drainTarget},
	{1, (*faults).changeSettings},
}

// next begins one fault.
func (f *faults) next() {
	m := f.deployment.machines[f.rng.IntN(len(f.deployment.machines))]
	lasts := time.Duration(50+f.rng.IntN(1800)) * time.Millisecond
	total := 0
	for _, c := range choices {
		total += c.weight
	}
	drawn := f.rng.IntN(total)
	for _, c := range choices {
		if drawn < c.weight {
			c.begin(f, m, lasts)
			return
		}
		drawn -= c.weight
	}
}

func (f *faults) pauseMachine(m *machine, lasts time.Duration) {
	f.begin("pause "+m.name, lasts, func() error { m.pause(lasts); return nil })
}

// killAll ends all instances at once, once in three times that it is chosen.
func (f *faults) killAll(_ *machine, lasts time.Duration) {
	if f.rng.IntN(3) != 0 {
		return
	}
	for _, each := range f.deployment.machines {
		f.restart(each, "kill all", lasts/4, each.kill)
	}
}

func (f *faults) troubleTarget(_ *machine, lasts time.Duration) {
	t := f.deployment.anyTarget(f.rng)
	share := 0.1 + 0.8*f.rng.Float64()
	f.begin(fmt.Sprintf("trouble at %s, share %.1f", t.id, share), lasts, func() error {
		t.setTrouble(share)
		time.Sleep(lasts)
		t.setTrouble(0)
		return nil
	})
}

func (f *faults) crashTarget(*machine, time.Duration) {
	t := f.deployment.anyTarget(f.rng)
	f.begin("crash "+t.id, lapseTime, func() error { return f.deployment.crashTarget(t) })
}

func (f *faults) drainTarget(*machine, time.Duration) {
	t := f.deployment.anyTarget(f.rng)
	f.begin("drain "+t.id, drainTime, func() error { return f.deployment.drainTarget(t) })
}

func (f *faults) changeSettings(*machine, time.Duration) {
	f.begin("settings", 0, func() error { f.deployment.publish(); return nil })
}

// begin carries a fault out beside the others.
func (f *faults) begin(what string, lasts time.Duration, do func() error) {
	f.mu.Lock()
	f.lines = append(f.lines, fmt.Sprintf("%7.3f s, for %s: %s", time.Since(f.begun).Seconds(), lasts, what))
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
func (f *faults) restart(m *machine, how string, down time.Duration, end func()) {
	f.mu.Lock()
	busy := f.restarting[m]
	f.restarting[m] = true
	f.mu.Unlock()
	if busy {
		return
	}
	f.begin(how+" "+m.name, down, func() error {
		end()
		time.Sleep(down)
		err := m.start(f.deployment.options.Binary, f.deployment.options.Dir, f.deployment.history)
		f.mu.Lock()
		f.restarting[m] = false
		f.mu.Unlock()
		return err
	})
}

// storeFails lets the store fail in one of its ways, for all or some topics.
func (f *faults) storeFails(lasts time.Duration) {
	fault := []metastore.Fault{
		{Status: 503}, {Status: 429}, {Silent: true}, {Reset: true}, {LoseAnswer: true},
		{LoseAnswer: true, Late: lasts}, {Delay: 150 * time.Millisecond},
	}[f.rng.IntN(7)]
	if f.rng.IntN(3) == 0 {
		fault.Topics = []string{platform.TopicOperator, platform.TopicTargets}
	}
	if f.rng.IntN(4) == 0 {
		f.begin("store drops history", 0, func() error {
			f.deployment.store.DropHistory(platform.TopicOperator, 0)
			f.deployment.store.DropHistory(platform.TopicTargets, 0)
			return nil
		})
	}
	f.setStore(fault, lasts)
}

// setStore puts a fault of the store in force for a while, unless another one
// follows before.
func (f *faults) setStore(fault metastore.Fault, lasts time.Duration) {
	f.mu.Lock()
	f.storeFault++
	number := f.storeFault
	f.mu.Unlock()
	f.begin(fmt.Sprintf("store %+v", fault), lasts, func() error {
		f.deployment.store.Set(fault)
		time.Sleep(lasts)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.storeFault == number {
			f.deployment.store.Set(metastore.Fault{})
		}
		return nil
	})
}

// linkFails lets one machine's link to the store or from the others fail.
func (f *faults) linkFails(m *machine, lasts time.Duration) {
	link, name := m.store, "link to the store of "
	if f.rng.IntN(2) == 0 {
		link, name = m.peers, "link from the others to "
	}
	way := f.rng.IntN(5)
	f.begin(fmt.Sprintf("%s%s fails, way %d", name, m.name, way), lasts, func() error {
		m.now().disturb()
		switch way {
		case 0:
			link.Reset()
		case 1:
			link.Delay(80 * time.Millisecond)
		default:
			link.Block(way != 3, way != 4)
		}
		time.Sleep(lasts)
		link.Delay(0)
		link.Block(false, false)
		return nil
	})
}
