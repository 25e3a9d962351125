package policy

import (
	"testing"
	"time"
)

// Turns are started during short outages but not during long ones.
func TestAllowTurnDuringOutage(t *testing.T) {
	const left = 4 * time.Second
	for lasted, want := range map[time.Duration]bool{0: true, 7 * time.Second: true, 9 * time.Second: false} {
		if got := AllowTurnDuringOutage(lasted, left); got != want {
			t.Errorf("after %s: %v", lasted, got)
		}
	}
}
