package serve

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Times after which a refused caller should come back.
const (
	// retrySettings is about the time in which a starting instance reads the
	// settings.
	retrySettings = 200 * time.Millisecond
	// retryBudget is about the time of a change of a budget's owner.
	retryBudget = 200 * time.Millisecond
	// retryOutage is given instead of the shorter times while the store is
	// away: its outages last seconds, and callers have few tries.
	retryOutage = 1300 * time.Millisecond
)

// discard ends a request that no target answers.
func (x *transfer) giveUp(why reason) {
	switch {
	case x.headSent:
		x.reason, x.cut = reasonCut, true
	case x.possiblyRan():
		x.refuse(http.StatusBadGateway, reasonTargetBroke, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, why, x.targetRetryAfter())
	}
}

// giveUpOnContext ends a request whose caller left or whose time is up.
func (x *transfer) giveUpOnContext() {
	switch {
	case x.request.Context().Err() != nil:
		x.reason, x.cut = reasonCallerLeft, x.headSent
	case x.headSent:
		x.reason, x.cut = reasonTimedOut, true
	case x.possiblyRan():
		x.refuse(http.StatusGatewayTimeout, reasonTimedOut, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, reasonNotSent, x.targetRetryAfter())
	}
}

// refuseUnknownRoute ends a request for which the settings have no route. While they
// may be old the route may have been added since: a caller that is told that there is
// none gives up.
func (x *transfer) refuseUnknownRoute() {
	age := x.server.freshness.SettingsAge()
	if age > x.server.keyPolicy.ConfigDelay {
		x.detail = "settings are " + age.String() + " old"
		x.refuse(http.StatusServiceUnavailable, reasonStaleSettings, x.server.retryAfter(retrySettings))
		return
	}
	x.refuse(http.StatusNotFound, reasonNoRoute, 0)
}

// refuse answers a request itself.
func (x *transfer) refuse(status int, why reason, retryAfter time.Duration) {
	x.status, x.reason = status, why
	header := x.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	if why == reasonMalformed {
		// What follows on the connection cannot be trusted to be a request.
		header.Set("Connection", "close")
	}
	x.writer.WriteHeader(status)
	if _, err := io.WriteString(x.writer, string(why)+"\n"); err != nil {
		x.detail = err.Error()
	}
}
