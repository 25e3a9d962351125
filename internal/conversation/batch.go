package conversation

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 500
	// defaultAppendBytes bounds the size of an append if the platform sets no
	// limit.
	defaultAppendBytes = 1 << 20
	// recordOverhead is the encoded size of a record beyond its key and value,
	// in bytes.
	recordOverhead = 8
)

// appendQueue batches the appends of this instance to one partition. Requests
// wait while the window is full and are batched into the next append. The
// window is 1 unless a slow store's responses are delayed in transit. Guarded
// by Manager.mu.
type appendQueue struct {
	waiting []*appendRequest
	// inFlight holds the appends in flight, oldest first.
	inFlight []*inFlightAppend
	window   policy.AppendWindow
}

type inFlightAppend struct {
	started time.Time
	cancel  context.CancelCauseFunc
}

// abandon cancels appends that hang, as decided by their age. They may still
// take effect; the requests in them are retried.
func (q *appendQueue) abandon(hangs func(age time.Duration) bool, now time.Time) {
	for _, a := range q.inFlight {
		if hangs(now.Sub(a.started)) {
			a.cancel(context.DeadlineExceeded)
		}
	}
}

// appendRequest is a set of turns that must be appended together.
type appendRequest struct {
	ctx     context.Context
	turns   []structs.StoredTurn
	records []platform.Record
	bytes   int
	// done receives the outcome. It is buffered.
	done chan appendResult
}

// appendResult is the outcome of an append and how long the store took for it.
type appendResult struct {
	took time.Duration
	slow bool
	err  error
}

// observation returns what a successful append shows about the store.
func (r appendResult) observation() policy.AppendResult {
	return policy.AppendResult{Latency: r.took, Slow: r.slow}
}

// appendBatched appends turns, batched with other requests for the partition.
// If the context ends first, the store may still receive them.
func (m *Manager) appendBatched(ctx context.Context, p *partition, turns []structs.StoredTurn, records []platform.Record) appendResult {
	r := &appendRequest{ctx: ctx, turns: turns, records: records, done: make(chan appendResult, 1)}
	for _, record := range records {
		r.bytes += len(record.Key) + len(record.Value) + recordOverhead
	}
	m.mu.Lock()
	p.appends.waiting = append(p.appends.waiting, r)
	m.startAppends(p)
	m.mu.Unlock()
	select {
	case result := <-r.done:
		return result
	case <-ctx.Done():
		return appendResult{err: ctx.Err()}
	case <-m.ctx.Done():
		return appendResult{err: m.ctx.Err()}
	}
}

// startAppends starts appends for the waiting requests, up to the window's
// size. The caller must hold m.mu.
func (m *Manager) startAppends(p *partition) {
	q := &p.appends
	for len(q.inFlight) < q.window.Size() && !m.stopped {
		batch := m.nextBatch(p)
		if len(batch) == 0 {
			return
		}
		a := &inFlightAppend{started: time.Now()}
		var ctx context.Context
		ctx, a.cancel = context.WithCancelCause(m.ctx)
		q.inFlight = append(q.inFlight, a)
		m.spawn(func() { m.runAppend(ctx, p, a, batch) })
	}
}

// runAppend performs an append and delivers its outcome to the requests in it.
func (m *Manager) runAppend(ctx context.Context, p *partition, a *inFlightAppend, batch []*appendRequest) {
	result := m.appendBatch(ctx, p, a, batch)
	a.cancel(nil)
	if errors.Is(result.err, platform.ErrRejected) && len(batch) > 1 {
		m.appendOneByOne(p, batch)
	} else {
		for _, r := range batch {
			r.done <- result
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.appends.inFlight = slices.DeleteFunc(p.appends.inFlight, func(other *inFlightAppend) bool { return other == a })
	m.startAppends(p)
}

// appendOneByOne appends each request separately after the store rejected the
// batch, so that one invalid request does not fail the others.
func (m *Manager) appendOneByOne(p *partition, batch []*appendRequest) {
	var last appendResult
	for _, r := range batch {
		if last.err != nil && !errors.Is(last.err, platform.ErrRejected) {
			r.done <- last // the store is unavailable; the callers retry
			continue
		}
		if r.ctx.Err() != nil {
			continue
		}
		a := &inFlightAppend{started: time.Now()}
		var ctx context.Context
		ctx, a.cancel = context.WithCancelCause(m.ctx)
		last = m.appendBatch(ctx, p, a, []*appendRequest{r})
		a.cancel(nil)
		r.done <- last
	}
}

// nextBatch removes the requests for the next append from the queue, discarding
// those whose context has ended. The caller must hold m.mu.
func (m *Manager) nextBatch(p *partition) []*appendRequest {
	var batch []*appendRequest
	records, bytes, taken := 0, 0, 0
	for _, r := range p.appends.waiting {
		full := records+len(r.records) > maxBatchRecords || bytes+r.bytes > m.maxAppendBytes
		if len(batch) > 0 && full {
			break
		}
		taken++
		if r.ctx.Err() != nil {
			continue
		}
		batch = append(batch, r)
		records += len(r.records)
		bytes += r.bytes
	}
	clear(p.appends.waiting[:taken]) // release the turns to the garbage collector
	p.appends.waiting = p.appends.waiting[taken:]
	return batch
}

// appendBatch performs one append and records its outcome.
func (m *Manager) appendBatch(ctx context.Context, p *partition, a *inFlightAppend, batch []*appendRequest) appendResult {
	var records []platform.Record
	for _, r := range batch {
		records = append(records, r.records...)
	}
	go m.enforceTimeout(ctx, a)
	_, err := m.store.Append(ctx, platform.Append{Topic: topic, Partition: p.number, Records: records})
	if err != nil && ctx.Err() != nil {
		err = errors.Wrap(context.Cause(ctx), "append turns")
	}
	result := appendResult{took: time.Since(a.started), err: err}
	m.observeAppend(p, &result)
	m.metrics.appends.Inc(1)
	m.metrics.batchSize.RecordValue(float64(len(records)))
	return result
}

// enforceTimeout cancels an append that exceeds the append timeout, which may
// change while the append runs.
func (m *Manager) enforceTimeout(ctx context.Context, a *inFlightAppend) {
	for {
		left := m.appendTimeout() - time.Since(a.started)
		if left <= 0 {
			a.cancel(context.DeadlineExceeded)
			return
		}
		if !delay.Sleep(ctx, left) {
			return
		}
	}
}

// pendingAppends lists the appends in flight. The caller must hold m.mu.
func (m *Manager) pendingAppends() []policy.PendingAppend {
	var pending []policy.PendingAppend
	for _, p := range m.partitions {
		for _, a := range p.appends.inFlight {
			pending = append(pending, policy.PendingAppend{Partition: p.number, Started: a.started})
		}
	}
	return pending
}
