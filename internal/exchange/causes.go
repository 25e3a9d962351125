package exchange

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// cause is why a connection had to be opened.
type cause string

// Causes.
const (
	// causeFirst: none was kept lately.
	causeFirst cause = "first"
	// causeBusy: each one to the target carries a request.
	causeBusy cause = "busy"
	// causeExpired: the last one was idle for too long.
	causeExpired cause = "expired"
	// causeClosed: the target closed the last one, or it showed something
	// unexpected.
	causeClosed cause = "closed"
)

// closeCauseRetention is how long it is remembered why the last connection to an
// address went.
const closeCauseRetention = time.Minute

// addressState is what is known of one address.
type addressState struct {
	idle []*conn
	// inUse counts the connections that carry a request.
	inUse int
	// closeCause is why the last idle connection went, at closedAt.
	closeCause cause
	closedAt   time.Time
}

// take takes the connection used last, nil if there is none.
func (p *addressState) take() *conn {
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// expire closes the connections that were idle for too long.
func (p *addressState) expire(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.expires) {
			_ = c.Close() // an idle connection has nothing to lose
			p.recordClose(causeExpired, now)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// closeIdle closes all idle connections.
func (p *addressState) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close() // an idle connection has nothing to lose
	}
	p.idle = nil
}

// recordClose notes why an idle connection went.
func (p *addressState) recordClose(why cause, now time.Time) { p.closeCause, p.closedAt = why, now }

// openCause is why a connection has to be opened.
func (p *addressState) openCause(now time.Time) cause {
	switch {
	case p.inUse > 0:
		return causeBusy
	case p.closeCause != "" && now.Sub(p.closedAt) < closeCauseRetention:
		return p.closeCause
	}
	return causeFirst
}

// forgettable tells whether nothing of the address needs to be remembered.
func (p *addressState) forgettable(now time.Time) bool {
	return len(p.idle) == 0 && p.inUse == 0 && now.Sub(p.closedAt) >= closeCauseRetention
}

// causeCounters count the connections opened by cause.
type causeCounters map[cause]tally.Counter

func newCauseCounters(scope tally.Scope) causeCounters {
	counters := make(causeCounters)
	for _, why := range []cause{causeFirst, causeBusy, causeExpired, causeClosed} {
		counters[why] = scope.Tagged(map[string]string{"cause": string(why)}).Counter("connections_opened")
	}
	return counters
}
