package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// urgency tells whether a call waits for a record.
type urgency bool

// Urgencies of records.
const (
	urgent urgency = true
	lazy   urgency = false
)

// entry is a record on its way into the log. counted is called once it was
// read back and took effect; never if another instance's claim came first.
type entry struct {
	record  journal.Record
	data    []byte
	counted func()
}

// appender writes the records of one shard in sequence order. One append is in
// flight at a time and is repeated unchanged until it is read back, so that a
// writer's sequence numbers ascend in the log and a repeat is recognizable.
type appender struct {
	s      *shard
	queue  []*entry
	flight []*entry
	// oldest is when the oldest record not read back was first sent.
	oldest time.Time
	// stalled tells that an append was not confirmed in time.
	stalled  bool
	refused  int
	backoff  time.Duration
	flushing *timer
	resend   *timer
	confirm  *timer
}

// appliesAhead tells whether an owner's own record takes effect in its state
// before it is read back: these state what is true whatever the log says.
// Abandoned is not among them, since it may come before its Intent counts and
// must take effect after it.
func appliesAhead(kind journal.Kind) bool {
	switch kind {
	case journal.KindStarted, journal.KindDone, journal.KindSettled, journal.KindLedgerReturn:
		return true
	default:
		return false
	}
}

// push queues a record; counted is called once it was read back with effect.
func (a *appender) push(body journal.Body, u urgency, counted func()) {
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
	a.queue = append(a.queue, &entry{record: rec, data: journal.Encode(rec), counted: counted})
	if u == urgent {
		a.schedule(0)
		return
	}
	a.schedule(lazyDelay)
}

// schedule flushes after a delay, or earlier if that is set already.
func (a *appender) schedule(d time.Duration) {
	at := a.s.o.now.Add(d)
	if a.flushing != nil && a.flushing.index >= 0 && !a.flushing.at.After(at) {
		return
	}
	a.s.o.timers.stop(a.flushing)
	a.flushing = a.s.o.timers.set(at, a.flush)
}

// flush sends the next batch, within the shard's rate.
func (a *appender) flush() {
	if len(a.flight) > 0 || len(a.queue) == 0 {
		return
	}
	if wait := a.s.o.takeToken(); wait > 0 {
		a.schedule(wait)
		return
	}
	n, size := 0, 0
	for n < len(a.queue) && n < maxBatchRecords && (n == 0 || size+len(a.queue[n].data) <= maxBatchBytes) {
		size += len(a.queue[n].data)
		n++
	}
	a.flight = append([]*entry(nil), a.queue[:n]...)
	a.queue = append([]*entry(nil), a.queue[n:]...)
	a.oldest = a.s.o.now
	a.backoff = appendBackoff
	a.refused = 0
	a.confirm = a.s.o.after(confirmTimeout, a.unconfirmed)
	a.sendFlight()
}

// takeToken gives the time to wait until the next append is allowed. The shards
// of an instance share its part of what the log takes from all instances, so
// that a busy shard may use what idle ones leave.
func (o *Owner) takeToken() time.Duration {
	rate := appendRate / float64(max(1, len(o.members.Peers())))
	burst := max(minBurst, rate/burstShare)
	if o.refilled.IsZero() {
		o.tokens = burst
	}
	o.tokens = min(burst, o.tokens+o.now.Sub(o.refilled).Seconds()*rate)
	o.refilled = o.now
	// The epsilon keeps a rounding error from setting a timer of zero length.
	if o.tokens+1e-6 >= 1 {
		o.tokens--
		return 0
	}
	return time.Duration((1-o.tokens)/rate*float64(time.Second)).Round(time.Millisecond) + time.Millisecond
}

// soon is the urgency of a record that no call waits for but whose loss costs:
// at once while half of the appends allowed at a time are left.
func (o *Owner) soon() urgency {
	rate := appendRate / float64(max(1, len(o.members.Peers())))
	burst := max(minBurst, rate/burstShare)
	tokens := o.tokens + o.now.Sub(o.refilled).Seconds()*rate
	return urgency(o.refilled.IsZero() || tokens >= burst/2+1)
}

func (a *appender) sendFlight() {
	o := a.s.o
	o.lastAppend++
	id := structs.AppendID(o.lastAppend)
	o.appends[id] = a.s
	records := make([][]byte, 0, len(a.flight))
	for _, e := range a.flight {
		records = append(records, e.data)
	}
	o.emit(structs.LogAppend{ID: id, Stream: a.s.stream, Records: records})
	o.timers.stop(a.resend)
	a.resend = o.after(resendAfter, a.repeat)
}

// repeat sends the batch in flight again with the same sequence numbers: its
// result is not known, and a duplicate is dropped by every reader.
func (a *appender) repeat() {
	if len(a.flight) > 0 {
		a.sendFlight()
	}
}

func (o *Owner) onAppendFailed(e structs.LogAppendFailed) {
	s := o.appends[e.ID]
	delete(o.appends, e.ID)
	if s == nil || len(s.app.flight) == 0 {
		return
	}
	a := &s.app
	if e.Refused {
		a.refused++
	}
	if a.refused > 1 {
		a.unconfirmed()
	}
	o.timers.stop(a.resend)
	a.resend = o.after(a.backoff, a.repeat)
	a.backoff = min(2*a.backoff, appendBackoffMax)
}

// unconfirmed takes the log to be down.
func (a *appender) unconfirmed() {
	if len(a.flight) == 0 || a.stalled {
		return
	}
	a.stalled = true
	if a.s.owned() {
		a.s.onLogDown()
	}
}

// onRead confirms the own record with that sequence number.
func (a *appender) onRead(sequence uint64, verdict journal.Verdict) {
	for len(a.flight) > 0 && a.flight[0].record.Sequence <= sequence {
		e := a.flight[0]
		a.flight = a.flight[1:]
		if e.record.Sequence == sequence && verdict == journal.Counted {
			a.s.provenAt(a.oldest)
		}
		if e.record.Sequence == sequence && verdict == journal.Counted && e.counted != nil {
			e.counted()
		}
	}
	if len(a.flight) > 0 {
		return
	}
	a.stalled = false
	a.s.o.timers.stop(a.resend)
	a.s.o.timers.stop(a.confirm)
	if len(a.queue) > 0 {
		a.schedule(0)
	}
}

// dropFenced forgets the fenced records after another instance's claim: in the
// log they are void. A batch in flight with unfenced records is still repeated.
func (a *appender) dropFenced() {
	queue := a.queue
	a.queue = nil
	for _, e := range queue {
		if !e.record.Body.Kind().Fenced() {
			a.queue = append(a.queue, e)
		}
	}
	for _, e := range a.flight {
		if e.record.Body.Kind().Fenced() {
			e.counted = nil
		}
	}
	if countUnfenced(a.flight) == 0 {
		a.flight = nil
		a.s.o.timers.stop(a.resend)
		a.s.o.timers.stop(a.confirm)
	}
	if len(a.queue) > 0 {
		a.schedule(0)
	}
}

// unfenced counts the facts that are not in the log yet.
func (a *appender) unfenced() int { return countUnfenced(a.flight) + countUnfenced(a.queue) }

func countUnfenced(entries []*entry) int {
	n := 0
	for _, e := range entries {
		if !e.record.Body.Kind().Fenced() {
			n++
		}
	}
	return n
}

// full tells whether no more records should be made until the log takes some.
func (a *appender) full() bool { return len(a.queue)+len(a.flight) >= maxPendingRecords }

func (a *appender) stop() {
	if a.s == nil {
		return
	}
	a.s.o.timers.stop(a.flushing)
	a.s.o.timers.stop(a.resend)
	a.s.o.timers.stop(a.confirm)
}
