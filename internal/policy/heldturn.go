package policy

// Load pattern: while the store is silent engines run turns whose ends wait for
// their records. Callers leave before the store is back, and the same turns are
// run again.

import "time"

// heldTurnShare is how much of the time that an outage has lasted it is expected
// to last at least: outages mostly end within seconds, and a turn that is held
// ends at the very moment of the store's return.
const heldTurnShare = 0.5

// AllowTurnDuringOutage tells whether a turn may begin whose end has to wait for the end of
// an outage that has lasted some time, for a caller that leaves after another.
func AllowTurnDuringOutage(lasted, left time.Duration) bool {
	return heldTurnShare*lasted.Seconds() <= left.Seconds()
}
