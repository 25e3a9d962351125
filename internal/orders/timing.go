package orders

import (
	"math"
	"time"
)

// Timeouts and intervals of the controller.
const (
	// leaseDuration is how long a Lease record permits orders to targets that
	// ignore fencing numbers, from when its append was sent.
	leaseDuration = 10 * time.Second
	// leaseMargin is how long a new controller waits beyond its predecessor's
	// lease. It allows for clock drift and orders in flight.
	leaseMargin = 2 * time.Second
	// maxLease is the longest lease that a record may name.
	maxLease = time.Hour
	// leaseRenewThreshold is the remaining time of a lease at which it is
	// renewed.
	leaseRenewThreshold = leaseDuration / 2
	// leaseRetryInterval is the delay before a lease that was not read back is
	// appended again.
	leaseRetryInterval = 2 * time.Second
	// minClaimRetry and maxClaimRetry bound the delay before a claim that was
	// not read back is appended again.
	minClaimRetry = time.Second
	maxClaimRetry = 10 * time.Second
	// supersededBackoff is how long a superseded instance does not claim. It
	// keeps instances with different views of the membership from claiming in
	// turns.
	supersededBackoff = 15 * time.Second
	// membershipRefreshInterval is how often the membership is reread without a
	// change event.
	membershipRefreshInterval = 5 * time.Second

	// readInterval is the time between two reads of a target's state.
	readInterval = 5 * time.Second
	// verifyInterval is the time between reads while an accepted order is not
	// in force yet.
	verifyInterval = time.Second
	// verifyTimeout is how long an accepted order may take to come into force
	// before it is sent again.
	verifyTimeout = 30 * time.Second
	// replyTimeout is the timeout of a command to a target.
	replyTimeout = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failure at a
	// target.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// backoff returns the delay after a number of consecutive failures: base,
// doubled with each further failure up to limit.
func backoff(base, limit time.Duration, failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	factor := math.Exp2(float64(min(failures-1, 30)))
	return time.Duration(min(float64(base)*factor, float64(limit)))
}

// earliest returns the earlier of two times; zero means unset.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
