package policy

import (
	"testing"
	"time"
)

// Turns of callers that wait four seconds are held over an outage of some
// seconds, and not begun in one that goes on.
func TestTurnsAreHeldOverShortOutagesOnly(t *testing.T) {
	const left = 4 * time.Second
	for lasted, want := range map[time.Duration]bool{0: true, 7 * time.Second: true, 9 * time.Second: false} {
		if got := AllowTurnDuringOutage(lasted, left); got != want {
			t.Errorf("after %s: %v", lasted, got)
		}
	}
}
