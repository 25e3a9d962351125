package allowance

import "time"

// Load pattern: an organisation far over its limit begins many programs within
// one program's duration. Requests let in over programs begun would then tell
// less than what a program needs, since those begun have sent their first
// requests only, and first turns would be let in faster than their programs can
// be carried. So a program counts once it has ended.

const (
	// defaultRequests is the number of requests that a program is assumed to need
	// before any has ended: more than most need, so that too few are let in rather
	// than too many.
	defaultRequests = 30
	// defaultWeight is how many programs that guess counts for.
	defaultWeight = 2
	// maxSampledPrograms is the number of programs after which what was seen counts half.
	maxSampledPrograms = 200
	// idleTimeout is the time without a request after which a program counts as ended;
	// what it sends later is added. Long pauses are rare, and what programs need
	// should be known before an overload.
	idleTimeout = time.Second
	// forgetTimeout is the time without a request after which it is followed no more.
	forgetTimeout = 10 * time.Second
	// updateInterval is the time between two looks for programs that have ended.
	updateInterval = 250 * time.Millisecond
	// maxTracked bounds the programs of an organisation that are followed.
	maxTracked = 1024
)

// trackedProgram is a program whose first turn was let in by this coordinator.
type trackedProgram struct {
	requests int
	last     time.Time
	// ended tells that it counts as ended.
	ended bool
}

// demand learns what a program of one organisation needs, in requests.
type demand struct {
	tracked map[uint64]trackedProgram
	// requests and programs are those of programs that ended.
	requests, programs float64
	updatedAt          time.Time
	// perProgram is the estimate as of counted.
	perProgram float64
}

func newDemand() demand {
	return demand{tracked: make(map[uint64]trackedProgram), perProgram: defaultRequests}
}

// track follows a program from its first turn on.
func (n *demand) track(program uint64, now time.Time) {
	if program != 0 && len(n.tracked) < maxTracked {
		n.tracked[program] = trackedProgram{requests: 1, last: now}
	}
}

// add counts a request of a program under way.
func (n *demand) add(program uint64, now time.Time) {
	f, ok := n.tracked[program]
	if !ok {
		return
	}
	f.requests++
	f.last = now
	n.tracked[program] = f
	if f.ended {
		n.requests++
	}
}

// update takes in the programs that have ended. Those under way count if they
// needed more than the others already.
func (n *demand) update(now time.Time) {
	if now.Sub(n.updatedAt) < updateInterval {
		return
	}
	n.updatedAt = now
	longer, longerRequests := 0.0, 0.0
	for program, f := range n.tracked {
		switch {
		case f.ended && now.Sub(f.last) > forgetTimeout:
			delete(n.tracked, program)
		case f.ended:
		case now.Sub(f.last) > idleTimeout:
			n.requests += float64(f.requests)
			n.programs++
			f.ended = true
			n.tracked[program] = f
		case float64(f.requests) > n.perProgram:
			longer++
			longerRequests += float64(f.requests)
		}
	}
	if n.programs > maxSampledPrograms {
		n.requests, n.programs = n.requests/2, n.programs/2
	}
	requests := n.requests + longerRequests + defaultWeight*defaultRequests
	n.perProgram = max(requests/(n.programs+longer+defaultWeight), 1)
}
