package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Guards against overload by an organisation that sends several times its limit, or
// whose limit was lowered far below its load. A program fails if any of its requests
// is refused, so random refusals would end nearly all programs. Requests of programs
// in progress therefore go first, and first turns are admitted at the rate at which
// whole programs fit.

const (
	// reservedFraction of the level is reserved for programs in progress, which send
	// several tool calls at once.
	reservedFraction = 0.1
	// urgentStartFraction of the saved starts is reserved for first turns of the
	// highest priority.
	urgentStartFraction = 0.25
	// minStartsCap is the smallest cap of saved starts. A few programs that start
	// together are no overload, since their requests are spread over time.
	minStartsCap = 3
)

const (
	// minRetryAfter and maxRetryAfter bound the RetryAfter delay of refused callers.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// bucket is a token bucket of one organisation at its coordinator. Levels are in
// requests; starts are in programs.
type bucket struct {
	limit     org.Limit
	version   int64
	bounds    bounds
	level     float64
	starts    float64
	capacity  float64
	startsCap float64
	// The sums of the slot at the last refill.
	countedFull, countedFresh, countedMoved float64
	demand                                  demand
	usage                                   usage
	// The times up to which capacity was promised to refused callers, for requests and
	// for first turns.
	promisedUntil, startsPromisedUntil time.Time
}

// setLimit applies the limit of the newest settings that any instance knows.
func (b *bucket) setLimit(request *structs.AllowanceRequest, t Tolerance) {
	if request.Version < b.version || (request.Version == b.version && b.limit.Limited()) {
		return
	}
	b.version = request.Version
	b.limit = org.Limit{PerSecond: request.PerSecond, Burst: request.Burst}
	b.bounds = boundsOf(b.limit, t)
}

// clearSaved drops saved requests.
func (b *bucket) clearSaved() {
	b.level = min(b.level, 0)
	b.countedFull, b.countedFresh, b.countedMoved = 0, 0, 0
}

// refill adds what the votes allowed since the last refill.
func (b *bucket) refill(s *slot) {
	rate := b.limit.PerSecond
	gained := rate * ((s.full - b.countedFull) + b.bounds.freshWeight*(s.fresh-b.countedFresh))
	carriedOver := b.bounds.carryOver * (s.moved - b.countedMoved)
	b.countedFull, b.countedFresh, b.countedMoved = s.full, s.fresh, s.moved
	b.capacity = b.bounds.level * s.weight(b.bounds.freshWeight)
	b.level = min(b.level+gained+carriedOver, b.capacity)
	b.startsCap = max((b.limit.Burst+rate)/b.demand.perProgram, minStartsCap)
	b.starts = min(b.starts+gained/b.demand.perProgram, b.startsCap)
}

// allocate replies to a request.
func (b *bucket) allocate(request *structs.AllowanceRequest, now time.Time) *structs.AllowanceReply {
	b.level -= float64(max(request.Reruns, 0))
	b.release(max(request.Returned, 0), max(request.ReturnedFirstTurns, 0), now)
	reply := new(structs.AllowanceReply)
	reply.Granted = b.take(request.Requests, 0)
	refused, refusedStarts := request.Requests-reply.Granted, 0
	for rank, want := range request.FirstTurns {
		reply.FirstTurns[rank] = b.takeStarts(want, rank)
		refusedStarts += want - reply.FirstTurns[rank]
	}
	b.observePrograms(request, reply, now)
	b.recordUsage(request, reply, now)
	reply.Utilization = b.usage.rate(now) / b.limit.PerSecond
	reply.RetryAfter = b.retryAfter(refused, refusedStarts, now)
	return reply
}

// release takes back what was allocated but not used.
func (b *bucket) release(requests, starts int, now time.Time) {
	b.level = min(b.level+float64(requests+starts), b.capacity)
	b.starts = min(b.starts+float64(starts), b.startsCap)
	b.usage.add(-requests-starts, now)
}

// recordUsage counts allocated requests and reruns.
func (b *bucket) recordUsage(request *structs.AllowanceRequest, reply *structs.AllowanceReply, now time.Time) {
	used := reply.Granted + max(request.Reruns, 0)
	for _, n := range reply.FirstTurns {
		used += n
	}
	b.usage.add(used, now)
}

// observePrograms updates the estimate with the programs named in the request: those
// whose first turn was admitted and those in progress.
func (b *bucket) observePrograms(request *structs.AllowanceRequest, reply *structs.AllowanceReply, now time.Time) {
	for rank, programs := range request.FirstTurnPrograms {
		for _, program := range programs[:min(reply.FirstTurns[rank], len(programs))] {
			b.demand.track(program, now)
		}
	}
	for _, program := range request.RequestPrograms {
		b.demand.add(program, now)
	}
	b.demand.update(now)
}

// take takes requests from the part of the level that is above a reserve.
func (b *bucket) take(want int, above float64) int {
	got := min(want, max(int(b.level-above), 0))
	b.level -= float64(got)
	return got
}

// takeStarts admits first turns.
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

// retryAfter returns when the refused requests should fit, after those refused
// earlier.
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

// extendPromise adds a duration to the time up to which capacity is promised. The
// result is at most maxRetryAfter from now, the longest delay given to a caller.
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
