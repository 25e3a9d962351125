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
	// readTimeoutMargin is how long a read may take beyond its wait before its connection
	// counts as cut. It has to exceed the response time of a slow store.
	readTimeoutMargin = 900 * time.Millisecond
	// probeTimeout is the timeout of a read after a failure. Such a read does not wait
	// for records, so that a recovery of the store is noticed soon.
	probeTimeout = 600 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the time between two retries of all
	// failing topics together; it doubles with each failure of a topic. Refused reads
	// count against the store's limits, so failing topics retry in turn, and the first
	// success wakes all of them.
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = 400 * time.Millisecond
)

// Store is the part of the platform's store that a Follower reads.
type Store interface {
	NewestPage(ctx context.Context, topic string, partition int, after string) (platform.Newest, bool, error)
	ReadPage(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.Page, error)
}

// Follower keeps a Topic up to date from the store.
type Follower struct {
	Store Store
	Topic *Topic
	// Wait is how long a read waits at the store for a record.
	Wait time.Duration
	// Pause is the time between two reads, so that topics with many records are read in
	// batches. Behind a read that returned records it counts from the start of that read,
	// for which the copy was confirmed.
	Pause time.Duration
	// Limit returns the currently allowed wait and pause; nil for no limit.
	Limit func(wait, pause time.Duration) (time.Duration, time.Duration)
	// CatchUp merges another instance's copy before the whole topic is read from the
	// store. It reports whether that brought newer records; nil if there is no other
	// instance.
	CatchUp func(ctx context.Context) bool
	Health  *Health
	Log     *slog.Logger

	// State of a read of the whole topic: the pages read so far, the last key in them,
	// the end offset of the first page and the time at which its read started.
	pages     []platform.Record
	lastKey   string
	endOffset int64
	startedAt time.Time
}

// FromStart is the offset that stands for the whole topic.
const FromStart = int64(-1)

// maxCatchUps bounds consecutive catch-ups with copies that end before the history that
// the store still holds.
const maxCatchUps = 2

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	from := f.startOffset()
	failures := 0
	catchUps := 0
	for ctx.Err() == nil {
		if from == FromStart && catchUps < maxCatchUps && f.CatchUp != nil {
			catchUps++
			if f.CatchUp(ctx) {
				from = f.startOffset()
			}
		}
		recovered := f.Health.Recovered()
		started := time.Now()
		next, err := f.stepUntilRecovery(ctx, recovered, from, failures > 0)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRecovered) {
			continue
		}
		if errors.Is(err, platform.ErrTrimmed) {
			from = FromStart
			continue
		}
		f.Health.recordResult(f.Topic.Name, err, time.Now(), f.Log)
		if err != nil {
			from = next
			sleep(ctx, f.retryDelay(failures), recovered)
			failures++
			continue
		}
		_, pause := f.readTiming()
		if next > from {
			pause -= time.Since(started)
		}
		from, failures, catchUps = next, 0, 0
		sleep(ctx, pause, nil)
	}
}

// readTiming returns how long the next read waits and the pause after it.
func (f *Follower) readTiming() (wait, pause time.Duration) {
	if f.Limit == nil {
		return f.Wait, f.Pause
	}
	return f.Limit(f.Wait, f.Pause)
}

func (f *Follower) startOffset() int64 {
	if !f.Topic.Loaded() {
		return FromStart
	}
	return f.Topic.NextOffset()
}

// retryDelay returns the time until the next retry. Failing topics retry in turn, with
// jitter so that instances do not retry in step.
func (f *Follower) retryDelay(failures int) time.Duration {
	pause := min(minRetryInterval<<min(failures, 8), maxRetryInterval)
	return f.Health.reserveRetry(time.Now(), pause-pause/4+rand.N(pause/2))
}

// errRecovered indicates that a read was cancelled because the store recovered for
// another topic: the connection on which the read waits may be cut.
var errRecovered = errors.New("the store recovered for another topic")

// stepUntilRecovery is step, cancelled when the store recovers for another topic.
func (f *Follower) stepUntilRecovery(
	ctx context.Context, recovered <-chan struct{}, from int64, probe bool,
) (int64, error) {
	if from < 0 && !probe {
		// A read of the whole topic takes long and would have to start over.
		return f.step(ctx, from, probe)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-recovered:
			cancel(errRecovered)
		case <-ctx.Done():
		}
	}()
	next, err := f.step(ctx, from, probe)
	if err != nil && errors.Is(context.Cause(ctx), errRecovered) {
		return from, errRecovered
	}
	return next, err
}

// Refresh reads the changes of a loaded topic once, without waiting for records. It reads
// the whole topic if the store has dropped the history.
func (f *Follower) Refresh(ctx context.Context) error {
	_, err := f.step(ctx, f.startOffset(), true)
	if errors.Is(err, platform.ErrTrimmed) {
		_, err = f.readAll(ctx)
	}
	return err
}

// step reads the whole topic, or all records from an offset on; a probe does not wait for
// records. It returns the offset to continue from, also with an error.
func (f *Follower) step(ctx context.Context, from int64, probe bool) (int64, error) {
	if from < 0 {
		return f.readAll(ctx)
	}
	wait, _ := f.readTiming()
	timeout := wait + readTimeoutMargin
	if probe {
		wait, timeout = 0, probeTimeout
	}
	for {
		started := time.Now()
		page, err := f.readRecords(ctx, from, wait, timeout)
		if err != nil {
			return from, err
		}
		f.Topic.advance(page.Records, page.Next)
		if page.Next >= page.End {
			f.Topic.Confirm(confirmedTime(page, started, wait))
			return page.Next, nil
		}
		if page.Next == from {
			return from, errors.Newf("read of %s made no progress at offset %d, the end is %d", f.Topic.Name, from, page.End)
		}
		from = page.Next
	}
}

// readRecords reads one page of records from an offset on.
func (f *Follower) readRecords(ctx context.Context, from int64, wait, timeout time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.Store.ReadPage(ctx, f.Topic.Name, 0, from, wait)
}

// confirmedTime returns the latest time at which the store is known to have held no record
// behind those of the page.
func confirmedTime(page platform.Page, started time.Time, wait time.Duration) time.Time {
	if len(page.Records) == 0 && time.Since(started) >= wait {
		// The store has waited that long without a new record.
		return started.Add(wait)
	}
	return started
}

// readAll reads the whole topic page by page. After a failure it resumes behind the pages
// already read, or the read might never complete at a slow or overloaded store.
func (f *Follower) readAll(ctx context.Context) (int64, error) {
	for {
		started := time.Now()
		page, more, err := f.readPage(ctx)
		if err != nil {
			return FromStart, err
		}
		if f.lastKey == "" {
			// Later reads start from the end offset of the first page, so that changes
			// made while the other pages were read are not missed.
			f.endOffset, f.startedAt = page.End, started
		}
		f.pages = append(f.pages, page.Records...)
		if more {
			f.lastKey = page.Records[len(page.Records)-1].Key
			continue
		}
		f.Topic.Replace(platform.Newest{Records: f.pages, End: f.endOffset})
		f.Topic.Confirm(f.startedAt)
		f.pages, f.lastKey = nil, ""
		return f.endOffset, nil
	}
}

func (f *Follower) readPage(ctx context.Context) (platform.Newest, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMargin)
	defer cancel()
	return f.Store.NewestPage(ctx, f.Topic.Name, 0, f.lastKey)
}

// sleep waits until the time is over, wake is closed or the context ends.
func sleep(ctx context.Context, wait time.Duration, wake <-chan struct{}) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}
