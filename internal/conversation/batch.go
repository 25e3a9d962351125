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
	// defaultAppendBytes bounds an append where the platform names no limit.
	defaultAppendBytes = 1 << 20
	// recordOverhead is what the wire adds to a record besides key and value.
	recordOverhead = 8
)

// appendQueue is what an instance appends to one partition: what comes while as
// many appends are in flight as the store carries goes into the next one. That is
// one, unless a slow store's answers only take long on their way. The Keeper's
// mutex guards it.
type appendQueue struct {
	waiting []*appendRequest
	// inFlight are the appends in flight, the oldest first.
	inFlight []*inFlightAppend
	window   policy.AppendWindow
}

// inFlightAppend is an append in flight.
type inFlightAppend struct {
	started time.Time
	cancel  context.CancelCauseFunc
}

// abandon ends appends that have no answer for a time: they may take effect yet,
// and those whose turns they hold try again.
func (q *appendQueue) abandon(hangs func(age time.Duration) bool, now time.Time) {
	for _, a := range q.inFlight {
		if hangs(now.Sub(a.started)) {
			a.cancel(context.DeadlineExceeded)
		}
	}
}

// appendRequest are turns that must be appended together.
type appendRequest struct {
	ctx     context.Context
	turns   []structs.KeptTurn
	records []platform.Record
	bytes   int
	// done gets the outcome; it has room for it.
	done chan appendResult
}

// appendResult is how an append ended, and how long the store took for it.
type appendResult struct {
	took time.Duration
	slow bool
	err  error
}

// observation is what an append that succeeded tells of the store.
func (r appendResult) observation() policy.AppendResult {
	return policy.AppendResult{Took: r.took, Slow: r.slow}
}

// appendBatched appends turns together with all others that wait for the partition. If
// the context ends first, the store may still get them.
func (m *Manager) appendBatched(ctx context.Context, p *partition, turns []structs.KeptTurn, records []platform.Record) appendResult {
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

// startAppends begins appends for those that wait, as far as the store carries
// them. The mutex is held.
func (m *Manager) startAppends(p *partition) {
	l := &p.appends
	for len(l.inFlight) < l.window.Size() && !m.stopped {
		batch := m.nextBatch(p)
		if len(batch) == 0 {
			return
		}
		a := &inFlightAppend{started: time.Now()}
		var ctx context.Context
		ctx, a.cancel = context.WithCancelCause(m.ctx)
		l.inFlight = append(l.inFlight, a)
		m.spawn(func() { m.runAppend(ctx, p, a, batch) })
	}
}

// runAppend makes an append and hands its outcome to those whose turns it holds.
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

// appendOneByOne appends the turns of each alone, after the store rejected all of them
// together: one that it rejects must not stop the others.
func (m *Manager) appendOneByOne(p *partition, batch []*appendRequest) {
	var last appendResult
	for _, r := range batch {
		if last.err != nil && !errors.Is(last.err, platform.ErrRejected) {
			r.done <- last // the store is away: they try again
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

// nextBatch takes those whose turns go into the next append, leaving out those whose
// callers left. The mutex is held.
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
	clear(p.appends.waiting[:taken]) // so that the turns can be collected
	p.appends.waiting = p.appends.waiting[taken:]
	return batch
}

// appendBatch makes one append and notes how it went.
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

// enforceTimeout ends an append that takes longer than the store's state lets
// expect, which may change meanwhile.
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

// pendingAppends lists the appends in flight. The mutex is held.
func (m *Manager) pendingAppends() []policy.PendingAppend {
	var pending []policy.PendingAppend
	for _, p := range m.partitions {
		for _, a := range p.appends.inFlight {
			pending = append(pending, policy.PendingAppend{Partition: p.number, Started: a.started})
		}
	}
	return pending
}
