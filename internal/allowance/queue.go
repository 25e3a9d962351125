package allowance

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// waiter is a request that waits for admission. decision has a buffer for the one
// decision.
type waiter struct {
	first bool
	rank  int
	// program is the hash of its program, 0 for none. reported indicates that the
	// program was sent to the coordinator with the request.
	program  uint64
	reported bool
	// holdUntil is the time until which a request of a program in progress is held.
	holdUntil time.Time
	decision  chan decision
}

// decision is the outcome of a waiting request.
type decision struct {
	admitted bool
	// reply is the refusal.
	reply *structs.AllowanceReply
	// coordinator sent the refusal.
	coordinator structs.InstanceID
}

// queue holds the waiting requests of one organisation at this instance. It does no
// I/O.
type queue struct {
	organisation string
	limit        org.Limit
	version      int64
	waiting      []*waiter
	// reruns counts the requests that ran again, returned and returnedStarts the released
	// permits, since the last message to a coordinator.
	reruns                   int
	returned, returnedStarts int
	// allocatedBy is the coordinator of the last allocation, the only one to which
	// permits are returned.
	allocatedBy structs.InstanceID
	// usage is the utilization in the last reply.
	usage reportedUsage
	// pendingNumber is the number of the request in flight, 0 for none; pendingWaiters
	// are the waiters in it.
	pendingNumber  uint64
	pendingWaiters []*waiter
}

// requestTo builds the next request to a coordinator. Permits allocated by another one
// are not returned to it.
func (q *queue) requestTo(to structs.InstanceID, number uint64, slot int) *structs.AllowanceRequest {
	if to != q.allocatedBy {
		q.returned, q.returnedStarts = 0, 0
	}
	return q.newRequest(number, slot)
}

// newRequest builds the next request from the current waiters.
func (q *queue) newRequest(number uint64, slot int) *structs.AllowanceRequest {
	request := &structs.AllowanceRequest{
		Number: number, Slot: slot, Organisation: q.organisation,
		PerSecond: q.limit.PerSecond, Burst: q.limit.Burst, Version: q.version, Reruns: q.reruns,
		Returned: q.returned, ReturnedFirstTurns: q.returnedStarts,
	}
	q.reruns, q.returned, q.returnedStarts = 0, 0, 0
	q.pendingNumber, q.pendingWaiters = number, slices.Clone(q.waiting)
	for _, w := range q.pendingWaiters {
		w.addTo(request)
	}
	return request
}

// addTo adds a waiter to a request.
func (w *waiter) addTo(request *structs.AllowanceRequest) {
	if w.first {
		request.FirstTurns[w.rank]++
		request.FirstTurnPrograms[w.rank] = append(request.FirstTurnPrograms[w.rank], w.program)
		return
	}
	request.Requests++
	if w.program != 0 && !w.reported {
		request.RequestPrograms = append(request.RequestPrograms, w.program)
		w.reported = true
	}
}

// applyReply applies the reply to the request in flight.
func (q *queue) applyReply(reply *structs.AllowanceReply, from structs.InstanceID, now time.Time) {
	waiters := q.pendingWaiters
	q.pendingNumber, q.pendingWaiters = 0, nil
	if reply.Outcome != structs.AllowanceAllocated {
		q.returned, q.returnedStarts = 0, 0
		return
	}
	q.allocatedBy = from
	q.usage = reportedUsage{utilization: reply.Utilization, at: now}
	granted, starts := reply.Granted, reply.FirstTurns
	for _, w := range waiters {
		left := &granted
		if w.first {
			left = &starts[w.rank]
		}
		q.decide(w, left, decision{reply: reply, coordinator: from}, now)
	}
}

// decide decides on one waiter. A permit for a waiter that has left is not used.
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

// remove removes a waiter. It returns false if the waiter was decided on or removed
// before.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}
