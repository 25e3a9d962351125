package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// urgency reports whether a caller is blocked on a record.
type urgency bool

const (
	urgent urgency = true
	lazy   urgency = false
)

// pendingRecord is a record that is not committed yet. onCommitted is called once
// the record was read back and took effect. It is never called if another
// instance's claim precedes the record.
type pendingRecord struct {
	record      journal.Record
	data        []byte
	onCommitted func()
}

// appender writes the records of one shard in sequence order. It keeps one append
// in flight and repeats it unchanged until it is read back, so that a writer's
// sequence numbers ascend in the log and duplicates are recognizable.
type appender struct {
	s        *shard
	queue    []*pendingRecord
	inFlight []*pendingRecord
	// sentAt is when the batch in flight was first sent.
	sentAt time.Time
	// stalled indicates that an append was not confirmed in time.
	stalled      bool
	refusals     int
	backoff      time.Duration
	flushTimer   *timer
	resendTimer  *timer
	confirmTimer *timer
}

// appliesAhead reports whether an owner's own record takes effect in its state
// before it is read back. These kinds state facts that hold whatever the log
// contains. Abandoned is excluded: it may be written before its Intent is
// committed and must take effect after it.
func appliesAhead(kind journal.Kind) bool {
	switch kind {
	case journal.KindStarted, journal.KindDone, journal.KindSettled, journal.KindLedgerReturn:
		return true
	default:
		return false
	}
}

// push queues a record and calls onCommitted once it is committed.
func (a *appender) push(body journal.Body, u urgency, onCommitted func()) {
	o := a.s.o
	o.sequences[a.s.id]++
	epoch := a.s.epoch
	if body.Kind() == journal.KindClaim {
		epoch = a.s.state.Epoch + 1
	}
	rec := journal.Record{Header: journal.Header{
		Epoch: epoch, Writer: o.writer, Sequence: o.sequences[a.s.id],
		Snapshot: a.s.state.Snapshot, TimeMS: o.now.UnixMilli(),
	}, Body: body}
	if appliesAhead(body.Kind()) {
		a.s.state.ApplyAhead(rec)
	}
	a.queue = append(a.queue, &pendingRecord{record: rec, data: journal.Encode(rec), onCommitted: onCommitted})
	if u == urgent {
		a.scheduleFlush(0)
		return
	}
	a.scheduleFlush(lazyFlushDelay)
}

// scheduleFlush flushes after d, or earlier if an earlier flush is scheduled.
func (a *appender) scheduleFlush(d time.Duration) {
	at := a.s.o.now.Add(d)
	if a.flushTimer != nil && a.flushTimer.index >= 0 && !a.flushTimer.at.After(at) {
		return
	}
	a.s.o.timers.stop(a.flushTimer)
	a.flushTimer = a.s.o.timers.set(at, a.flush)
}

// flush sends the next batch, subject to the rate limit of appends.
func (a *appender) flush() {
	if len(a.inFlight) > 0 || len(a.queue) == 0 {
		return
	}
	if wait := a.s.o.takeToken(); wait > 0 {
		a.scheduleFlush(wait)
		return
	}
	n, size := 0, 0
	for n < len(a.queue) && n < maxBatchRecords && (n == 0 || size+len(a.queue[n].data) <= maxBatchBytes) {
		size += len(a.queue[n].data)
		n++
	}
	a.inFlight = append([]*pendingRecord(nil), a.queue[:n]...)
	a.queue = append([]*pendingRecord(nil), a.queue[n:]...)
	a.sentAt = a.s.o.now
	a.backoff = minAppendBackoff
	a.refusals = 0
	a.confirmTimer = a.s.o.after(confirmTimeout, a.onConfirmTimeout)
	a.sendBatch()
}

// takeToken takes a token for one append. If none is available it returns how
// long to wait. All shards of an instance share one token bucket, so a busy shard
// can use the rate that idle shards leave.
func (o *Owner) takeToken() time.Duration {
	rate := maxAppendRate / float64(max(1, len(o.members.Peers())))
	burst := max(minBurst, rate/burstDivisor)
	if o.refilledAt.IsZero() {
		o.appendTokens = burst
	}
	o.appendTokens = min(burst, o.appendTokens+o.now.Sub(o.refilledAt).Seconds()*rate)
	o.refilledAt = o.now
	// The epsilon keeps a rounding error from setting a timer of zero length.
	if o.appendTokens+1e-6 >= 1 {
		o.appendTokens--
		return 0
	}
	return time.Duration((1-o.appendTokens)/rate*float64(time.Second)).Round(time.Millisecond) + time.Millisecond
}

// appendUrgency returns the urgency of a record that no caller waits for but that
// is expensive to lose: urgent while at least half of the burst is available.
func (o *Owner) appendUrgency() urgency {
	rate := maxAppendRate / float64(max(1, len(o.members.Peers())))
	burst := max(minBurst, rate/burstDivisor)
	tokens := o.appendTokens + o.now.Sub(o.refilledAt).Seconds()*rate
	return urgency(o.refilledAt.IsZero() || tokens >= burst/2+1)
}

func (a *appender) sendBatch() {
	o := a.s.o
	o.lastAppend++
	id := structs.AppendID(o.lastAppend)
	o.appends[id] = a.s
	records := make([][]byte, 0, len(a.inFlight))
	for _, e := range a.inFlight {
		records = append(records, e.data)
	}
	o.emit(structs.LogAppend{ID: id, Stream: a.s.stream, Records: records})
	o.timers.stop(a.resendTimer)
	a.resendTimer = o.after(appendResendTimeout, a.resendBatch)
}

// resendBatch sends the batch in flight again with the same sequence numbers. Its
// result is unknown, and readers drop duplicates.
func (a *appender) resendBatch() {
	if len(a.inFlight) > 0 {
		a.sendBatch()
	}
}

func (o *Owner) onAppendFailed(e structs.LogAppendFailed) {
	s := o.appends[e.ID]
	delete(o.appends, e.ID)
	if s == nil || len(s.app.inFlight) == 0 {
		return
	}
	a := &s.app
	if e.Refused {
		a.refusals++
	}
	if a.refusals > 1 {
		a.onConfirmTimeout()
	}
	o.timers.stop(a.resendTimer)
	a.resendTimer = o.after(a.backoff, a.resendBatch)
	a.backoff = min(2*a.backoff, maxAppendBackoff)
}

// onConfirmTimeout marks the log as unavailable.
func (a *appender) onConfirmTimeout() {
	if len(a.inFlight) == 0 || a.stalled {
		return
	}
	a.stalled = true
	if a.s.owned() {
		a.s.onLogDown()
	}
}

// onReadBack confirms this writer's record with that sequence number.
func (a *appender) onReadBack(sequence uint64, result journal.ApplyResult) {
	for len(a.inFlight) > 0 && a.inFlight[0].record.Sequence <= sequence {
		e := a.inFlight[0]
		a.inFlight = a.inFlight[1:]
		if e.record.Sequence == sequence && result == journal.Applied {
			a.s.setOwnedAt(a.sentAt)
		}
		if e.record.Sequence == sequence && result == journal.Applied && e.onCommitted != nil {
			e.onCommitted()
		}
	}
	if len(a.inFlight) > 0 {
		return
	}
	a.stalled = false
	a.s.o.timers.stop(a.resendTimer)
	a.s.o.timers.stop(a.confirmTimer)
	if len(a.queue) > 0 {
		a.scheduleFlush(0)
	}
}

// dropFenced drops the fenced records after another instance's claim, which makes
// them void in the log. A batch in flight with unfenced records is still
// repeated.
func (a *appender) dropFenced() {
	queue := a.queue
	a.queue = nil
	for _, e := range queue {
		if !e.record.Body.Kind().Fenced() {
			a.queue = append(a.queue, e)
		}
	}
	for _, e := range a.inFlight {
		if e.record.Body.Kind().Fenced() {
			e.onCommitted = nil
		}
	}
	if countUnfenced(a.inFlight) == 0 {
		a.inFlight = nil
		a.s.o.timers.stop(a.resendTimer)
		a.s.o.timers.stop(a.confirmTimer)
	}
	if len(a.queue) > 0 {
		a.scheduleFlush(0)
	}
}

// unfencedCount returns the number of unfenced records not in the log yet.
func (a *appender) unfencedCount() int { return countUnfenced(a.inFlight) + countUnfenced(a.queue) }

func countUnfenced(entries []*pendingRecord) int {
	n := 0
	for _, e := range entries {
		if !e.record.Body.Kind().Fenced() {
			n++
		}
	}
	return n
}

// full reports whether the limit of pending records is reached.
func (a *appender) full() bool { return len(a.queue)+len(a.inFlight) >= maxPendingRecords }

func (a *appender) stop() {
	if a.s == nil {
		return
	}
	a.s.o.timers.stop(a.flushTimer)
	a.s.o.timers.stop(a.resendTimer)
	a.s.o.timers.stop(a.confirmTimer)
}
