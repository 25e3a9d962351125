package policy

import (
	"testing"
	"time"
)

// largestWindow simulates appends that take a base time and a queueing time for
// each append in flight. It returns the largest of the last ten windows.
func largestWindow(base, queue time.Duration) int {
	var w AppendWindow
	largest := 0
	for i := range 30 {
		if i >= 20 {
			largest = max(largest, w.Size())
		}
		took := base + queue*time.Duration(w.Size())
		w.Observe(AppendResult{Latency: took, Slow: took > minSlowAppend}, base+queue)
	}
	return largest
}

func TestAppendWindowTracksQueueing(t *testing.T) {
	if got := largestWindow(400*time.Millisecond, 10*time.Millisecond); got != maxAppendWindow {
		t.Errorf("long network path: window of %d", got)
	}
	if got := largestWindow(0, 120*time.Millisecond); got > 2 {
		t.Errorf("slow partition: window of %d", got)
	}
	if got := largestWindow(4*time.Millisecond, time.Millisecond); got != 1 {
		t.Errorf("healthy store: window of %d", got)
	}
}
