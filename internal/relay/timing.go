package relay

import "time"

// timing are how long the steps take in which a change reaches an instance through a
// relay. A change has to be known within a bound also if the relay falls silent, or
// the store falls silent for the relay, right before it: the relay's read, the time
// until the relay is given up and the question to the next one lie within the bound.
type timing struct {
	// pollWait is how long a question waits at a relay for news, silence how long the
	// answer may take beyond that.
	pollWait, replyTimeout time.Duration
	// maxReadWait and pause bound a relay's reads at the store and the times between them
	// while others ask it.
	maxReadWait, maxReadPause time.Duration
	// maxAge is how old a relay's topics may be; it is more than they are while its
	// reads are in order.
	maxAge time.Duration
}

// Parts of the bound.
const (
	pollWaitFraction     = 1.0 / 4
	replyTimeoutFraction = 1.0 / 5
	readWaitFraction     = 1.0 / 4
	readPauseFraction    = 1.0 / 8
	maxAgeFraction       = 0.45
	// maxStalenessCap stands for none.
	maxStalenessCap = 5 * time.Second
	// followerTimeout is how long an instance counts as followed after a question.
	followerTimeout = 5 * time.Second
)

func newTiming(bound time.Duration) timing {
	if bound <= 0 || bound > maxStalenessCap {
		bound = maxStalenessCap
	}
	fraction := func(f float64) time.Duration { return time.Duration(f * float64(bound)) }
	return timing{
		pollWait: fraction(pollWaitFraction), replyTimeout: fraction(replyTimeoutFraction), maxReadWait: fraction(readWaitFraction), maxReadPause: fraction(readPauseFraction),
		maxAge: fraction(maxAgeFraction),
	}
}

// limitRead bounds a read of the store and the pause behind it while others ask this
// instance.
func (n *Node) limitRead(wait, pause time.Duration) (time.Duration, time.Duration) {
	if at := n.lastQueriedAt.Load(); at == nil || time.Since(*at) > followerTimeout {
		return wait, pause
	}
	return min(wait, n.timing.maxReadWait), min(pause, n.timing.maxReadPause)
}

// hasStaleTopics tells whether a relay's copies of the bounded topics that this instance
// knows are older than they are at a relay whose reads are in order.
func (n *Node) hasStaleTopics(now time.Time) bool {
	for _, f := range n.Topics {
		if f.Bounded && f.Topic.Loaded() && f.Topic.Age(now) > n.timing.maxAge {
			return true
		}
	}
	return false
}
