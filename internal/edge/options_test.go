package edge

import (
	"testing"
	"time"
)

// A draining target must not receive requests after its drain delay: two pauses and the
// reads between them have to fit into the delay.
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
		t.Error("wrong pause or wait without a bound")
	}
}

// callBudget is the time allowed for two successful calls to the store.
const callBudget = 200 * time.Millisecond
