package allowance

import "time"

// Guards against underestimating the requests per program when an organisation starts
// many programs at once: programs that have just started have sent few requests, so
// first turns would be admitted too fast. A program is therefore counted once it has
// ended.

const (
	// defaultRequests is the assumed number of requests per program before any program
	// has ended. It is above the typical number, to admit too few rather than too
	// many.
	defaultRequests = 30
	// defaultWeight is the weight of defaultRequests, in programs.
	defaultWeight = 2
	// maxSampledPrograms is the number of programs after which earlier samples count
	// half.
	maxSampledPrograms = 200
	// idleTimeout is the time without a request after which a program counts as ended.
	// Its later requests are still counted. Long pauses are rare, and the demand of
	// programs should be known before an overload.
	idleTimeout = time.Second
	// forgetTimeout is the time without a request after which a program is no longer
	// tracked.
	forgetTimeout = 10 * time.Second
	// updateInterval is the time between two updates of the estimate.
	updateInterval = 250 * time.Millisecond
	// maxTracked bounds the tracked programs of an organisation.
	maxTracked = 1024
)

// trackedProgram is a program whose first turn was admitted by this coordinator.
type trackedProgram struct {
	requests int
	last     time.Time
	// ended indicates that it counts as ended.
	ended bool
}

// demand estimates the number of requests per program of one organisation.
type demand struct {
	tracked map[uint64]trackedProgram
	// requests and programs are the sums over ended programs.
	requests, programs float64
	updatedAt          time.Time
	// perProgram is the estimate as of updatedAt.
	perProgram float64
}

func newDemand() demand {
	return demand{tracked: make(map[uint64]trackedProgram), perProgram: defaultRequests}
}

// track starts tracking a program at its first turn.
func (d *demand) track(program uint64, now time.Time) {
	if program != 0 && len(d.tracked) < maxTracked {
		d.tracked[program] = trackedProgram{requests: 1, last: now}
	}
}

// add counts a request of a program in progress.
func (d *demand) add(program uint64, now time.Time) {
	p, ok := d.tracked[program]
	if !ok {
		return
	}
	p.requests++
	p.last = now
	d.tracked[program] = p
	if p.ended {
		d.requests++
	}
}

// update recomputes the estimate from the ended programs, and from those in progress
// that already exceed it.
func (d *demand) update(now time.Time) {
	if now.Sub(d.updatedAt) < updateInterval {
		return
	}
	d.updatedAt = now
	longer, longerRequests := 0.0, 0.0
	for program, p := range d.tracked {
		switch {
		case p.ended && now.Sub(p.last) > forgetTimeout:
			delete(d.tracked, program)
		case p.ended:
		case now.Sub(p.last) > idleTimeout:
			d.requests += float64(p.requests)
			d.programs++
			p.ended = true
			d.tracked[program] = p
		case float64(p.requests) > d.perProgram:
			longer++
			longerRequests += float64(p.requests)
		}
	}
	if d.programs > maxSampledPrograms {
		d.requests, d.programs = d.requests/2, d.programs/2
	}
	requests := d.requests + longerRequests + defaultWeight*defaultRequests
	d.perProgram = max(requests/(d.programs+longer+defaultWeight), 1)
}
