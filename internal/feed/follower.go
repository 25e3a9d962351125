package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/platform"
)

const (
	// callMargin is what a read may take beyond the wait asked for before its
	// connection counts as cut: the store answers within milliseconds, and
	// within some hundred when it is slow.
	callMargin = 900 * time.Millisecond
	// probeMargin is the same for a read after a failure, which does not wait
	// at the store, so that the store's return is noticed soon.
	probeMargin = 600 * time.Millisecond
	// retryFirst and retryMost bound the time between two tries of all failing
	// topics together; it doubles with each failure of a topic. A refused read
	// costs a call, so topics that fail together take turns, and the first success
	// wakes all.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Store is what a Follower reads from.
type Store interface {
	NewestPage(ctx context.Context, topic string, partition int, after string) (platform.Newest, bool, error)
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) ([]platform.Record, int64, error)
}

// Follower keeps a Topic up to date from the store.
type Follower struct {
	Store Store
	Topic *Topic
	// Wait is how long a read waits at the store for a record.
	Wait time.Duration
	// Pause is the time between two reads, so that topics with many records
	// are read in batches.
	Pause time.Duration
	// Limit bounds both for now; nil for no bound.
	Limit func(wait, pause time.Duration) (time.Duration, time.Duration)
	// CatchUp tries to have another instance's copy taken before the whole topic is
	// read from the store; nil for none.
	CatchUp func(ctx context.Context) bool
	Health  *Health
	Log     *slog.Logger

	// pages is what a read of the whole topic has given so far, after the last key
	// in it.
	pages []platform.Record
	after string
	end   int64
	begun time.Time
}

// FromStart is the offset from which a topic is read whose content is not known.
const FromStart = int64(-1)

// mostCatchUps bounds how often in a row another instance's copy is taken that ends
// before what the store still holds.
const mostCatchUps = 2

// Run follows the topic until the context ends, from where its content ends.
func (f *Follower) Run(ctx context.Context) {
	from := f.begin()
	failures := 0
	catchUps := 0
	for ctx.Err() == nil {
		if from == FromStart && catchUps < mostCatchUps && f.CatchUp != nil {
			catchUps++
			if f.CatchUp(ctx) {
				from = f.begin()
			}
		}
		returned := f.Health.Recovered()
		next, err := f.stepUnless(ctx, returned, from, failures > 0)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWoken) {
			continue
		}
		if errors.Is(err, platform.ErrTrimmed) {
			from = FromStart
			continue
		}
		f.Health.note(f.Topic.Name, err, time.Now(), f.Log)
		if err != nil {
			sleep(ctx, f.retryPause(failures), returned)
			failures++
			continue
		}
		from, failures, catchUps = next, 0, 0
		_, pause := f.times()
		sleep(ctx, pause, nil)
	}
}

// times are how long a read waits and the time between two of them.
func (f *Follower) times() (wait, pause time.Duration) {
	if f.Limit == nil {
		return f.Wait, f.Pause
	}
	return f.Limit(f.Wait, f.Pause)
}

func (f *Follower) begin() int64 {
	if !f.Topic.Loaded() {
		return FromStart
	}
	return f.Topic.NextOffset()
}

// retryPause is the time until the next try after some failures. Topics that fail
// together try in turn; the pauses are drawn at random, so that instances do not try
// together.
func (f *Follower) retryPause(failures int) time.Duration {
	pause := min(retryFirst<<min(failures, 8), retryMost)
	return f.Health.reserve(time.Now(), pause-pause/4+rand.N(pause/2))
}

// errWoken tells that a read was given up since the store is back for another
// topic: the connection that it waits on may be cut.
var errWoken = errors.New("the store is back for another topic")

// stepUnless is step until the store is back for another topic.
func (f *Follower) stepUnless(
	ctx context.Context, returned <-chan struct{}, from int64, probe bool,
) (int64, error) {
	if from < 0 && !probe {
		// A first read is long, and would begin anew.
		return f.step(ctx, from, probe)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-returned:
			cancel(errWoken)
		case <-ctx.Done():
		}
	}()
	next, err := f.step(ctx, from, probe)
	if err != nil && errors.Is(context.Cause(ctx), errWoken) {
		return from, errWoken
	}
	return next, err
}

// step reads the whole topic, or what came after an offset; a probe does not
// wait for a record.
func (f *Follower) step(ctx context.Context, from int64, probe bool) (int64, error) {
	if from < 0 {
		return f.readWhole(ctx)
	}
	started := time.Now()
	wait, _ := f.times()
	timeout := wait + callMargin
	if probe {
		wait, timeout = 0, probeMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	records, next, err := f.Store.Read(ctx, f.Topic.Name, 0, from, wait)
	if err != nil {
		return from, err
	}
	f.Topic.advance(records, next)
	if len(records) == 0 {
		// The store has waited that long and had nothing new.
		started = started.Add(wait)
	}
	f.Topic.Confirm(started)
	return next, nil
}

// readWhole reads the whole topic page by page. After a failure it goes on behind the
// pages that it has: a store that is slow or refuses much would else never be read.
func (f *Follower) readWhole(ctx context.Context) (int64, error) {
	for {
		started := time.Now()
		page, more, err := f.readPage(ctx)
		if err != nil {
			return FromStart, err
		}
		if f.after == "" {
			// Reading on from the end of the first page misses no change made while
			// later pages were read.
			f.end, f.begun = page.End, started
		}
		f.pages = append(f.pages, page.Records...)
		if more {
			f.after = page.Records[len(page.Records)-1].Key
			continue
		}
		f.Topic.Replace(platform.Newest{Records: f.pages, End: f.end})
		f.Topic.Confirm(f.begun)
		f.pages, f.after = nil, ""
		return f.end, nil
	}
}

func (f *Follower) readPage(ctx context.Context) (platform.Newest, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callMargin)
	defer cancel()
	return f.Store.NewestPage(ctx, f.Topic.Name, 0, f.after)
}

// sleep waits, at most until woken is closed.
func sleep(ctx context.Context, wait time.Duration, woken <-chan struct{}) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-woken:
	}
}
