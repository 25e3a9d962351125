package owner

import (
	"container/heap"
	"time"
)

// timer is a pending callback. Timers of the same time fire in the order in which
// they were set.
type timer struct {
	at    time.Time
	order uint64
	index int
	fire  func()
}

// timers is a heap of timers ordered by time.
type timers struct {
	heap  timerHeap
	order uint64
}

func (t *timers) set(at time.Time, fire func()) *timer {
	t.order++
	tm := &timer{at: at, order: t.order, fire: fire}
	heap.Push(&t.heap, tm)
	return tm
}

// stop removes a timer. It ignores nil and timers that have fired.
func (t *timers) stop(tm *timer) {
	if tm == nil || tm.index < 0 {
		return
	}
	heap.Remove(&t.heap, tm.index)
}

// due removes and returns the earliest timer that is due, nil if none is.
func (t *timers) due(now time.Time) *timer {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		return nil
	}
	return heap.Pop(&t.heap).(*timer)
}

func (t *timers) next() time.Time {
	if len(t.heap) == 0 {
		return time.Time{}
	}
	return t.heap[0].at
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	tm := x.(*timer)
	tm.index = len(*h)
	*h = append(*h, tm)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	tm := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	tm.index = -1
	return tm
}
