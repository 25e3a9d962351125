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
	// defaultCallBytes bounds an append where the platform names no limit.
	defaultCallBytes = 1 << 20
	// recordOverhead is what the wire adds to a record besides key and value.
	recordOverhead = 8
)

// appendQueue is what an instance appends to one partition: what comes while as
// many appends are in flight as the store carries goes into the next one. That is
// one, unless a slow store's answers only take long on their way. The Keeper's
// mutex guards it.
type appendQueue struct {
	waiting []*waitingTurns
	// open are the appends in flight, the oldest first.
	open   []*openAppend
	window policy.AppendWindow
}

// openAppend is an append in flight.
type openAppend struct {
	begun  time.Time
	cancel context.CancelCauseFunc
}

// abandon ends appends that have no answer for a time: they may take effect yet,
// and those whose turns they hold try again.
func (q *appendQueue) abandon(hang func(age time.Duration) bool, now time.Time) {
	for _, f := range q.open {
		if hang(now.Sub(f.begun)) {
			f.cancel(context.DeadlineExceeded)
		}
	}
}

// waitingTurns are turns that must be appended together.
type waitingTurns struct {
	ctx     context.Context
	turns   []structs.StoredTurn
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

// answer is what an append that succeeded tells of the store.
func (r appendResult) answer() policy.AppendResult {
	return policy.AppendResult{Took: r.took, Slow: r.slow}
}

// appendBatched appends turns together with all others that wait for the partition. If
// the context ends first, the store may still get them.
func (k *Manager) appendBatched(ctx context.Context, p *partition, turns []structs.StoredTurn, records []platform.Record) appendResult {
	r := &waitingTurns{ctx: ctx, turns: turns, records: records, done: make(chan appendResult, 1)}
	for _, record := range records {
		r.bytes += len(record.Key) + len(record.Value) + recordOverhead
	}
	k.mu.Lock()
	p.appends.waiting = append(p.appends.waiting, r)
	k.startAppends(p)
	k.mu.Unlock()
	select {
	case result := <-r.done:
		return result
	case <-ctx.Done():
		return appendResult{err: ctx.Err()}
	case <-k.ctx.Done():
		return appendResult{err: k.ctx.Err()}
	}
}

// startAppends begins appends for those that wait, as far as the store carries
// them. The mutex is held.
func (k *Manager) startAppends(p *partition) {
	l := &p.appends
	for len(l.open) < l.window.Size() && !k.stopped {
		batch := k.takeBatch(p)
		if len(batch) == 0 {
			return
		}
		f := &openAppend{begun: time.Now()}
		var ctx context.Context
		ctx, f.cancel = context.WithCancelCause(k.ctx)
		l.open = append(l.open, f)
		k.spawn(func() { k.runAppend(ctx, p, f, batch) })
	}
}

// runAppend makes an append and hands its outcome to those whose turns it holds.
func (k *Manager) runAppend(ctx context.Context, p *partition, f *openAppend, batch []*waitingTurns) {
	result := k.appendBatch(ctx, p, f, batch)
	f.cancel(nil)
	if errors.Is(result.err, platform.ErrRejected) && len(batch) > 1 {
		k.appendOneByOne(p, batch)
	} else {
		for _, r := range batch {
			r.done <- result
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p.appends.open = slices.DeleteFunc(p.appends.open, func(other *openAppend) bool { return other == f })
	k.startAppends(p)
}

// appendOneByOne appends the turns of each alone, after the store rejected all of them
// together: one that it rejects must not stop the others.
func (k *Manager) appendOneByOne(p *partition, batch []*waitingTurns) {
	var last appendResult
	for _, r := range batch {
		if last.err != nil && !errors.Is(last.err, platform.ErrRejected) {
			r.done <- last // the store is away: they try again
			continue
		}
		if r.ctx.Err() != nil {
			continue
		}
		f := &openAppend{begun: time.Now()}
		var ctx context.Context
		ctx, f.cancel = context.WithCancelCause(k.ctx)
		last = k.appendBatch(ctx, p, f, []*waitingTurns{r})
		f.cancel(nil)
		r.done <- last
	}
}

// takeBatch takes those whose turns go into the next append, leaving out those whose
// callers left. The mutex is held.
func (k *Manager) takeBatch(p *partition) []*waitingTurns {
	var batch []*waitingTurns
	records, bytes, taken := 0, 0, 0
	for _, r := range p.appends.waiting {
		full := records+len(r.records) > maxBatchRecords || bytes+r.bytes > k.callBytes
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
func (k *Manager) appendBatch(ctx context.Context, p *partition, f *openAppend, batch []*waitingTurns) appendResult {
	var records []platform.Record
	for _, r := range batch {
		records = append(records, r.records...)
	}
	go k.endInTime(ctx, f)
	_, err := k.store.Append(ctx, platform.Append{Topic: topic, Partition: p.number, Records: records})
	if err != nil && ctx.Err() != nil {
		err = errors.Wrap(context.Cause(ctx), "append turns")
	}
	result := appendResult{took: time.Since(f.begun), err: err}
	k.noteAppend(p, &result)
	k.metrics.appends.Inc(1)
	k.metrics.batch.RecordValue(float64(len(records)))
	return result
}

// endInTime ends an append that takes longer than the store's state lets
// expect, which may change meanwhile.
func (k *Manager) endInTime(ctx context.Context, f *openAppend) {
	for {
		left := k.patience() - time.Since(f.begun)
		if left <= 0 {
			f.cancel(context.DeadlineExceeded)
			return
		}
		if !delay.Sleep(ctx, left) {
			return
		}
	}
}

// pendingAppends lists the appends in flight. The mutex is held.
func (k *Manager) pendingAppends() []policy.PendingAppend {
	var pending []policy.PendingAppend
	for _, p := range k.partitions {
		for _, f := range p.appends.open {
			pending = append(pending, policy.PendingAppend{Partition: p.number, Started: f.begun})
		}
	}
	return pending
}
