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

// Bounds of the load faults.
const (
	// maxLoadFaultPause bounds the pause between the starts of two load faults,
	// maxLoadFaultDuration the duration of each.
	maxLoadFaultPause    = 2 * time.Second
	maxLoadFaultDuration = 2500 * time.Millisecond
	// maxSlowdown bounds the factor by which the work of a slow target takes longer.
	// minSlots is the number of slots of a target with few slots.
	maxSlowdown = 8
	minSlots    = 2
	// burstFactor is the number of additional programs in a burst, as a multiple of
	// Options.Programs.
	burstFactor = 3
	// maxStoreDelay bounds the delay of each call to a slow store.
	maxStoreDelay = 400 * time.Millisecond
	// largeInputBytes is the input length of a turn of a slow reader. The response,
	// which repeats the input, exceeds the buffers of the connection.
	largeInputBytes = 48 << 10
)

// runLoadFaults injects load faults until the context ends. It uses its own random
// stream, so that it does not change the other faults of a seed.
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

// slowTargets makes some targets slower, or reduces their slots, for the duration.
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

// burst runs additional programs for the duration.
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

// startSlowReaders starts callers that request large responses and read them late.
func (inj *injector) startSlowReaders(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	seed := rng.Uint64()
	inj.inject("slow readers", duration, func() error {
		var work sync.WaitGroup
		for i := range inj.deployment.options.Programs {
			c := inj.deployment.newCaller(seed + uint64(i))
			work.Go(func() { c.readSlowly(ctx, duration) })
		}
		work.Wait()
		return nil
	})
}

// readSlowly sends a turn with a large response and delays reading it.
func (c *caller) readSlowly(ctx context.Context, duration time.Duration) {
	defer c.transport.CloseIdleConnections()
	program := fmt.Sprintf("unread%x", c.rng.Uint64())
	c.deployment.history.recordProgram(program, maxTurnTokens)
	req := newTurn(program, maxTurnTokens, eventsPerTurn, c.rng.Uint64())
	req.body += strings.Repeat("x", largeInputBytes)
	req.readDelay = duration
	c.send(ctx, req)
}
