package bench

import (
	"container/heap"
	"time"
)

// clock runs actions in order of virtual time.
type clock struct {
	now    time.Duration
	queue  actionHeap
	number uint64
}

type action struct {
	at     time.Duration
	number uint64
	do     func()
}

// at schedules an action; those of the same time run in order of scheduling.
func (c *clock) at(at time.Duration, do func()) {
	c.number++
	heap.Push(&c.queue, action{at: max(at, c.now), number: c.number, do: do})
}

func (c *clock) after(wait time.Duration, do func()) { c.at(c.now+wait, do) }

// step runs the next action; false if there is none.
func (c *clock) step() bool {
	if len(c.queue) == 0 {
		return false
	}
	next := heap.Pop(&c.queue).(action)
	c.now = next.at
	next.do()
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
	return h[i].number < h[j].number
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
