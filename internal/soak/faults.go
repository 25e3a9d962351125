package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

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
		pause(ctx, time.Duration(f.rng.Int64N(int64(between))))
		f.next()
	}
	f.work.Wait()
	f.deployment.store.Set(metastore.Fault{})
}

// next begins one fault.
func (f *faults) next() {
	d := f.deployment
	m := d.machines[f.rng.IntN(len(d.machines))]
	lasts := time.Duration(50+f.rng.IntN(1800)) * time.Millisecond
	switch f.rng.IntN(16) {
	case 0, 1:
		f.restart(m, "kill", lasts/4, m.kill)
	case 2, 3, 4:
		f.restart(m, "SIGTERM", 0, m.terminate)
	case 5, 6:
		f.begin("pause "+m.name, lasts, func() error { m.pause(lasts); return nil })
	case 7:
		if f.rng.IntN(3) == 0 {
			for _, each := range d.machines {
				f.restart(each, "kill all", lasts/4, each.kill)
			}
		}
	case 8, 9, 10:
		f.storeFails(lasts)
	case 11:
		f.linkFails(m, lasts)
	case 12:
		t := d.anyTarget(f.rng)
		share := 0.1 + 0.8*f.rng.Float64()
		f.begin(fmt.Sprintf("trouble at %s, share %.1f", t.id, share), lasts, func() error {
			t.setTrouble(share)
			time.Sleep(lasts)
			t.setTrouble(0)
			return nil
		})
	case 13:
		t := d.anyTarget(f.rng)
		f.begin("crash "+t.id, lapseTime, func() error { return d.crashTarget(t) })
	case 14:
		t := d.anyTarget(f.rng)
		f.begin("drain "+t.id, drainTime, func() error { return d.drainTarget(t) })
	case 15:
		f.begin("settings", 0, func() error { d.publish(); return nil })
	}
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
