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
	// maxLoadFaultPause bounds the pause between two of them, maxLoadFaultDuration how long each
	// lasts.
	maxLoadFaultPause    = 2 * time.Second
	maxLoadFaultDuration = 2500 * time.Millisecond
	// maxSlowdown is the most that a slow target's work is stretched, minSlots
	// what is left of the slots of a small one.
	maxSlowdown = 8
	minSlots    = 2
	// burstFactor is how many more programs run in a burst, in parts of the usual.
	burstFactor = 3
	// maxStoreDelay is the most that each call to a slow store takes longer.
	maxStoreDelay = 400 * time.Millisecond
	// largeInputBytes is the length of the input of a turn whose caller does not read,
	// in bytes: more than the buffers of its connection hold of the answer.
	largeInputBytes = 48 << 10
)

// runLoadFaults overloads the deployment in one way or another until the context ends.
// It draws from numbers of its own, so that the other faults of a seed stay what
// they were.
func (inj *injector) runLoadFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, time.Duration(rng.Int64N(int64(maxLoadFaultPause))))
		duration := time.Duration(rng.Int64N(int64(maxLoadFaultDuration)))
		switch rng.IntN(5) {
		case 0, 1:
			inj.slowTargets(ctx, rng, duration)
		case 2:
			inj.burst(ctx, rng, duration)
		case 3:
			inj.setStoreFault(metastore.Fault{Delay: time.Duration(rng.Int64N(int64(maxStoreDelay)))}, duration)
		case 4:
			inj.startSlowReaders(ctx, rng, duration)
		}
	}
}

// slowTargets makes some targets of both services slower, or smaller.
func (inj *injector) slowTargets(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	for range 1 + rng.IntN(3) {
		t := inj.deployment.randomTarget(rng)
		factor, slots := int64(1+rng.IntN(maxSlowdown)), int64(targetSlots)
		if rng.IntN(2) == 0 {
			slots = minSlots
		}
		inj.inject(fmt.Sprintf("%s %d times slower with %d slots", t.id, factor, slots), duration, func() error {
			t.slowdown.Store(factor)
			t.slots.Store(slots)
			delay.Sleep(ctx, duration)
			t.slowdown.Store(1)
			t.slots.Store(targetSlots)
			return nil
		})
	}
}

// burst runs more programs for a while.
func (inj *injector) burst(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	seed := rng.Uint64() >> 1
	inj.inject("burst of programs", duration, func() error {
		burstCtx, stop := context.WithTimeout(ctx, duration)
		defer stop()
		var work sync.WaitGroup
		for i := range burstFactor * inj.deployment.options.Programs {
			work.Go(func() { inj.deployment.runPrograms(burstCtx, seed+uint64(i)<<20) })
		}
		work.Wait()
		return nil
	})
}

// startSlowReaders has some callers ask for long answers that they do not read for
// a while, or never.
func (inj *injector) startSlowReaders(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	seed := rng.Uint64()
	inj.inject("callers that do not read", duration, func() error {
		var work sync.WaitGroup
		for i := range inj.deployment.options.Programs {
			c := inj.deployment.newCaller(seed + uint64(i))
			work.Go(func() { c.readSlowly(ctx, duration) })
		}
		work.Wait()
		return nil
	})
}

// readSlowly makes a turn with a long answer and reads it late.
func (c *caller) readSlowly(ctx context.Context, duration time.Duration) {
	defer c.client.CloseIdleConnections()
	program := fmt.Sprintf("unread%x", c.rng.Uint64())
	c.deployment.history.recordProgram(program, maxTurnTokens)
	req := newTurn(program, maxTurnTokens, eventsPerTurn, c.rng.Uint64())
	req.body += strings.Repeat("x", largeInputBytes)
	req.readDelay = duration
	c.send(ctx, req)
}
