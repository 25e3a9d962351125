package policy

import "time"

// Load pattern: callers that send large requests, or read their answers slowly
// or not at all, at an instance of little memory. What is held for them grows
// until the process is ended, with all that runs there.

const (
	// newProgramFraction of the bound may be held before requests that may begin a program
	// are refused; the rest is left to programs under way.
	newProgramFraction = 0.7
	// pressureThreshold of the bound is held when callers that read nothing cost others.
	pressureThreshold = 0.7
	// stallTimeout is how long a caller may read nothing. Targets cut off an answer
	// that stays unread for some seconds, and a lost connection may need a few
	// for its repeats.
	stallTimeout = 10 * time.Second
	// stallTimeoutUnderPressure is the same while bytes are short: some repeats.
	stallTimeoutUnderPressure = 2 * time.Second
)

// RequestMemory is what an instance holds for requests, in bytes.
type RequestMemory struct {
	Held int64
	// Max is the bound, 0 for none.
	Max int64
}

// Fits tells whether some bytes more may be held. Programs under way may use the
// whole bound. Other requests may take half of what is left of their share, so
// that the largest are refused first; what fits into the share alone is let in
// while nothing else is held, so that no size is refused for good.
func (b RequestMemory) Fits(size int64, inProgress bool) bool {
	if b.Max <= 0 {
		return true
	}
	if inProgress {
		return size <= b.Max-b.Held
	}
	budget := int64(newProgramFraction * float64(b.Max))
	if b.Held == 0 {
		return size <= budget
	}
	return size <= (budget-b.Held)/2
}

// StallTimeout is how long a caller may read nothing of its answer.
func (b RequestMemory) StallTimeout() time.Duration {
	if b.Max > 0 && float64(b.Held) > pressureThreshold*float64(b.Max) {
		return stallTimeoutUnderPressure
	}
	return stallTimeout
}
