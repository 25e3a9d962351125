package relay

import "time"

// timing holds the timeouts on the path of a change from the store to an instance. A
// change has to arrive within the staleness bound even if the relay, or the relay's
// connection to the store, hangs right before it: the relay's read, the timeout of the
// poll and the query to the next relay together fit into the bound. Where several relays
// hang, the age of the copies decides when other relays are queried.
type timing struct {
	// pollWait is how long a relay may hold a poll, replyTimeout how long the reply may
	// take beyond that.
	pollWait, replyTimeout time.Duration
	// maxReadWait and maxReadPause bound a relay's reads of the store and the pauses
	// between them while other instances poll it.
	maxReadWait, maxReadPause time.Duration
	// maxAge is the age from which a relay's copies count as stale. It exceeds their age
	// while the relay's reads succeed.
	maxAge time.Duration
	// pollAge is the age of its copies at which an instance ends a poll, refreshAge the
	// age from which it queries several relays at once, every refreshInterval at first.
	pollAge, refreshAge, refreshInterval time.Duration
	// standbyAge is the age from which the standbys are used. For fallbackValidity after
	// such a refresh, relays' reports of a failing store are not taken for an outage.
	standbyAge, fallbackValidity time.Duration
}

// The timeouts as fractions of the staleness bound.
const (
	pollWaitFraction     = 1.0 / 4
	replyTimeoutFraction = 1.0 / 5
	readWaitFraction     = 1.0 / 4
	readPauseFraction    = 1.0 / 8
	maxAgeFraction       = 0.45
	// A poll that ends at pollAge is answered before refreshAge unless the relay is
	// unresponsive. Behind refreshAge there is time for several rounds of queries.
	pollAgeFraction         = 0.5
	refreshAgeFraction      = 0.65
	refreshIntervalFraction = 1.0 / 20
	// Behind standbyAge there is time for a read of the store by a standby, the queries of
	// the standbys and a read by each instance.
	standbyAgeFraction       = 0.7
	fallbackValidityFraction = 1.5
	// maxStalenessCap is used in place of longer bounds or none.
	maxStalenessCap = 5 * time.Second
	// followerTimeout is how long after a query an instance counts as polled by others.
	followerTimeout = 5 * time.Second
)

func newTiming(bound time.Duration) timing {
	if bound <= 0 || bound > maxStalenessCap {
		bound = maxStalenessCap
	}
	fraction := func(f float64) time.Duration { return time.Duration(f * float64(bound)) }
	return timing{
		pollWait: fraction(pollWaitFraction), replyTimeout: fraction(replyTimeoutFraction), maxReadWait: fraction(readWaitFraction), maxReadPause: fraction(readPauseFraction),
		maxAge: fraction(maxAgeFraction), pollAge: fraction(pollAgeFraction),
		refreshAge: fraction(refreshAgeFraction), refreshInterval: fraction(refreshIntervalFraction),
		standbyAge: fraction(standbyAgeFraction), fallbackValidity: fraction(fallbackValidityFraction),
	}
}

// limitRead bounds a read of the store and the pause after it while other instances poll
// this one.
func (n *Node) limitRead(wait, pause time.Duration) (time.Duration, time.Duration) {
	if at := n.lastQueriedAt.Load(); at == nil || time.Since(*at) > followerTimeout {
		return wait, pause
	}
	return min(wait, n.timing.maxReadWait), min(pause, n.timing.maxReadPause)
}

// copyAge returns the age of the oldest copy of a bounded topic, 0 if none is loaded.
func (n *Node) copyAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, f := range n.Topics {
		if f.Bounded && f.Topic.Loaded() {
			oldest = max(oldest, f.Topic.Age(now))
		}
	}
	return oldest
}

// isStale reports whether a reply's copies of the bounded topics are older than those of a
// relay whose reads succeed.
func (n *Node) isStale(reply Reply) bool {
	for _, f := range n.Topics {
		update, ok := reply.Topics[f.Topic.Name]
		if f.Bounded && ok && (update.AgeMs < 0 || update.AgeMs > n.timing.maxAge.Milliseconds()) {
			return true
		}
	}
	return false
}

// isRefused reports whether the sender's reads of a bounded topic fail.
func (n *Node) isRefused(reply Reply) bool {
	for _, f := range n.Topics {
		if update, ok := reply.Topics[f.Topic.Name]; f.Bounded && ok && update.Failing {
			return true
		}
	}
	return false
}
