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
	// memory is the number of programs after which what was seen counts half.
	memory = 200
	// quiet is the time without a request after which a program counts as ended;
	// what it sends later is added. Long pauses are rare, and what programs need
	// should be known before an overload.
	quiet = time.Second
	// forgotten is the time without a request after which it is followed no more.
	forgotten = 10 * time.Second
	// countInterval is the time between two looks for programs that have ended.
	countInterval = 250 * time.Millisecond
	// maxFollowed bounds the programs of an organisation that are followed.
	maxFollowed = 1024
)

// followed is a program whose first turn was let in by this coordinator.
type followed struct {
	requests int
	last     time.Time
	// counted tells that it counts as ended.
	counted bool
}

// needs learns what a program of one organisation needs, in requests.
type needs struct {
	under map[uint64]followed
	// requests and programs are those of programs that ended.
	requests, programs float64
	counted            time.Time
	// perProgram is the estimate as of counted.
	perProgram float64
}

func newNeeds() needs {
	return needs{under: make(map[uint64]followed), perProgram: defaultRequests}
}

// begin follows a program from its first turn on.
func (n *needs) begin(program uint64, now time.Time) {
	if program != 0 && len(n.under) < maxFollowed {
		n.under[program] = followed{requests: 1, last: now}
	}
}

// add counts a request of a program under way.
func (n *needs) add(program uint64, now time.Time) {
	f, ok := n.under[program]
	if !ok {
		return
	}
	f.requests++
	f.last = now
	n.under[program] = f
	if f.counted {
		n.requests++
	}
}

// count takes in the programs that have ended. Those under way count if they
// needed more than the others already.
func (n *needs) count(now time.Time) {
	if now.Sub(n.counted) < countInterval {
		return
	}
	n.counted = now
	longer, longerRequests := 0.0, 0.0
	for program, f := range n.under {
		switch {
		case f.counted && now.Sub(f.last) > forgotten:
			delete(n.under, program)
		case f.counted:
		case now.Sub(f.last) > quiet:
			n.requests += float64(f.requests)
			n.programs++
			f.counted = true
			n.under[program] = f
		case float64(f.requests) > n.perProgram:
			longer++
			longerRequests += float64(f.requests)
		}
	}
	if n.programs > memory {
		n.requests, n.programs = n.requests/2, n.programs/2
	}
	requests := n.requests + longerRequests + defaultWeight*defaultRequests
	n.perProgram = max(requests/(n.programs+longer+defaultWeight), 1)
}
