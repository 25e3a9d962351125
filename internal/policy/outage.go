package policy

// While the store is unresponsive, turns can run but not complete. If callers
// leave before the store recovers, the same turns run again.

import "time"

// minRemainingFraction is the expected remaining time of an outage as a fraction of the
// time that it has lasted. Outages mostly end within seconds, and a turn that is held
// ends as soon as the store returns.
const minRemainingFraction = 0.5

// AllowTurnDuringOutage reports whether a turn may begin that can complete only
// after the outage. elapsed is the duration of the outage so far, timeLeft how
// long the caller still waits.
func AllowTurnDuringOutage(elapsed, timeLeft time.Duration) bool {
	return minRemainingFraction*elapsed.Seconds() <= timeLeft.Seconds()
}
