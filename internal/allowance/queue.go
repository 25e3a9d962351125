package allowance

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// waiter is a request that waits to be let in. The channel has room for the one
// verdict.
type waiter struct {
	first bool
	rank  int
	// program is the hash of its program, 0 for none; named tells that the
	// coordinator was told.
	program  uint64
	reported bool
	// holdUntil is how long a request of a program under way is held for room.
	holdUntil time.Time
	decision  chan decision
}

// decision is what became of a request that waited.
type decision struct {
	admitted bool
	// reply is the answer that refused it.
	reply *structs.AllowanceReply
	// coordinator gave it.
	coordinator structs.InstanceID
}

// queue is the requests of one organisation that wait at this instance. It does no
// I/O.
type queue struct {
	organisation string
	limit        org.Limit
	version      int64
	waiting      []*waiter
	// reruns, and the requests and first turns that were let in and did not run,
	// are told with the next ask.
	reruns                   int
	returned, returnedStarts int
	// allocatedBy is the coordinator that dealt out last: no other one may take back
	// what it dealt.
	allocatedBy structs.InstanceID
	// usage is the organisation's use as the last answer told it.
	usage reportedUsage
	// pendingNumber is the number of the ask under way, 0 for none; asked are the
	// waiters that it names.
	pendingNumber  uint64
	pendingWaiters []*waiter
}

// requestTo makes the next ask of an instance. What another one dealt out is not given
// back to it.
func (q *queue) requestTo(to structs.InstanceID, number uint64, slot int) *structs.AllowanceAsk {
	if to != q.allocatedBy {
		q.returned, q.returnedStarts = 0, 0
	}
	return q.newRequest(number, slot)
}

// newRequest makes the next ask, with what waits now.
func (q *queue) newRequest(number uint64, slot int) *structs.AllowanceAsk {
	request := &structs.AllowanceAsk{
		Number: number, Slot: slot, Organisation: q.organisation,
		PerSecond: q.limit.PerSecond, Burst: q.limit.Burst, Version: q.version, Debt: q.reruns,
		Returned: q.returned, ReturnedStarts: q.returnedStarts,
	}
	q.reruns, q.returned, q.returnedStarts = 0, 0, 0
	q.pendingNumber, q.pendingWaiters = number, slices.Clone(q.waiting)
	for _, w := range q.pendingWaiters {
		w.addTo(request)
	}
	return request
}

// addTo names a waiter in an ask.
func (w *waiter) addTo(request *structs.AllowanceAsk) {
	if w.first {
		request.Starts[w.rank]++
		request.Begins[w.rank] = append(request.Begins[w.rank], w.program)
		return
	}
	request.Want++
	if w.program != 0 && !w.reported {
		request.Calls = append(request.Calls, w.program)
		w.reported = true
	}
}

// applyReply takes the answer that an instance gave to the ask under way.
func (q *queue) applyReply(reply *structs.AllowanceReply, from structs.InstanceID, now time.Time) {
	asked := q.pendingWaiters
	q.pendingNumber, q.pendingWaiters = 0, nil
	if reply.Outcome != structs.AllowanceDealt {
		q.returned, q.returnedStarts = 0, 0
		return
	}
	q.allocatedBy = from
	q.usage = reportedUsage{use: reply.Use, at: now}
	granted, starts := reply.Granted, reply.Starts
	for _, w := range asked {
		left := &granted
		if w.first {
			left = &starts[w.rank]
		}
		q.decide(w, left, decision{reply: reply, coordinator: from}, now)
	}
}

// decide tells one waiter what the answer means for it. What was meant for one
// that has left is used by nobody.
func (q *queue) decide(w *waiter, left *int, refusal decision, now time.Time) {
	if *left > 0 {
		*left--
		if q.remove(w) {
			w.decision <- decision{admitted: true}
		}
		return
	}
	held := !w.first && !now.Add(refusal.reply.RetryAfter).After(w.holdUntil)
	if !held && q.remove(w) {
		w.decision <- refusal
	}
}

// remove withdraws a waiter. It returns false if its verdict has been given or it
// has left before.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}
