package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/instance"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxQueuedEvents bounds the event queue of the loop.
	maxQueuedEvents = 16384
	// maxBatchEvents bounds the events processed in one tick.
	maxBatchEvents = 1024
)

// ErrStopped is returned for a query to a stopped loop.
var ErrStopped = errors.New("the instance has stopped")

// loop runs the core on a single goroutine, the only one that accesses it. It wakes
// on events and on the core's next timer.
type loop struct {
	core    *instance.Instance
	events  chan structs.Event
	queries chan func(*instance.Instance)
	// execute executes a command. It must not block.
	execute func(structs.Command)
	// afterTick is called on the loop after each tick.
	afterTick func(*instance.Instance)
	stopped   chan struct{}
	closed    atomic.Bool
	metrics   loopMetrics
}

type loopMetrics struct {
	ticks    tally.Counter
	events   tally.Counter
	commands tally.Counter
	refused  tally.Counter
	duration tally.Histogram
}

func newLoop(core *instance.Instance, m *metrics) *loop {
	scope := m.scope
	buckets := tally.MustMakeExponentialDurationBuckets(10*time.Microsecond, 2, 16)
	return &loop{
		core:    core,
		events:  make(chan structs.Event, maxQueuedEvents),
		queries: make(chan func(*instance.Instance)),
		stopped: make(chan struct{}),
		metrics: loopMetrics{
			ticks:    scope.Counter("core_ticks"),
			events:   scope.Counter("core_events"),
			commands: scope.Counter("core_commands"),
			refused:  scope.Counter("core_events_refused"),
			duration: scope.Histogram("core_tick_duration", buckets),
		},
	}
}

// post queues an event without blocking. It returns false if the event was dropped
// because the queue is full or the loop has stopped.
func (l *loop) post(ev structs.Event) bool {
	if l.closed.Load() {
		return false
	}
	select {
	case l.events <- ev:
		return true
	default:
		l.metrics.refused.Inc(1)
		return false
	}
}

// query runs f on the loop between two ticks and waits for it. It returns
// ErrStopped or the context's error if f did not run.
func (l *loop) query(ctx context.Context, f func(*instance.Instance)) error {
	done := make(chan struct{})
	wrapped := func(core *instance.Instance) {
		f(core)
		close(done)
	}
	select {
	case l.queries <- wrapped:
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// run processes events and timers until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	defer l.closed.Store(true)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		batch, ok := l.wait(ctx, timer)
		if !ok {
			return
		}
		l.tick(batch)
		timer.Reset(l.untilNextWake())
	}
}

// wait blocks until an event arrives or the timer fires, and returns the queued
// events. It runs queries meanwhile.
func (l *loop) wait(ctx context.Context, timer *time.Timer) ([]structs.Event, bool) {
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case f := <-l.queries:
			f(l.core)
		case ev := <-l.events:
			return l.collect(ev), true
		case <-timer.C:
			return nil, true
		}
	}
}

func (l *loop) collect(first structs.Event) []structs.Event {
	batch := []structs.Event{first}
	for len(batch) < maxBatchEvents {
		select {
		case ev := <-l.events:
			batch = append(batch, ev)
		default:
			return batch
		}
	}
	return batch
}

func (l *loop) tick(batch []structs.Event) {
	started := time.Now()
	cmds := l.core.Tick(started, batch)
	for _, cmd := range cmds {
		l.execute(cmd)
	}
	l.afterTick(l.core)
	l.metrics.ticks.Inc(1)
	l.metrics.events.Inc(int64(len(batch)))
	l.metrics.commands.Inc(int64(len(cmds)))
	l.metrics.duration.RecordDuration(time.Since(started))
}

// untilNextWake returns the time until the core's next timer, at most
// gaugeInterval.
func (l *loop) untilNextWake() time.Duration {
	next := l.core.NextWake()
	if next.IsZero() {
		return gaugeInterval
	}
	return min(max(time.Until(next), 0), gaugeInterval)
}
