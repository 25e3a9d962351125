package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
)

// Tolerance is how far an organisation may exceed its limit, as set by the operator.
type Tolerance struct {
	// Window is the time over which requests are counted.
	Window time.Duration
	// Fraction is a fraction of what the limit allows in a window, Requests a number
	// of requests on top.
	Fraction float64
	Requests float64
}

const (
	// voteTTL is how long a voter leases its part of the limits. After a crash of its
	// coordinator a slot allocates nothing until the votes expire. It covers several
	// attempts to renew.
	voteTTL = time.Second
	// renewInterval is the time between two requests for a vote.
	renewInterval = 250 * time.Millisecond
	// maxVoters bounds the voters of a slot and maxSlots the slots, so that the number
	// of messages does not grow with the instances: 768 a second with both. With 12
	// voters the loss of a third of the instances at random leaves 0.67 +- 0.14 of an
	// allowance.
	maxVoters = 12
	maxSlots  = 8
)

const (
	// maxLateArrival is how much later a request may reach its target after it was
	// admitted. Targets count requests on arrival.
	maxLateArrival = 150 * time.Millisecond
	// rerunFraction of the requests may run a second time because the first response
	// was lost. These are counted only afterwards.
	rerunFraction = 0.02
	// The rest of the tolerance is divided among the votes of instances that have just
	// started, the carry-over of voters that change their coordinator, and bursts:
	// agent programs send several calls at once, and the smallest limits are below one
	// program's peak.
	freshFraction     = 0.2
	carryOverFraction = 0.2
)

// bounds divides the tolerance of one limit, as in the invariant of the package.
type bounds struct {
	// level bounds the requests saved up by all coordinators; carryOver is what all
	// voters together add when they change their coordinator.
	level     float64
	carryOver float64
	// freshWeight is the weight of the vote of an instance that has just started.
	freshWeight float64
}

// boundsOf divides the tolerance of a limit.
func boundsOf(limit org.Limit, t Tolerance) bounds {
	rate := limit.PerSecond
	perWindow := rate*t.Window.Seconds() + limit.Burst
	remaining := t.Fraction*perWindow + t.Requests - rate*maxLateArrival.Seconds() - rerunFraction*perWindow
	remaining = max(remaining, 0)
	freshWeight := min(freshFraction*remaining/(rate*voteTTL.Seconds()), 1)
	carryOver := carryOverFraction * remaining
	level := max(remaining-carryOver-freshWeight*rate*voteTTL.Seconds(), 0)
	return bounds{level: limit.Burst + level, carryOver: carryOver, freshWeight: freshWeight}
}
