package orders

import (
	"math"
	"time"
)

// Times of the controller.
const (
	// leaseDuration is how long one Lease record allows orders to targets
	// that ignore fencing numbers, from the time when its append was sent.
	leaseDuration = 10 * time.Second
	// leaseMargin is what a new controller waits beyond its predecessor's
	// lease, for clocks of different rates and orders on their way.
	leaseMargin = 2 * time.Second
	// maxLease bounds the lease that a record can name.
	maxLease = time.Hour
	// leaseRenewThreshold is the rest of a lease at which it is renewed.
	leaseRenewThreshold = leaseDuration / 2
	// leaseRetryInterval is the time between two appends of a lease that is not read
	// back.
	leaseRetryInterval = 2 * time.Second
	// minClaimRetry and maxClaimRetry bound the time between two appends of a
	// claim that is not read back.
	minClaimRetry = time.Second
	maxClaimRetry = 10 * time.Second
	// supersededBackoff is how long an instance that was superseded does not
	// claim, so that instances with different views of the membership do not
	// claim in turns.
	supersededBackoff = 15 * time.Second
	// membershipRefreshInterval is how often the membership is looked at unasked.
	membershipRefreshInterval = 5 * time.Second

	// readInterval is the time between two reads of a target's state.
	readInterval = 5 * time.Second
	// verifyInterval is the time between two reads of a target that has
	// accepted an order which is not in force yet.
	verifyInterval = time.Second
	// verifyTimeout is how long an accepted order may take to come into
	// force before it is sent again.
	verifyTimeout = 30 * time.Second
	// replyTimeout bounds the wait for the adapter's answer to a command.
	replyTimeout = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the wait after a failure at a target.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// backoff gives the wait after a number of failures in a row: doubling from
// first, at most limit.
func backoff(base, limit time.Duration, failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	factor := math.Exp2(float64(min(failures-1, 30)))
	return time.Duration(min(float64(base)*factor, float64(limit)))
}

// earliest gives the earlier of two times, where zero is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
