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

// forgetAfter is how long it is remembered why the last connection to an
// address went.
const forgetAfter = time.Minute

// place is what is known of one address.
type place struct {
	idle []*conn
	// inUse counts the connections that carry a request.
	inUse int
	// lost is why the last idle connection went, at lostAt.
	lost   cause
	lostAt time.Time
}

// take takes the connection used last, nil if there is none.
func (p *place) take() *conn {
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
func (p *place) expire(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.expires) {
			_ = c.Close() // an idle connection has nothing to lose
			p.lose(causeExpired, now)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// closeIdle closes all idle connections.
func (p *place) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close() // an idle connection has nothing to lose
	}
	p.idle = nil
}

// lose notes why an idle connection went.
func (p *place) lose(why cause, now time.Time) { p.lost, p.lostAt = why, now }

// opens is why a connection has to be opened.
func (p *place) opens(now time.Time) cause {
	switch {
	case p.inUse > 0:
		return causeBusy
	case p.lost != "" && now.Sub(p.lostAt) < forgetAfter:
		return p.lost
	}
	return causeFirst
}

// unused tells whether nothing of the address needs to be remembered.
func (p *place) unused(now time.Time) bool {
	return len(p.idle) == 0 && p.inUse == 0 && now.Sub(p.lostAt) >= forgetAfter
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
