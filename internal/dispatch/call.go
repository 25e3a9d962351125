package dispatch

import (
	"container/heap"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// call is a call that waits for a permit or holds one.
type call struct {
	pool  *pool
	owner structs.InstanceID
	// request is the latest request received for the call.
	request *structs.PermitRequest
	order   policy.Call
	class   int
	// key orders the calls of a class, lowest first.
	key     time.Duration
	arrived time.Time
	// deadline is when the call must have ended, zero if it has no deadline.
	deadline time.Time
	// ownerDown is set while the owner is reported down.
	ownerDown bool

	// target is where the call holds a permit, nil while it waits.
	target *target
	// prefill is the estimated time to prefill this call's prompt; prefillAhead
	// is the prefill queued at the target when the permit was granted.
	prefill, prefillAhead time.Duration

	// timerAt is when the call expires: its latest start, the owner-down
	// timeout, or the end of a permit that was never returned.
	timerAt    time.Time
	timerIndex int
}

func (c *call) waiting() bool { return c.target == nil }

func (c *call) run() structs.RunID { return c.request.Ref.Run }

func (c *call) program() structs.ProgramID { return c.request.Ref.Program }

// noTimer is the timerIndex of a call that is not in the heap.
const noTimer = -1

// timerHeap orders calls by expiry.
type timerHeap []*call

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if !h[i].timerAt.Equal(h[j].timerAt) {
		return h[i].timerAt.Before(h[j].timerAt)
	}
	return h[i].run() < h[j].run()
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	c := x.(*call)
	c.timerIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.timerIndex = noTimer
	return c
}

// setTimer reschedules a call's timer; the zero time removes it.
func (d *Dispatcher) setTimer(c *call, at time.Time) {
	if c.timerIndex != noTimer {
		heap.Remove(&d.timers, c.timerIndex)
	}
	c.timerAt = at
	if !at.IsZero() {
		heap.Push(&d.timers, c)
	}
}

// endedRuns holds the most recently ended runs, so that a delayed duplicate of
// a request is not queued again.
type endedRuns struct {
	set  map[structs.RunID]struct{}
	ring []structs.RunID
	next int
}

// maxEndedRuns is the capacity of endedRuns.
const maxEndedRuns = 1024

func newEndedRuns() endedRuns {
	return endedRuns{set: make(map[structs.RunID]struct{}, maxEndedRuns), ring: make([]structs.RunID, maxEndedRuns)}
}

func (e *endedRuns) add(run structs.RunID) {
	if _, ok := e.set[run]; ok {
		return
	}
	delete(e.set, e.ring[e.next])
	e.ring[e.next] = run
	e.set[run] = struct{}{}
	e.next = (e.next + 1) % maxEndedRuns
}

func (e *endedRuns) contains(run structs.RunID) bool {
	_, ok := e.set[run]
	return ok
}
