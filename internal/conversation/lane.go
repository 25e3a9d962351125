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

// lane is the way of one instance's turns to one partition: what comes while as
// many appends are in flight as the store carries rides on the next one. That is
// one, unless a slow store's answers only are long on their way. The Keeper's
// mutex guards it.
type lane struct {
	waiting []*rider
	// flights are the appends in flight, the oldest first.
	flights []*flight
	window  policy.AppendWindow
}

// flight is an append in flight.
type flight struct {
	begun  time.Time
	cancel context.CancelCauseFunc
}

// abandon ends appends that have no answer for a time: they may take effect yet,
// and those that ride on them try again.
func (l *lane) abandon(hang func(age time.Duration) bool, now time.Time) {
	for _, f := range l.flights {
		if hang(now.Sub(f.begun)) {
			f.cancel(context.DeadlineExceeded)
		}
	}
}

// rider is turns that must be appended together.
type rider struct {
	ctx     context.Context
	turns   []structs.KeptTurn
	records []platform.Record
	bytes   int
	// done gets the outcome; it has room for it.
	done chan laneResult
}

// laneResult is how an append ended, and how long the store took for it.
type laneResult struct {
	took time.Duration
	slow bool
	err  error
}

// answer is what an append that succeeded tells of the store.
func (r laneResult) answer() policy.StoreAnswer {
	return policy.StoreAnswer{Took: r.took, Slow: r.slow}
}

// ride appends turns together with all others that wait for the partition. If
// the context ends first, the store may still get them.
func (k *Keeper) ride(ctx context.Context, p *partition, turns []structs.KeptTurn, records []platform.Record) laneResult {
	r := &rider{ctx: ctx, turns: turns, records: records, done: make(chan laneResult, 1)}
	for _, record := range records {
		r.bytes += len(record.Key) + len(record.Value) + recordOverhead
	}
	k.mu.Lock()
	p.lane.waiting = append(p.lane.waiting, r)
	k.startFlights(p)
	k.mu.Unlock()
	select {
	case result := <-r.done:
		return result
	case <-ctx.Done():
		return laneResult{err: ctx.Err()}
	case <-k.ctx.Done():
		return laneResult{err: k.ctx.Err()}
	}
}

// startFlights begins appends for those that wait, as far as the store carries
// them. The mutex is held.
func (k *Keeper) startFlights(p *partition) {
	l := &p.lane
	for len(l.flights) < l.window.Size() && !k.stopped {
		batch := k.takeRiders(p)
		if len(batch) == 0 {
			return
		}
		f := &flight{begun: time.Now()}
		var ctx context.Context
		ctx, f.cancel = context.WithCancelCause(k.ctx)
		l.flights = append(l.flights, f)
		k.spawn(func() { k.fly(ctx, p, f, batch) })
	}
}

// fly makes an append and hands its outcome to those that ride on it.
func (k *Keeper) fly(ctx context.Context, p *partition, f *flight, batch []*rider) {
	result := k.appendRiders(ctx, p, f, batch)
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
	p.lane.flights = slices.DeleteFunc(p.lane.flights, func(other *flight) bool { return other == f })
	k.startFlights(p)
}

// appendOneByOne appends each rider alone, after the store rejected all of them
// together: one that it rejects must not stop the others.
func (k *Keeper) appendOneByOne(p *partition, batch []*rider) {
	for _, r := range batch {
		f := &flight{begun: time.Now()}
		var ctx context.Context
		ctx, f.cancel = context.WithCancelCause(k.ctx)
		r.done <- k.appendRiders(ctx, p, f, []*rider{r})
		f.cancel(nil)
	}
}

// takeRiders takes those that ride on the next append, leaving out those whose
// callers left. The mutex is held.
func (k *Keeper) takeRiders(p *partition) []*rider {
	var batch []*rider
	records, bytes, taken := 0, 0, 0
	for _, r := range p.lane.waiting {
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
	p.lane.waiting = p.lane.waiting[taken:]
	return batch
}

// appendRiders makes one append and notes how it went.
func (k *Keeper) appendRiders(ctx context.Context, p *partition, f *flight, batch []*rider) laneResult {
	var records []platform.Record
	for _, r := range batch {
		records = append(records, r.records...)
	}
	go k.endInTime(ctx, f)
	_, err := k.store.Append(ctx, platform.Append{Topic: topic, Partition: p.number, Records: records})
	if err != nil && ctx.Err() != nil {
		err = errors.Wrap(context.Cause(ctx), "append turns")
	}
	result := laneResult{took: time.Since(f.begun), err: err}
	k.noteAppend(p, &result)
	k.metrics.appends.Inc(1)
	k.metrics.batch.RecordValue(float64(len(records)))
	return result
}

// endInTime ends an append that takes longer than the store's state lets
// expect, which may change meanwhile.
func (k *Keeper) endInTime(ctx context.Context, f *flight) {
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
func (k *Keeper) pendingAppends() []policy.Pending {
	var pending []policy.Pending
	for _, p := range k.partitions {
		for _, f := range p.lane.flights {
			pending = append(pending, policy.Pending{Partition: p.number, Begun: f.begun})
		}
	}
	return pending
}
