package policy

import (
	"testing"
	"time"
)

// Turns are started during short outages but not during long ones.
func TestAllowTurnDuringOutage(t *testing.T) {
	const timeLeft = 4 * time.Second
	for elapsed, want := range map[time.Duration]bool{0: true, 7 * time.Second: true, 9 * time.Second: false} {
		if got := AllowTurnDuringOutage(elapsed, timeLeft); got != want {
			t.Errorf("after an outage of %s: got %v", elapsed, got)
		}
	}
}
