package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Load pattern: an organisation at several times its usual load, or one whose
// limit was lowered far below what it sends. Programs need some tens of requests;
// refusing requests at random ends nearly all of them. So requests of programs
// under way go first, and first turns are let in as fast as whole programs fit.

const (
	// reserve is the share of the level that is left to programs under way: they
	// send several calls of tools at once.
	reserve = 0.1
	// urgentShare of the starts that are saved up is left to the most urgent
	// first turns.
	urgentShare = 0.25
	// startsLeast may be saved up by any organisation: three programs that begin
	// together are no overload, since their requests spread over seconds.
	startsLeast = 3
)

const (
	// retryLeast and retryMost bound when a refused caller is to come back: a
	// round trip, and about the time that callers wait.
	retryLeast = 50 * time.Millisecond
	retryMost  = 2 * time.Second
)

// bucket is what a coordinator deals out to one organisation. Levels are in
// requests, or in programs for starts.
type bucket struct {
	limit     org.Limit
	version   int64
	terms     terms
	level     float64
	starts    float64
	capacity  float64
	startsCap float64
	// full, fresh and moved are the sums of the slot that were counted.
	full, fresh, moved float64
	needs              needs
	use                use
	// returns is up to when room was promised to refused callers, and
	// startReturns the same for first turns.
	returns, startReturns time.Time
}

// setLimit takes the limit of the newest settings that any instance knows.
func (b *bucket) setLimit(ask *structs.AllowanceAsk, t Tolerance) {
	if ask.Version < b.version || (ask.Version == b.version && b.limit.Limited()) {
		return
	}
	b.version = ask.Version
	b.limit = org.Limit{PerSecond: ask.PerSecond, Burst: ask.Burst}
	b.terms = termsOf(b.limit, t)
}

// empty drops what was saved up.
func (b *bucket) empty() {
	b.level = min(b.level, 0)
	b.full, b.fresh, b.moved = 0, 0, 0
}

// fill adds what the votes allowed since the last time.
func (b *bucket) fill(s *slot) {
	rate := b.limit.PerSecond
	gained := rate * ((s.full - b.full) + b.terms.fresh*(s.fresh-b.fresh))
	start := b.terms.start * (s.moved - b.moved)
	b.full, b.fresh, b.moved = s.full, s.fresh, s.moved
	b.capacity = b.terms.level * s.weight(b.terms.fresh)
	b.level = min(b.level+gained+start, b.capacity)
	b.startsCap = max((b.limit.Burst+rate)/b.needs.perProgram, startsLeast)
	b.starts = min(b.starts+gained/b.needs.perProgram, b.startsCap)
}

// deal answers an ask.
func (b *bucket) deal(ask *structs.AllowanceAsk, now time.Time) *structs.AllowanceReply {
	b.level -= float64(max(ask.Debt, 0))
	b.giveBack(max(ask.Returned, 0), max(ask.ReturnedStarts, 0), now)
	reply := new(structs.AllowanceReply)
	reply.Granted = b.take(ask.Want, 0)
	refused, refusedStarts := ask.Want-reply.Granted, 0
	for rank, want := range ask.Starts {
		reply.Starts[rank] = b.begin(want, rank)
		refusedStarts += want - reply.Starts[rank]
	}
	b.learn(ask, reply, now)
	b.countUse(ask, reply, now)
	reply.Use = b.use.rate(now) / b.limit.PerSecond
	reply.RetryAfter = b.retryAfter(refused, refusedStarts, now)
	return reply
}

// giveBack takes back what was dealt out and did not run.
func (b *bucket) giveBack(requests, starts int, now time.Time) {
	b.level = min(b.level+float64(requests+starts), b.capacity)
	b.starts = min(b.starts+float64(starts), b.startsCap)
	b.use.add(-requests-starts, now)
}

// countUse counts what runs: what is dealt out and what ran a second time.
func (b *bucket) countUse(ask *structs.AllowanceAsk, reply *structs.AllowanceReply, now time.Time) {
	runs := reply.Granted + max(ask.Debt, 0)
	for _, n := range reply.Starts {
		runs += n
	}
	b.use.add(runs, now)
}

// learn follows the programs that the ask names: those that begin, as far as
// their first turns were let in, and those under way.
func (b *bucket) learn(ask *structs.AllowanceAsk, reply *structs.AllowanceReply, now time.Time) {
	for rank, programs := range ask.Begins {
		for _, program := range programs[:min(reply.Starts[rank], len(programs))] {
			b.needs.begin(program, now)
		}
	}
	for _, program := range ask.Calls {
		b.needs.add(program, now)
	}
	b.needs.count(now)
}

// take takes requests out of what lies above a level.
func (b *bucket) take(want int, above float64) int {
	got := min(want, max(int(b.level-above), 0))
	b.level -= float64(got)
	return got
}

// begin lets first turns in.
func (b *bucket) begin(want, rank int) int {
	left := 0.0
	if rank > 0 {
		left = urgentShare * b.startsCap
	}
	got := min(want, max(int(b.starts-left), 0))
	got = b.take(got, reserve*b.capacity)
	b.starts -= float64(got)
	return got
}

// retryAfter is when there should be room for the requests refused now, behind
// those refused before.
func (b *bucket) retryAfter(refused, refusedStarts int, now time.Time) time.Duration {
	perRequest := time.Duration(float64(time.Second) / b.limit.PerSecond)
	wait := time.Duration(0)
	if refused > 0 {
		b.returns = promise(b.returns, now, time.Duration(refused)*perRequest)
		wait = b.returns.Sub(now)
	}
	if refusedStarts > 0 {
		perStart := time.Duration(b.needs.perProgram * float64(perRequest))
		b.startReturns = promise(b.startReturns, now, time.Duration(refusedStarts)*perStart)
		wait = max(wait, b.startReturns.Sub(now))
	}
	return min(max(wait, retryLeast), retryMost)
}

// promise is up to when room is promised once some more takes a time. Nobody is
// told to come later than retryMost, so no promise goes beyond that.
func promise(until, now time.Time, takes time.Duration) time.Time {
	if until.Before(now) {
		until = now
	}
	until = until.Add(takes)
	if latest := now.Add(retryMost); until.After(latest) {
		return latest
	}
	return until
}
