package edge

import (
	"testing"
	"time"
)

// A target that leaves must get no request once its time to serve on is over: a
// pause, the next one's read and two tries that fail fit in it.
func TestTargetsAreReadInTime(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		pause := targetsPause(delay)
		if 2*pause+callBudget > delay || pause > maxTargetsPause {
			t.Errorf("a pause of %s for a delay of %s", pause, delay)
		}
		if wait := readWait(delay); wait > delay || wait > maxReadWait {
			t.Errorf("a wait of %s for a bound of %s", wait, delay)
		}
	}
	if targetsPause(0) != minTargetsPause || readWait(0) != maxReadWait {
		t.Error("times without a bound")
	}
}

// callBudget is what two calls of a store that answers may take.
const callBudget = 200 * time.Millisecond
