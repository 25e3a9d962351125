package allowance

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// waiter is a request that waits to be let in. The channel has room for the one
// verdict.
type waiter struct {
	first bool
	rank  int
	// program is the hash of its program, 0 for none; named tells that the
	// coordinator was told.
	program uint64
	named   bool
	// until is how long a request of a program under way is held for room.
	until   time.Time
	verdict chan verdict
}

// verdict is what became of a request that waited.
type verdict struct {
	admitted bool
	// reply is the answer that refused it.
	reply *structs.AllowanceReply
	// coordinator gave it.
	coordinator structs.InstanceID
}

// line is the requests of one organisation that wait at this instance. It does no
// I/O.
type line struct {
	organisation string
	limit        org.Limit
	version      int64
	waiting      []*waiter
	// debt, and the requests and first turns that were let in and did not run,
	// are told with the next ask.
	debt                     int
	returned, returnedStarts int
	// dealtBy is the coordinator that dealt out last: no other one may take back
	// what it dealt.
	dealtBy structs.InstanceID
	// told is the organisation's use as the last answer told it.
	told told
	// asking is the number of the ask under way, 0 for none; asked are the
	// waiters that it names.
	asking uint64
	asked  []*waiter
}

// askOf makes the next ask of an instance. What another one dealt out is not given
// back to it.
func (l *line) askOf(to structs.InstanceID, number uint64, slot int) *structs.AllowanceAsk {
	if to != l.dealtBy {
		l.returned, l.returnedStarts = 0, 0
	}
	return l.ask(number, slot)
}

// ask makes the next ask, with what waits now.
func (l *line) ask(number uint64, slot int) *structs.AllowanceAsk {
	m := &structs.AllowanceAsk{
		Number: number, Slot: slot, Organisation: l.organisation,
		PerSecond: l.limit.PerSecond, Burst: l.limit.Burst, Version: l.version, Debt: l.debt,
		Returned: l.returned, ReturnedStarts: l.returnedStarts,
	}
	l.debt, l.returned, l.returnedStarts = 0, 0, 0
	l.asking, l.asked = number, slices.Clone(l.waiting)
	for _, w := range l.asked {
		w.addTo(m)
	}
	return m
}

// addTo names a waiter in an ask.
func (w *waiter) addTo(m *structs.AllowanceAsk) {
	if w.first {
		m.Starts[w.rank]++
		m.Begins[w.rank] = append(m.Begins[w.rank], w.program)
		return
	}
	m.Want++
	if w.program != 0 && !w.named {
		m.Calls = append(m.Calls, w.program)
		w.named = true
	}
}

// settle takes the answer that an instance gave to the ask under way.
func (l *line) settle(reply *structs.AllowanceReply, from structs.InstanceID, now time.Time) {
	asked := l.asked
	l.asking, l.asked = 0, nil
	if reply.Outcome != structs.AllowanceDealt {
		l.returned, l.returnedStarts = 0, 0
		return
	}
	l.dealtBy = from
	l.told = told{use: reply.Use, at: now}
	granted, starts := reply.Granted, reply.Starts
	for _, w := range asked {
		left := &granted
		if w.first {
			left = &starts[w.rank]
		}
		l.decide(w, left, verdict{reply: reply, coordinator: from}, now)
	}
}

// decide tells one waiter what the answer means for it. What was meant for one
// that has left is used by nobody.
func (l *line) decide(w *waiter, left *int, refusal verdict, now time.Time) {
	if *left > 0 {
		*left--
		if l.leave(w) {
			w.verdict <- verdict{admitted: true}
		}
		return
	}
	held := !w.first && !now.Add(refusal.reply.RetryAfter).After(w.until)
	if !held && l.leave(w) {
		w.verdict <- refusal
	}
}

// leave withdraws a waiter. It returns false if its verdict has been given or it
// has left before.
func (l *line) leave(w *waiter) bool {
	at := slices.Index(l.waiting, w)
	if at < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return true
}
