package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
)

// Tolerance is by how much an organisation may pass its limit, as the operator
// sets it.
type Tolerance struct {
	// Window is the time over which requests are counted.
	Window time.Duration
	// Over is a share of what the limit allows in a window, Slack a number of
	// requests on top.
	Over  float64
	Slack float64
}

const (
	// voteLife is how long a voter lends its part. After the silent loss of a
	// coordinator its slot deals out nothing for that long, and longer if the
	// loss is noticed later; it has to outlast a few tries to renew.
	voteLife = time.Second
	// renewInterval is the time between two requests for a vote.
	renewInterval = 250 * time.Millisecond
	// maxVoters bounds the voters of a slot, and maxSlots the slots, so that
	// messages do not grow with the instances: 768 a second with both. With 12
	// voters the loss of a third of the instances at random leaves 0.67 +- 0.14 of
	// an allowance.
	maxVoters = 12
	maxSlots  = 8
)

const (
	// lifeShare and freshShare of the tolerance pay for what was dealt out but is
	// used later, and for the votes of instances that have just started; half of
	// the rest goes to each of level and start.
	lifeShare  = 0.4
	freshShare = 0.4
	// lifeMost bounds how long something dealt out may be used: what lies unused
	// at one instance is lacking at others.
	lifeMost = time.Second
	// lifeLeast is a few round trips; a tolerance too small for it is passed.
	lifeLeast = 50 * time.Millisecond
)

// terms are the figures of the invariant for one limit.
type terms struct {
	// level bounds what coordinators save up, start what a voter brings along
	// when it moves, all voters together; in requests.
	level float64
	start float64
	// life is how long something dealt out may be used.
	life time.Duration
	// fresh is what the vote of an instance counts that has just started.
	fresh float64
}

// termsOf divides the tolerance of a limit.
func termsOf(limit org.Limit, t Tolerance) terms {
	rate := limit.PerSecond
	spare := t.Over*(rate*t.Window.Seconds()+limit.Burst) + t.Slack
	life := time.Duration(lifeShare * spare / rate * float64(time.Second))
	life = min(max(life, lifeLeast), lifeMost)
	fresh := min(freshShare*spare/(rate*voteLife.Seconds()), 1)
	rest := max(spare-rate*life.Seconds()-fresh*rate*voteLife.Seconds(), 0)
	return terms{level: limit.Burst + rest/2, start: rest / 2, life: life, fresh: fresh}
}
