package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// restartCheckPolls is the number of polls between checks for a restart of the
// engine, which resets the sequence of its cache events.
const restartCheckPolls = 16

// maxIdleFactor bounds the growth of the poll interval of an idle engine.
const maxIdleFactor = 8

// jitterDivisor sets the jitter of a poll interval: plus or minus 1/jitterDivisor.
const jitterDivisor = 10

// watch polls one target.
type watch struct {
	runner *Runner
	target structs.Target
	engine bool
	cancel context.CancelFunc
	// from is the sequence of the next cache event. gap indicates that events
	// before it were missed since the last TargetCache.
	from uint64
	gap  bool
	// polls is the number of polls since the last restart check.
	polls int
	// idleFactor multiplies the poll interval. It doubles with each poll that finds
	// the engine without work and without new cache events.
	idleFactor int
}

// WatchTargets sets the targets that are polled. Engines report their load and
// cache events. For other targets a TargetLoad without values indicates that the
// health check passed.
func (r *Runner) WatchTargets(command structs.WatchTargets) {
	engines := make(map[structs.TargetID]bool, len(command.Targets))
	for _, target := range command.Targets {
		engines[target.ID] = r.isEngine(target)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, w := range r.watches {
		if _, wanted := engines[id]; !wanted {
			w.cancel()
			delete(r.watches, id)
		}
	}
	for _, target := range command.Targets {
		r.startWatch(target, engines[target.ID])
	}
}

// startWatch starts polling a target unless it is already polled at that address.
// The caller holds mu.
func (r *Runner) startWatch(target structs.Target, engine bool) {
	if old := r.watches[target.ID]; old != nil {
		if old.target.Address == target.Address && old.engine == engine {
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	w := &watch{runner: r, target: target, engine: engine, cancel: cancel, idleFactor: 1}
	r.watches[target.ID] = w
	r.spawn(func() { w.run(ctx) })
}

func (w *watch) run(ctx context.Context) {
	defer w.cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		w.poll(ctx)
		timer.Reset(w.wait())
	}
}

func (w *watch) wait() time.Duration {
	interval := w.runner.cfg.HealthInterval
	if w.engine {
		interval = time.Duration(w.idleFactor) * w.runner.cfg.LoadInterval
	}
	jitter := interval / jitterDivisor
	return interval - jitter + rand.N(2*jitter+1)
}

// updateIdleFactor doubles the poll interval of an idle engine and resets that of a
// busy one.
func (w *watch) updateIdleFactor(idle bool) {
	if !idle {
		w.idleFactor = 1
		return
	}
	w.idleFactor = min(2*w.idleFactor, maxIdleFactor)
}

func (w *watch) poll(ctx context.Context) {
	err := w.pollHealth(ctx)
	if w.engine {
		err = w.pollEngine(ctx)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	w.runner.metrics.pollsFailed.Inc(1)
	w.polls = restartCheckPolls
	w.idleFactor = 1
	w.runner.sink.Offer(structs.TargetUnreachable{Target: w.target.ID})
}

// pollHealth checks a target that is not an engine. Any status below 500 counts as
// healthy.
func (w *watch) pollHealth(ctx context.Context) error {
	if w.engine {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.runner.cfg.ControlTimeout)
	defer cancel()
	status, _, err := w.runner.get(ctx, joinURL(w.target.Address, wire.HealthRoute))
	if err != nil {
		return err
	}
	if status >= http.StatusInternalServerError {
		return errors.Newf("status %d", status)
	}
	w.runner.sink.Offer(structs.TargetLoad{Target: w.target.ID})
	return nil
}

func (w *watch) pollEngine(ctx context.Context) error {
	var load wire.EngineLoad
	if err := w.runner.getJSON(ctx, joinURL(w.target.Address, wire.LoadRoute), &load); err != nil {
		return err
	}
	w.runner.sink.Offer(structs.TargetLoad{Target: w.target.ID, Load: load})
	var page wire.CacheEvents
	address := joinURL(w.target.Address, wire.CacheEventsRoute) + "?from=" + strconv.FormatUint(w.requestFrom(), 10)
	if err := w.runner.getJSON(ctx, address, &page); err != nil {
		return err
	}
	w.updateIdleFactor(load.Running+load.Waiting == 0 && len(page.Events) == 0)
	w.report(page)
	return nil
}

// requestFrom returns the sequence to request events from. After a failed poll and
// every restartCheckPolls polls it is that of the last known event, which reveals a
// restarted engine that has fewer events.
func (w *watch) requestFrom() uint64 {
	w.polls++
	if w.from == 0 || w.polls < restartCheckPolls {
		return w.from
	}
	w.polls = 0
	return w.from - 1
}

// report posts the new events. Events that were dropped by the engine or by the
// event queue are reported as a gap before the next ones.
func (w *watch) report(page wire.CacheEvents) {
	if page.Next < w.from {
		// The engine was restarted.
		w.from, w.gap = 0, true
		return
	}
	var newEvents []wire.CacheEvent
	for _, event := range page.Events {
		if event.Sequence < w.from {
			continue
		}
		w.gap = w.gap || event.Sequence > w.from
		newEvents = append(newEvents, event)
		w.from = event.Sequence + 1
	}
	if page.Next > w.from {
		w.from, w.gap = page.Next, true
	}
	if len(newEvents) == 0 && !w.gap {
		return
	}
	if w.gap {
		w.runner.metrics.cacheGaps.Inc(1)
	}
	delivered := w.runner.sink.Offer(structs.TargetCache{Target: w.target.ID, Gap: w.gap, Events: newEvents})
	w.gap = !delivered
}
