package policy

import (
	"testing"
	"time"
)

// playWindow has answers that take a base time and, for each append in flight, a
// time in the queue. It returns the largest window of the last ten.
func playWindow(base, queue time.Duration) int {
	var w AppendWindow
	largest := 0
	for i := range 30 {
		if i >= 20 {
			largest = max(largest, w.Size())
		}
		took := base + queue*time.Duration(w.Size())
		w.Observe(AppendResult{Took: took, Slow: took > storeSlowAbove}, base+queue)
	}
	return largest
}

func TestAppendWindowFollowsTheQueue(t *testing.T) {
	if got := playWindow(400*time.Millisecond, 10*time.Millisecond); got != appendWindowMost {
		t.Errorf("answers long on their way: %d in flight", got)
	}
	if got := playWindow(0, 120*time.Millisecond); got > 2 {
		t.Errorf("a slow partition: %d in flight", got)
	}
	if got := playWindow(4*time.Millisecond, time.Millisecond); got != 1 {
		t.Errorf("a store that is well: %d in flight", got)
	}
}
