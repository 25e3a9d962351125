package lostruns

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// Records keeps the records of runs in the platform's store.
type Records interface {
	// Append appends records. Those without a value end the record of their key.
	Append(ctx context.Context, records []platform.Record) error
	// CatchUp applies all records that were acknowledged before the call.
	CatchUp(ctx context.Context) error
	// Loaded reports whether the records of before this instance started were applied.
	Loaded() bool
	// Available reports whether the store responds to this instance.
	Available() bool
}

const (
	// recordInterval is the time between two appends that nobody waits for.
	recordInterval = time.Second
	// appendTimeout bounds an append.
	appendTimeout = 700 * time.Millisecond
	// maxPendingRecords bounds the records that wait for the store. One append takes all.
	maxPendingRecords = 1 << 10
)

// recorder appends records, one append at a time. What is added meanwhile goes into the
// next one. It is safe for concurrent use.
type recorder struct {
	records Records
	log     *slog.Logger
	// urgent signals that somebody waits for an append.
	urgent chan struct{}

	mu sync.Mutex
	// pending are the records to append, by key.
	pending map[string]platform.Record
	// next is closed when the records that are pending now were appended, or failed to be.
	next *appendResult
}

// appendResult is the result of an append. It is set before done is closed.
type appendResult struct {
	done chan struct{}
	ok   bool
}

func newRecorder(records Records, log *slog.Logger) *recorder {
	return &recorder{
		records: records, log: log, urgent: make(chan struct{}, 1), pending: make(map[string]platform.Record),
		next: newAppendResult(),
	}
}

func newAppendResult() *appendResult { return &appendResult{done: make(chan struct{})} }

// add adds records to the next append, which is made at once if urgent. It returns the
// result of that append, nil if there is nothing to append.
func (r *recorder) add(records []platform.Record, urgent bool) *appendResult {
	if len(records) == 0 {
		return nil
	}
	r.mu.Lock()
	complete := true
	for _, record := range records {
		complete = r.put(record) && complete
	}
	result := r.next
	r.mu.Unlock()
	if urgent {
		select {
		case r.urgent <- struct{}{}:
		default:
		}
	}
	if !complete {
		return nil
	}
	return result
}

// put adds a record, in place of an earlier one of its key. It returns false if too many
// are pending. The mutex must be held.
func (r *recorder) put(record platform.Record) bool {
	if _, ok := r.pending[record.Key]; !ok && len(r.pending) >= maxPendingRecords {
		r.log.Warn("a lost run is not recorded: too many wait for the store", "key", record.Key)
		return false
	}
	r.pending[record.Key] = record
	return true
}

// run appends what was added until the context ends.
func (r *recorder) run(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.urgent:
		case <-ticker.C:
		}
		r.flush(ctx)
	}
}

// flush appends what is pending. Records that the store did not take are appended with the
// next ones.
func (r *recorder) flush(ctx context.Context) {
	r.mu.Lock()
	batch := slices.Collect(maps.Values(r.pending))
	clear(r.pending)
	result := r.next
	r.next = newAppendResult()
	r.mu.Unlock()
	defer close(result.done)
	if len(batch) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := r.records.Append(call, batch); err != nil {
		r.log.Warn("lost runs are not recorded yet", "runs", len(batch), "error", err.Error())
		r.retry(batch)
		return
	}
	result.ok = true
}

// retry adds records again, except those of which there is a later one.
func (r *recorder) retry(batch []platform.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range batch {
		if _, ok := r.pending[record.Key]; !ok {
			r.put(record)
		}
	}
}

// wait waits for the result of an append, and reports whether the store has acknowledged
// it.
func (a *appendResult) wait(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-a.done:
		return a.ok
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
