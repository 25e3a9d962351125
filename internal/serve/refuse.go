package serve

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// RetryAfter delays of refused requests.
const (
	// retrySettings is about the time in which a starting instance reads the settings.
	retrySettings = 200 * time.Millisecond
	// retryBudget is about the time in which a budget's owner is replaced.
	retryBudget = 200 * time.Millisecond
	// retryBudgetsFull is longer than the other delays for budgets: memory is freed only as
	// programs expire.
	retryBudgetsFull = time.Second
	// retryOutage replaces the shorter delays while the store is unavailable. Outages
	// last seconds, so that callers would use up their attempts.
	retryOutage = 1300 * time.Millisecond
)

// giveUp ends a request that no target answered.
func (x *transfer) giveUp(outcome reason) {
	switch {
	case x.headSent:
		x.reason, x.abort = reasonTruncated, true
	case x.possiblyRan():
		x.refuse(http.StatusBadGateway, reasonTargetAborted, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, outcome, x.targetRetryAfter())
	}
}

// endOfContext returns why the request's context ended.
func (x *transfer) endOfContext() reason {
	switch {
	case errors.Is(context.Cause(x.request.Context()), ErrStopping):
		return reasonStopped
	case x.request.Context().Err() != nil:
		return reasonCallerLeft
	}
	return reasonTimedOut
}

// giveUpOnContext ends a request whose caller left, whose time is up or whose instance
// stops.
func (x *transfer) giveUpOnContext() {
	end := x.endOfContext()
	switch {
	case x.headSent || end == reasonCallerLeft:
		x.reason, x.abort = end, true
	case end == reasonStopped && x.possiblyRan():
		x.refuse(http.StatusBadGateway, end, 0)
	case end == reasonStopped:
		x.refuse(http.StatusServiceUnavailable, end, 0)
	case x.possiblyRan():
		x.refuse(http.StatusGatewayTimeout, end, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, reasonNotSent, x.targetRetryAfter())
	}
}

// refuseUnknownRoute refuses a request that matches no route. The refusal is retryable
// while the settings may be outdated, since the route may have been added.
func (x *transfer) refuseUnknownRoute() {
	age := x.server.freshness.SettingsAge()
	if age > x.server.keyPolicy.ConfigDelay {
		x.detail = "settings are " + age.String() + " old"
		x.refuse(http.StatusServiceUnavailable, reasonStaleSettings, x.server.retryAfter(retrySettings))
		return
	}
	x.refuse(http.StatusNotFound, reasonNoRoute, 0)
}

// refuse sends a response of this instance's own.
func (x *transfer) refuse(status int, outcome reason, retryAfter time.Duration) {
	x.status, x.reason = status, outcome
	header := x.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	if outcome == reasonMalformed {
		// The rest of the connection cannot be parsed as requests reliably.
		header.Set("Connection", "close")
	}
	x.boundDiscard()
	x.writer.WriteHeader(status)
	if _, err := io.WriteString(x.writer, string(outcome)+"\n"); err != nil {
		x.detail = err.Error()
	}
}
