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

// sharedKeyPrefix is the prefix of the cache keys of shared prompt prefixes.
const sharedKeyPrefix = "prefix-"

// sampleInterval is the time between two samples of the engines' caches.
const sampleInterval = 200 * time.Millisecond

// Waste is the cache usage of the engines, in token-seconds.
type Waste struct {
	// Held is the usage of all programs, Ended the part of programs that make
	// no more calls.
	Held, Ended float64
	// Remaining is the number of tokens of ended programs in the last sample.
	Remaining int64
}

// wasteSampler samples the engines' caches during a run.
type wasteSampler struct {
	run    *run
	cancel context.CancelFunc
	work   sync.WaitGroup
	waste  Waste
}

func startWasteSampler(ctx context.Context, r *run) *wasteSampler {
	ctx, cancel := context.WithCancel(ctx)
	w := &wasteSampler{run: r, cancel: cancel}
	w.work.Go(func() { w.sample(ctx) })
	return w
}

// stop ends the sampling and returns the result.
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
		held, ended := w.readCaches()
		w.waste.Held += float64(held) * seconds
		w.waste.Ended += float64(ended) * seconds
		w.waste.Remaining = ended
	}
}

// readCaches returns the cached tokens of all programs and of ended ones.
func (w *wasteSampler) readCaches() (held, ended int64) {
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
			if w.run.hasEnded(key) {
				ended += tokens
			}
		}
	}
	return held, ended
}
