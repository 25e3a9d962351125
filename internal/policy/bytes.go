package policy

import "time"

// Load pattern: callers that send large requests, or read their answers slowly
// or not at all, at an instance of little memory. What is held for them grows
// until the process is ended, with all that runs there.

const (
	// beginShare of the bound may be held before requests that may begin a program
	// are refused; the rest is left to programs under way.
	beginShare = 0.7
	// tightShare of the bound is held when callers that read nothing cost others.
	tightShare = 0.7
	// stallMost is how long a caller may read nothing. Targets cut off an answer
	// that stays unread for some seconds, and a lost connection may need a few
	// for its repeats.
	stallMost = 10 * time.Second
	// stallMostTight is the same while bytes are short: some repeats.
	stallMostTight = 2 * time.Second
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
func (b RequestMemory) Fits(size int64, underWay bool) bool {
	if b.Max <= 0 {
		return true
	}
	if underWay {
		return size <= b.Max-b.Held
	}
	share := int64(beginShare * float64(b.Max))
	if b.Held == 0 {
		return size <= share
	}
	return size <= (share-b.Held)/2
}

// StallTimeout is how long a caller may read nothing of its answer.
func (b RequestMemory) StallTimeout() time.Duration {
	if b.Max > 0 && float64(b.Held) > tightShare*float64(b.Max) {
		return stallMostTight
	}
	return stallMost
}
