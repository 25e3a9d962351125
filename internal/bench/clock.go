package bench

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs scheduled actions in order of time.
type clock struct {
	now      time.Duration
	queue    actionHeap
	sequence uint64
}

type action struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// at schedules an action. Actions at the same time run in the order in which they
// were scheduled.
func (c *clock) at(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, action{at: max(at, c.now), sequence: c.sequence, run: run})
}

func (c *clock) after(wait time.Duration, run func()) { c.at(c.now+wait, run) }

// step runs the next action. It returns false if there is none.
func (c *clock) step() bool {
	if len(c.queue) == 0 {
		return false
	}
	next := heap.Pop(&c.queue).(action)
	c.now = next.at
	next.run()
	return true
}

type actionHeap []action

// Len implements heap.Interface.
func (h actionHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h actionHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *actionHeap) Push(x any) { *h = append(*h, x.(action)) }

// Pop implements heap.Interface.
func (h *actionHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = action{}
	*h = (*h)[:last]
	return x
}
