package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
)

// Bounds of the faults of load.
const (
	// betweenLoads bounds the pause between two of them, loadLasts how long each
	// lasts.
	betweenLoads = 2 * time.Second
	loadLasts    = 2500 * time.Millisecond
	// slowestTarget is the most that a slow target's work is stretched, fewestSlots
	// what is left of the slots of a small one.
	slowestTarget = 8
	fewestSlots   = 2
	// burstShare is how many more programs run in a burst, in parts of the usual.
	burstShare = 3
	// slowestAppend is the most that each call to a slow store takes longer.
	slowestAppend = 400 * time.Millisecond
	// heavyInput is the length of the input of a turn whose caller does not read,
	// in bytes: more than the buffers of its connection hold of the answer.
	heavyInput = 48 << 10
)

// runLoads overloads the deployment in one way or another until the context ends.
// It draws from numbers of its own, so that the other faults of a seed stay what
// they were.
func (f *faults) runLoads(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, time.Duration(rng.Int64N(int64(betweenLoads))))
		lasts := time.Duration(rng.Int64N(int64(loadLasts)))
		switch rng.IntN(5) {
		case 0, 1:
			f.slowTargets(ctx, rng, lasts)
		case 2:
			f.burst(ctx, rng, lasts)
		case 3:
			f.setStore(metastore.Fault{Delay: time.Duration(rng.Int64N(int64(slowestAppend)))}, lasts)
		case 4:
			f.unreadAnswers(ctx, rng, lasts)
		}
	}
}

// slowTargets makes some targets of both services slower, or smaller.
func (f *faults) slowTargets(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
	for range 1 + rng.IntN(3) {
		t := f.deployment.anyTarget(rng)
		factor, slots := int64(1+rng.IntN(slowestTarget)), int64(targetSlots)
		if rng.IntN(2) == 0 {
			slots = fewestSlots
		}
		f.begin(fmt.Sprintf("%s %d times slower with %d slots", t.id, factor, slots), lasts, func() error {
			t.slowness.Store(factor)
			t.slots.Store(slots)
			delay.Sleep(ctx, lasts)
			t.slowness.Store(1)
			t.slots.Store(targetSlots)
			return nil
		})
	}
}

// burst runs more programs for a while.
func (f *faults) burst(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
	seed := rng.Uint64() >> 1
	f.begin("burst of programs", lasts, func() error {
		during, stop := context.WithTimeout(ctx, lasts)
		defer stop()
		var work sync.WaitGroup
		for i := range burstShare * f.deployment.options.Programs {
			work.Go(func() { f.deployment.runPrograms(during, seed+uint64(i)<<20) })
		}
		work.Wait()
		return nil
	})
}

// unreadAnswers has some callers ask for long answers that they do not read for
// a while, or never.
func (f *faults) unreadAnswers(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
	seed := rng.Uint64()
	f.begin("callers that do not read", lasts, func() error {
		var work sync.WaitGroup
		for i := range f.deployment.options.Programs {
			c := f.deployment.newCaller(seed + uint64(i))
			work.Go(func() { c.leaveUnread(ctx, lasts) })
		}
		work.Wait()
		return nil
	})
}

// leaveUnread makes a turn with a long answer and reads it late.
func (c *caller) leaveUnread(ctx context.Context, lasts time.Duration) {
	defer c.client.CloseIdleConnections()
	program := fmt.Sprintf("unread%x", c.rng.Uint64())
	c.deployment.history.open(program, turnMost)
	q := turnOf(program, turnMost, eventsPerTurn, c.rng.Uint64())
	q.body += strings.Repeat("x", heavyInput)
	q.readAfter = lasts
	c.send(ctx, q)
}
