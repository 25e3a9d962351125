package exchange

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
)

// cause is the reason for opening a connection, used as a metric label.
type cause string

const (
	// causeFirst: there was no idle connection recently.
	causeFirst cause = "first"
	// causeBusy: all connections to the target are in use.
	causeBusy cause = "busy"
	// causeExpired: the last idle connection expired.
	causeExpired cause = "expired"
	// causeClosed: the target closed the last idle connection, or it had received
	// unexpected data.
	causeClosed cause = "closed"
	// causeProbe: to find out whether a target has ended.
	causeProbe cause = "probe"
	// causeLimit: the last idle connection was closed for one to another address.
	causeLimit cause = "limit"
)

// closeCauseRetention is how long the close cause of an address's last idle connection
// is retained.
const closeCauseRetention = time.Minute

// addressState holds the idle connections of one address and counts the others.
type addressState struct {
	idle []*conn
	// inUse is the number of connections that carry a request or are being opened.
	inUse int
	// closeCause is the reason for closing the last idle connection, at closedAt.
	closeCause cause
	closedAt   time.Time
	// lastCheck is the newest check whether a process listens, nil if there was none.
	lastCheck *listenCheck
}

// takeLast removes and returns the most recently used idle connection, nil if there is
// none.
func (s *addressState) takeLast() *conn {
	if len(s.idle) == 0 {
		return nil
	}
	last := len(s.idle) - 1
	c := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	return c
}

// expire closes the idle connections that have expired, and those that received bytes,
// which would take memory until then. It returns their number.
func (s *addressState) expire(now time.Time) int {
	before := len(s.idle)
	remaining := s.idle[:0]
	for _, c := range s.idle {
		reason := cause("")
		switch {
		case now.After(c.expires):
			reason = causeExpired
		case !c.usable():
			reason = causeClosed
		default:
			remaining = append(remaining, c)
			continue
		}
		_ = c.Close() // idle, so nothing is lost
		s.recordClose(reason, now)
	}
	clear(s.idle[len(remaining):])
	s.idle = remaining
	return before - len(remaining)
}

// closeOldest closes the idle connection that was used longest ago.
func (s *addressState) closeOldest(now time.Time) {
	_ = s.idle[0].Close() // idle, so nothing is lost
	s.idle = slices.Delete(s.idle, 0, 1)
	s.recordClose(causeLimit, now)
}

// closeIdle closes all idle connections and returns their number.
func (s *addressState) closeIdle() int {
	closed := len(s.idle)
	for _, c := range s.idle {
		_ = c.Close() // idle, so nothing is lost
	}
	s.idle = nil
	return closed
}

// recordClose records the reason for closing an idle connection.
func (s *addressState) recordClose(reason cause, now time.Time) {
	s.closeCause, s.closedAt = reason, now
}

// openCause returns the reason for opening a connection now.
func (s *addressState) openCause(now time.Time) cause {
	switch {
	case s.inUse > 0:
		return causeBusy
	case s.closeCause != "" && now.Sub(s.closedAt) < closeCauseRetention:
		return s.closeCause
	}
	return causeFirst
}

// removable reports whether the state of the address can be removed.
func (s *addressState) removable(now time.Time) bool {
	return len(s.idle) == 0 && s.inUse == 0 && now.Sub(s.closedAt) >= closeCauseRetention
}

// causeCounters count the opened connections by cause.
type causeCounters map[cause]tally.Counter

func newCauseCounters(scope tally.Scope) causeCounters {
	counters := make(causeCounters)
	for _, c := range []cause{causeFirst, causeBusy, causeExpired, causeClosed, causeProbe, causeLimit} {
		counters[c] = scope.Tagged(map[string]string{"cause": string(c)}).Counter("connections_opened")
	}
	return counters
}
