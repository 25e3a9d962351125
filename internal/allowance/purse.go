package allowance

import (
	"math"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// lot is requests that were dealt out to this instance.
type lot struct {
	requests int
	expires  time.Time
	// free tells that first turns may use them too.
	free bool
}

// waiter is a request that waits to be let in. The channel has room for the one
// verdict.
type waiter struct {
	first bool
	rank  int
	// until is how long a request of a program under way is held for room.
	until   time.Time
	verdict chan verdict
}

// verdict is what became of a request that waited.
type verdict struct {
	admitted   bool
	retryAfter time.Duration
}

// purse is what this instance holds of one organisation's allowance. It does no
// I/O.
type purse struct {
	organisation string
	limit        org.Limit
	version      int64
	lots         []lot
	waiting      []*waiter
	// used, started, returned and debt are told with the next ask.
	used, started, returned, debt int
	// asking is the number of the ask under way, 0 for none; asked are the
	// waiters that it names.
	asking uint64
	asked  []*waiter
	// rate is how many requests a second this instance lets in, as of rated.
	rate  float64
	rated time.Time
}

// rateMemory is the time over which the rate of requests is averaged: calls of
// one program follow each other within some hundred milliseconds.
const rateMemory = time.Second

// note counts a request that was let in.
func (p *purse) note(first bool, now time.Time) {
	p.rate = p.rateAt(now) + 1/rateMemory.Seconds()
	p.rated = now
	p.used++
	if first {
		p.started++
	}
}

func (p *purse) rateAt(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.rated).Seconds()/rateMemory.Seconds())
}

// expire drops what may not be used any more.
func (p *purse) expire(now time.Time) {
	p.lots = slices.DeleteFunc(p.lots, func(l lot) bool {
		if l.expires.After(now) {
			return false
		}
		p.returned += l.requests
		return true
	})
}

// held is what may be used now.
func (p *purse) held(now time.Time) int {
	p.expire(now)
	held := 0
	for _, l := range p.lots {
		held += l.requests
	}
	return held
}

// take lets a request in with what is held. What expires first goes first.
func (p *purse) take(first bool, now time.Time) bool {
	p.expire(now)
	for i := range p.lots {
		l := &p.lots[i]
		if l.requests == 0 || (first && !l.free) {
			continue
		}
		l.requests--
		p.note(first, now)
		return true
	}
	return false
}

// aheadLeast is asked for ahead in any case: calls of tools come several at once.
const aheadLeast = 2

// ahead is what is expected to be needed within a time, beyond what is held.
func (p *purse) ahead(within time.Duration, now time.Time) int {
	need := int(math.Ceil(p.rateAt(now)*within.Seconds())) + aheadLeast
	return max(need-p.held(now), 0)
}

// low tells that it is time to ask for more.
func (p *purse) low(within time.Duration, now time.Time) bool {
	return 2*p.held(now) < int(math.Ceil(p.rateAt(now)*within.Seconds()))
}

// ask makes the next ask, with what waits now.
func (p *purse) ask(number uint64, slot int, life time.Duration, now time.Time) *structs.AllowanceAsk {
	m := &structs.AllowanceAsk{
		Number: number, Slot: slot, Organisation: p.organisation,
		PerSecond: p.limit.PerSecond, Burst: p.limit.Burst, Version: p.version,
		Ahead: p.ahead(life, now), Used: p.used, Started: p.started, Returned: p.returned, Debt: p.debt,
	}
	p.used, p.started, p.returned, p.debt = 0, 0, 0, 0
	p.asking, p.asked = number, slices.Clone(p.waiting)
	for _, w := range p.asked {
		if w.first {
			m.Starts[w.rank]++
		} else {
			m.Want++
		}
	}
	return m
}

// settle takes the answer to an ask that was sent at a time.
func (p *purse) settle(reply *structs.AllowanceReply, asked, now time.Time) {
	if reply.Outcome != structs.AllowanceDealt {
		p.asking, p.asked = 0, nil
		return
	}
	usable := asked.Add(reply.Life).After(now)
	if current := p.asking == reply.Number; !current || !usable {
		// Nobody waits for it any more, or it came too late.
		p.keep(reply, reply.Granted+sum(reply.Starts), asked, now)
		if current {
			p.asking, p.asked = 0, nil
		}
		return
	}
	granted, starts := reply.Granted, reply.Starts
	for _, w := range p.asked {
		p.decide(w, &granted, &starts, reply.RetryAfter, now)
	}
	p.asking, p.asked = 0, nil
	p.keep(reply, granted+sum(starts), asked, now)
}

// decide tells one waiter what the answer means for it.
func (p *purse) decide(
	w *waiter, granted *int, starts *[structs.AllowanceRanks]int, retryAfter time.Duration, now time.Time,
) {
	if !slices.Contains(p.waiting, w) {
		return // it has left; what was meant for it stays
	}
	left := granted
	if w.first {
		left = &starts[w.rank]
	}
	if *left == 0 {
		p.turnAway(w, retryAfter, now)
		return
	}
	p.leave(w)
	*left--
	p.note(w.first, now)
	if w.first {
		p.started-- // the coordinator has counted it
	}
	w.verdict <- verdict{admitted: true}
}

// turnAway refuses a waiter, unless it is worth holding until there is room.
func (p *purse) turnAway(w *waiter, retryAfter time.Duration, now time.Time) {
	if !w.first && !now.Add(retryAfter).After(w.until) {
		return
	}
	p.leave(w)
	w.verdict <- verdict{retryAfter: retryAfter}
}

// keep holds what was dealt out ahead, and what was not used of the rest.
func (p *purse) keep(reply *structs.AllowanceReply, unused int, asked, now time.Time) {
	expires := asked.Add(reply.Life)
	p.lots = append(p.lots, lot{requests: reply.Ahead + unused, expires: expires, free: reply.Free})
	p.expire(now)
}

// leave withdraws a waiter. It returns false if its verdict has been given.
func (p *purse) leave(w *waiter) bool {
	at := slices.Index(p.waiting, w)
	if at < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, at, at+1)
	return true
}

// giveBack takes back a request that was let in and did not run. It goes back to
// the coordinator, since until when it may be used is not known any more.
func (p *purse) giveBack() {
	p.returned++
	p.used = max(p.used-1, 0)
}

func sum(numbers [structs.AllowanceRanks]int) int {
	total := 0
	for _, n := range numbers {
		total += n
	}
	return total
}
