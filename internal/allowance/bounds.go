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
	// voteTTL is how long a voter lends its part. After the silent loss of a
	// coordinator its slot deals out nothing for that long, and longer if the
	// loss is noticed later; it has to outlast a few tries to renew.
	voteTTL = time.Second
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
	// maxLateArrival is how much later than others a request may reach its target
	// after it was dealt out: what is counted there is not what was counted here.
	maxLateArrival = 150 * time.Millisecond
	// rerunFraction of the requests may run a second time, since their answers were
	// lost; they are counted afterwards only.
	rerunFraction = 0.02
	// What is left of the tolerance pays for the votes of instances that have just
	// started, for what a voter brings along when it moves, and the rest for bursts:
	// agent programs send several calls at once, and the smallest organisations'
	// limits are below what one program sends in its busiest second.
	freshFraction     = 0.2
	carryOverFraction = 0.2
)

// bounds are the figures of the invariant for one limit.
type bounds struct {
	// level bounds what coordinators save up, start what a voter brings along
	// when it moves, all voters together; in requests.
	level     float64
	carryOver float64
	// freshWeight is what the vote of an instance counts that has just started.
	freshWeight float64
}

// boundsOf divides the tolerance of a limit.
func boundsOf(limit org.Limit, t Tolerance) bounds {
	rate := limit.PerSecond
	perWindow := rate*t.Window.Seconds() + limit.Burst
	tolerance := t.Over*perWindow + t.Slack - rate*maxLateArrival.Seconds() - rerunFraction*perWindow
	tolerance = max(tolerance, 0)
	fresh := min(freshFraction*tolerance/(rate*voteTTL.Seconds()), 1)
	start := carryOverFraction * tolerance
	level := max(tolerance-start-fresh*rate*voteTTL.Seconds(), 0)
	return bounds{level: limit.Burst + level, carryOver: start, freshWeight: fresh}
}
