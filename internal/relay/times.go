package relay

import "time"

// times are how long the steps take in which a change reaches an instance through a
// relay. A change has to be known within a bound also if the relay falls silent, or
// the store falls silent for the relay, right before it: the relay's read, the time
// until the relay is given up and the question to the next one lie within the bound.
type times struct {
	// poll is how long a question waits at a relay for news, silence how long the
	// answer may take beyond that.
	poll, silence time.Duration
	// read and pause bound a relay's reads at the store and the times between them
	// while others ask it.
	read, pause time.Duration
	// stale is how old a relay's topics may be; it is more than they are while its
	// reads are in order.
	stale time.Duration
}

// Parts of the bound.
const (
	pollShare    = 1.0 / 4
	silenceShare = 1.0 / 5
	readShare    = 1.0 / 4
	pauseShare   = 1.0 / 8
	staleShare   = 0.45
	// longestBound stands for none.
	longestBound = 5 * time.Second
	// followedFor is how long an instance counts as followed after a question.
	followedFor = 5 * time.Second
)

func timesWithin(bound time.Duration) times {
	if bound <= 0 || bound > longestBound {
		bound = longestBound
	}
	part := func(share float64) time.Duration { return time.Duration(share * float64(bound)) }
	return times{
		poll: part(pollShare), silence: part(silenceShare), read: part(readShare), pause: part(pauseShare),
		stale: part(staleShare),
	}
}

// limit bounds a read of the store and the pause behind it while others ask this
// instance.
func (n *Node) limit(wait, pause time.Duration) (time.Duration, time.Duration) {
	if at := n.followedAt.Load(); at == nil || time.Since(*at) > followedFor {
		return wait, pause
	}
	return min(wait, n.times.read), min(pause, n.times.pause)
}

// staleTopics tells whether a relay's copies of the bounded topics that this instance
// knows are older than they are at a relay whose reads are in order.
func (n *Node) staleTopics(now time.Time) bool {
	for _, f := range n.Topics {
		if f.Bounded && f.Topic.Loaded() && f.Topic.Age(now) > n.times.stale {
			return true
		}
	}
	return false
}
