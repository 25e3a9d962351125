package conversation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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

// lane is the way of one instance's turns to one partition: one append is in
// flight, all that come meanwhile ride on the next one. The Keeper's mutex
// guards it.
type lane struct {
	waiting []*rider
	// busy tells that somebody appends for the lane.
	busy bool
	// begun is when the append in flight began, zero for none.
	begun time.Time
	// cancel ends the append in flight.
	cancel context.CancelCauseFunc
}

// abandon ends the append in flight, if any: it may take
// effect yet, and those that ride on it try again.
func (l *lane) abandon() {
	if l.cancel != nil {
		l.cancel(context.DeadlineExceeded)
	}
}

// age is how long the append in flight takes, 0 for none.
func (l *lane) age(now time.Time) time.Duration {
	if l.begun.IsZero() {
		return 0
	}
	return now.Sub(l.begun)
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
	err  error
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
	if !p.lane.busy && !k.stopped {
		p.lane.busy = true
		k.spawn(func() { k.runLane(p) })
	}
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

// runLane appends batch after batch until nobody waits.
func (k *Keeper) runLane(p *partition) {
	for {
		batch := k.takeRiders(p)
		if len(batch) == 0 {
			return
		}
		result := k.appendRiders(p, batch)
		if errors.Is(result.err, platform.ErrRejected) && len(batch) > 1 {
			k.appendOneByOne(p, batch)
			continue
		}
		for _, r := range batch {
			r.done <- result
		}
	}
}

// appendOneByOne appends each rider alone, after the store rejected all of them
// together: one that it rejects must not stop the others.
func (k *Keeper) appendOneByOne(p *partition, batch []*rider) {
	for _, r := range batch {
		r.done <- k.appendRiders(p, []*rider{r})
	}
}

// takeRiders takes those that ride on the next append, leaving out those whose
// callers left. Without any the lane ends.
func (k *Keeper) takeRiders(p *partition) []*rider {
	k.mu.Lock()
	defer k.mu.Unlock()
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
	if len(batch) == 0 {
		p.lane.busy = false
	}
	return batch
}

// appendRiders makes one append and notes how it went.
func (k *Keeper) appendRiders(p *partition, batch []*rider) laneResult {
	var records []platform.Record
	for _, r := range batch {
		records = append(records, r.records...)
	}
	begun := time.Now()
	ctx, cancel := context.WithCancelCause(k.ctx)
	k.setInFlight(p, begun, cancel)
	go k.endInTime(ctx, begun, cancel)
	_, err := k.store.Append(ctx, platform.Append{Topic: topic, Partition: p.number, Records: records})
	if err != nil && ctx.Err() != nil {
		err = errors.Wrap(context.Cause(ctx), "append turns")
	}
	cancel(nil)
	k.setInFlight(p, time.Time{}, nil)
	result := laneResult{took: time.Since(begun), err: err}
	k.noteAppend(result)
	k.metrics.appends.Inc(1)
	k.metrics.batch.RecordValue(float64(len(records)))
	return result
}

// endInTime ends an append that takes longer than the store's state lets
// expect, which may change meanwhile.
func (k *Keeper) endInTime(ctx context.Context, begun time.Time, cancel context.CancelCauseFunc) {
	for {
		k.mu.Lock()
		left := k.path.Patience(time.Now()) - time.Since(begun)
		k.mu.Unlock()
		if left <= 0 {
			cancel(context.DeadlineExceeded)
			return
		}
		if !pause(ctx, left) {
			return
		}
	}
}

func (k *Keeper) setInFlight(p *partition, begun time.Time, cancel context.CancelCauseFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p.lane.begun, p.lane.cancel = begun, cancel
}

// pendingAppends lists the appends in flight. The mutex is held.
func (k *Keeper) pendingAppends() []policy.Pending {
	var pending []policy.Pending
	for _, p := range k.partitions {
		if !p.lane.begun.IsZero() {
			pending = append(pending, policy.Pending{Partition: p.number, Begun: p.lane.begun})
		}
	}
	return pending
}
