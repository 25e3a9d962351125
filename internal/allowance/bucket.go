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
	// reservedFraction is the share of the level that is left to programs under way: they
	// send several calls of tools at once.
	reservedFraction = 0.1
	// urgentStartFraction of the starts that are saved up is left to the most urgent
	// first turns.
	urgentStartFraction = 0.25
	// minStartsCap may be saved up by any organisation: three programs that begin
	// together are no overload, since their requests spread over seconds.
	minStartsCap = 3
)

const (
	// minRetryAfter and maxRetryAfter bound when a refused caller is to come back: a
	// round trip, and about the time that callers wait.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// bucket is what a coordinator deals out to one organisation. Levels are in
// requests, or in programs for starts.
type bucket struct {
	limit     org.Limit
	version   int64
	bounds    bounds
	level     float64
	starts    float64
	capacity  float64
	startsCap float64
	// countedFull, fresh and moved are the sums of the slot that were counted.
	countedFull, countedFresh, countedMoved float64
	demand                                  demand
	usage                                   usage
	// promisedUntil is up to when room was promised to refused callers, and
	// startsPromisedUntil the same for first turns.
	promisedUntil, startsPromisedUntil time.Time
}

// setLimit takes the limit of the newest settings that any instance knows.
func (b *bucket) setLimit(request *structs.AllowanceAsk, t Tolerance) {
	if request.Version < b.version || (request.Version == b.version && b.limit.Limited()) {
		return
	}
	b.version = request.Version
	b.limit = org.Limit{PerSecond: request.PerSecond, Burst: request.Burst}
	b.bounds = boundsOf(b.limit, t)
}

// clearSaved drops what was saved up.
func (b *bucket) clearSaved() {
	b.level = min(b.level, 0)
	b.countedFull, b.countedFresh, b.countedMoved = 0, 0, 0
}

// refill adds what the votes allowed since the last time.
func (b *bucket) refill(s *slot) {
	rate := b.limit.PerSecond
	gained := rate * ((s.full - b.countedFull) + b.bounds.freshWeight*(s.fresh-b.countedFresh))
	start := b.bounds.carryOver * (s.moved - b.countedMoved)
	b.countedFull, b.countedFresh, b.countedMoved = s.full, s.fresh, s.moved
	b.capacity = b.bounds.level * s.weight(b.bounds.freshWeight)
	b.level = min(b.level+gained+start, b.capacity)
	b.startsCap = max((b.limit.Burst+rate)/b.demand.perProgram, minStartsCap)
	b.starts = min(b.starts+gained/b.demand.perProgram, b.startsCap)
}

// allocate answers an ask.
func (b *bucket) allocate(request *structs.AllowanceAsk, now time.Time) *structs.AllowanceReply {
	b.level -= float64(max(request.Debt, 0))
	b.release(max(request.Returned, 0), max(request.ReturnedStarts, 0), now)
	reply := new(structs.AllowanceReply)
	reply.Granted = b.take(request.Want, 0)
	refused, refusedStarts := request.Want-reply.Granted, 0
	for rank, want := range request.Starts {
		reply.Starts[rank] = b.takeStarts(want, rank)
		refusedStarts += want - reply.Starts[rank]
	}
	b.observePrograms(request, reply, now)
	b.recordUsage(request, reply, now)
	reply.Use = b.usage.rate(now) / b.limit.PerSecond
	reply.RetryAfter = b.retryAfter(refused, refusedStarts, now)
	return reply
}

// release takes back what was dealt out and did not run.
func (b *bucket) release(requests, starts int, now time.Time) {
	b.level = min(b.level+float64(requests+starts), b.capacity)
	b.starts = min(b.starts+float64(starts), b.startsCap)
	b.usage.add(-requests-starts, now)
}

// recordUsage counts what runs: what is dealt out and what ran a second time.
func (b *bucket) recordUsage(request *structs.AllowanceAsk, reply *structs.AllowanceReply, now time.Time) {
	runs := reply.Granted + max(request.Debt, 0)
	for _, n := range reply.Starts {
		runs += n
	}
	b.usage.add(runs, now)
}

// observePrograms follows the programs that the ask names: those that begin, as far as
// their first turns were let in, and those under way.
func (b *bucket) observePrograms(request *structs.AllowanceAsk, reply *structs.AllowanceReply, now time.Time) {
	for rank, programs := range request.Begins {
		for _, program := range programs[:min(reply.Starts[rank], len(programs))] {
			b.demand.track(program, now)
		}
	}
	for _, program := range request.Calls {
		b.demand.add(program, now)
	}
	b.demand.update(now)
}

// take takes requests out of what lies above a level.
func (b *bucket) take(want int, above float64) int {
	got := min(want, max(int(b.level-above), 0))
	b.level -= float64(got)
	return got
}

// takeStarts lets first turns in.
func (b *bucket) takeStarts(want, rank int) int {
	reserved := 0.0
	if rank > 0 {
		reserved = urgentStartFraction * b.startsCap
	}
	got := min(want, max(int(b.starts-reserved), 0))
	got = b.take(got, reservedFraction*b.capacity)
	b.starts -= float64(got)
	return got
}

// retryAfter is when there should be room for the requests refused now, behind
// those refused before.
func (b *bucket) retryAfter(refused, refusedStarts int, now time.Time) time.Duration {
	perRequest := time.Duration(float64(time.Second) / b.limit.PerSecond)
	wait := time.Duration(0)
	if refused > 0 {
		b.promisedUntil = extendPromise(b.promisedUntil, now, time.Duration(refused)*perRequest)
		wait = b.promisedUntil.Sub(now)
	}
	if refusedStarts > 0 {
		perStart := time.Duration(b.demand.perProgram * float64(perRequest))
		b.startsPromisedUntil = extendPromise(b.startsPromisedUntil, now, time.Duration(refusedStarts)*perStart)
		wait = max(wait, b.startsPromisedUntil.Sub(now))
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// extendPromise is up to when room is promised once some more takes a time. Nobody is
// told to come later than maxRetryAfter, so no promise goes beyond that.
func extendPromise(until, now time.Time, duration time.Duration) time.Time {
	if until.Before(now) {
		until = now
	}
	until = until.Add(duration)
	if latest := now.Add(maxRetryAfter); until.After(latest) {
		return latest
	}
	return until
}
