package load

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// sharedKeyPrefix starts the cache keys of shared prefixes.
const sharedKeyPrefix = "prefix-"

// sampleInterval is the time between two looks into the engines' caches.
const sampleInterval = 200 * time.Millisecond

// Waste is what engines held, in token-seconds.
type Waste struct {
	// Held is what they held of programs, Gone the part of programs that
	// made no more calls.
	Held, Gone float64
	// Left is the tokens still held of gone programs at the end.
	Left int64
}

// wasteSampler looks into the engines' caches while a run is under way.
type wasteSampler struct {
	run    *run
	cancel context.CancelFunc
	work   sync.WaitGroup
	waste  Waste
}

func startWaste(ctx context.Context, r *run) *wasteSampler {
	ctx, cancel := context.WithCancel(ctx)
	w := &wasteSampler{run: r, cancel: cancel}
	w.work.Go(func() { w.sample(ctx) })
	return w
}

// stop ends the sampling and gives the result.
func (w *wasteSampler) stop() Waste {
	w.cancel()
	w.work.Wait()
	return w.waste
}

func (w *wasteSampler) sample(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		delay.Sleep(ctx, sampleInterval)
		now := time.Now()
		seconds := now.Sub(last).Seconds()
		last = now
		held, gone := w.look()
		w.waste.Held += float64(held) * seconds
		w.waste.Gone += float64(gone) * seconds
		w.waste.Left = gone
	}
}

// look gives the tokens that the engines hold of programs, and of gone ones.
func (w *wasteSampler) look() (held, gone int64) {
	for _, target := range w.run.cluster.Endpoints().Targets {
		if target.Service != testkit.ModelService {
			continue
		}
		var state wire.CacheState
		if getJSON(w.run.http, target.Address+wire.CacheRoute, &state) != nil {
			continue
		}
		for key, tokens := range state.Programs {
			if strings.HasPrefix(key, sharedKeyPrefix) {
				continue
			}
			held += tokens
			if w.run.isGone(key) {
				gone += tokens
			}
		}
	}
	return held, gone
}
