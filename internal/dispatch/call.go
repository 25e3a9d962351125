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
	// request is the last one received.
	request *structs.PermitRequest
	order   policy.Call
	class   int
	key     time.Duration
	arrived time.Time
	// deadline is when the call must have ended, zero for none.
	deadline time.Time
	// ownerDown is set since the owner was reported dead.
	ownerDown bool

	// target is where the call holds a permit, nil while it waits.
	target *target
	// prefill is the estimated own prefill time and queued the prefill that
	// was ahead of it.
	prefill, prefillAhead time.Duration

	// timerAt is the call's next timer: its deadline, the drop after its
	// owner's death, or the end of a permit that nobody returned.
	timerAt    time.Time
	timerIndex int
}

func (c *call) waiting() bool { return c.target == nil }

func (c *call) run() structs.RunID { return c.request.Ref.Run }

func (c *call) program() structs.ProgramID { return c.request.Ref.Program }

// noTimer is the index of a call without a timer.
const noTimer = -1

// timerHeap orders calls by their timers.
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

// setTimer moves a call's timer; the zero time removes it.
func (d *Dispatcher) setTimer(c *call, at time.Time) {
	if c.timerIndex != noTimer {
		heap.Remove(&d.timers, c.timerIndex)
	}
	c.timerAt = at
	if !at.IsZero() {
		heap.Push(&d.timers, c)
	}
}

// endedRuns remembers the last runs that ended, so that a late duplicate of
// their request is not queued again.
type endedRuns struct {
	set  map[structs.RunID]struct{}
	ring []structs.RunID
	next int
}

// maxEndedRuns is the number of ended runs remembered.
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
