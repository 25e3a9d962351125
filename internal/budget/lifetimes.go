package budget

import "time"

const (
	// defaultTurnTime and defaultRetention are the lower bounds of the longest turn and
	// retention: routes that are not in force here may be in force elsewhere.
	defaultTurnTime  = 20 * time.Second
	defaultRetention = 60 * time.Second
	// deliveryMargin bounds the time from the end of a turn at its instance until the
	// caller has read the last of it, from which the caller measures the retention.
	deliveryMargin = 2 * time.Second
)

// Lifetimes bound the times for which programs have to be known, over all routes.
type Lifetimes struct {
	// Turn is the longest time of a turn.
	Turn time.Duration
	// Retention is the longest time after which a program may return.
	Retention time.Duration
}

// defaultLifetimes are those of unknown routes.
var defaultLifetimes = Lifetimes{Turn: defaultTurnTime, Retention: defaultRetention}

// merge returns the longer of the times of both.
func (l Lifetimes) merge(other Lifetimes) Lifetimes {
	return Lifetimes{Turn: max(l.Turn, other.Turn), Retention: max(l.Retention, other.Retention)}
}

// afterGrant is the time after which no program can return that was granted tokens at a
// time.
func (l Lifetimes) afterGrant() time.Duration { return l.Turn + l.Retention + deliveryMargin }

// ExtendLifetimes makes programs known for at least the given times. Times never become
// shorter, since programs may return that ran under earlier settings.
func (m *Manager) ExtendLifetimes(lifetimes Lifetimes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lifetimes = m.lifetimes.merge(lifetimes)
}
