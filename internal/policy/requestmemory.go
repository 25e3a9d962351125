package policy

import "time"

// Callers that send large requests or read their responses slowly can make the
// memory held for them grow until the process is killed.

const (
	// newProgramFraction is the fraction of the limit up to which requests that
	// may begin a program are accepted; the rest is reserved for programs in
	// progress.
	newProgramFraction = 0.7
	// pressureThreshold is the fraction of the limit above which stalled callers
	// are disconnected sooner.
	pressureThreshold = 0.7
	// stallTimeout is how long a caller may read nothing. It leaves time for a few TCP
	// retransmissions; targets cut off a response that stays unread for some seconds.
	stallTimeout = 10 * time.Second
	// stallTimeoutUnderPressure is the same under memory pressure.
	stallTimeoutUnderPressure = 2 * time.Second
)

// RequestMemory is the memory that an instance holds for requests, in bytes.
type RequestMemory struct {
	Held int64
	// Max is the limit, 0 for none.
	Max int64
}

// Fits reports whether size more bytes may be held. Programs in progress may use
// the whole limit. Other requests may take half of what is left of their
// fraction, so that the largest are refused first. While nothing is held they
// may take all of it, so that no size below it is refused forever.
func (m RequestMemory) Fits(size int64, inProgress bool) bool {
	if m.Max <= 0 {
		return true
	}
	if inProgress {
		return size <= m.Max-m.Held
	}
	budget := int64(newProgramFraction * float64(m.Max))
	if m.Held == 0 {
		return size <= budget
	}
	return size <= (budget-m.Held)/2
}

// Shortage returns how many bytes must be released before size more bytes fit, 0 if they do.
// They fit at the latest once nothing is held, if at all.
func (m RequestMemory) Shortage(size int64, inProgress bool) int64 {
	if m.Fits(size, inProgress) {
		return 0
	}
	if inProgress {
		return m.Held + size - m.Max
	}
	budget := int64(newProgramFraction * float64(m.Max))
	return min(m.Held, m.Held+2*size-budget)
}

// StallTimeout returns how long a caller may read nothing of its response.
func (m RequestMemory) StallTimeout() time.Duration {
	if m.Max > 0 && float64(m.Held) > pressureThreshold*float64(m.Max) {
		return stallTimeoutUnderPressure
	}
	return stallTimeout
}
