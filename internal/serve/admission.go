package serve

import (
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/overload"
	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/route"
)

// Room decides who is let in while there is too little room.
type Room interface {
	// Admit decides on a request.
	Admit(request overload.Request, now time.Time) policy.AdmissionVerdict
	// AllowRetry and AllowRetryAfterFailure tell whether a request may go to one more target,
	// after a number of targets were full or after one failed.
	AllowRetry(service string, refusals int, now time.Time) bool
	AllowRetryAfterFailure(service string, now time.Time) bool
	// RetryAfter is when a caller should come back whose request no target took.
	RetryAfter(service string, timeLeft time.Duration, now time.Time) time.Duration
	// RecordDuration notes how long a request took.
	RecordDuration(service string, took time.Duration)
	// Dump lists what is known of the services' room.
	Dump(now time.Time) []overload.Dump
}

// isTurn tells whether the request is a turn of a program.
func (x *transfer) isTurn() bool { return x.call.Turn != nil && x.route.Kind == route.Stream }

// mayBegin tells whether a turn may be a program's first: of a route that keeps
// turns one that continues none.
func (x *transfer) mayBegin() bool {
	return x.isTurn() && x.call.LastEvent == "" && (!x.route.StoresTurns || x.call.PreviousTurn == "")
}

// begins tells whether a turn with room in its budget is its program's first.
func (x *transfer) begins(lease Lease) bool {
	return x.mayBegin() && (x.route.StoresTurns || lease.FirstTurn())
}

// hasRoom asks for room before anything is asked of others. First turns ask
// later: the owner of their budget tells the load of the services, which an
// instance that refuses all of them would not hear of.
func (x *transfer) hasRoom() bool {
	return x.mayBegin() || x.admitClass(x.roomClass(false))
}

// hasRoomForTurn asks for room for a turn that may have been its program's first,
// once that is known; its organisation lets it in.
func (x *transfer) hasRoomForTurn(begins bool) bool {
	if !x.mayBegin() || x.admitClass(x.roomClass(begins)) {
		return true
	}
	if x.permit != nil {
		x.permit.Release()
	}
	return false
}

// roomClass is what is lost if the request is refused.
func (x *transfer) roomClass(first bool) policy.AdmissionClass {
	switch {
	case x.call.Program == "":
		return policy.ClassOutside
	case first:
		return policy.ClassFirstTurn
	case x.call.LastEvent != "":
		return policy.ClassInProgress // an earlier attempt may have run
	case x.call.ProgramExpired:
		return policy.ClassOverdue
	}
	return policy.ClassInProgress
}

// admitClass returns false if the request has been refused.
func (x *transfer) admitClass(class policy.AdmissionClass) bool {
	asked := overload.Request{
		Service: x.service, Program: x.scoped(x.call.Program), ID: x.call.ID, Class: class, Route: x.route.Name, Rank: x.urgency(),
		IsCall: x.call.Program != "" && !x.isTurn(), Usage: x.use(), TimeLeft: time.Until(x.deadline),
	}
	verdict := x.server.room.Admit(asked, time.Now())
	if verdict.Admit {
		return true
	}
	x.detail = overload.DescribeRefusal(asked, verdict)
	x.refuse(http.StatusServiceUnavailable, reasonNoRoom, verdict.RetryAfter)
	return false
}

// routeRanks is the number of ranks of routes within one of organisations.
const routeRanks = 3

// urgency is the organisation's rank and, within it, the route's; 0 is the most
// urgent.
func (x *transfer) urgency() int {
	within := min(x.route.Priority, routeRanks-1)
	if x.org == nil || x.org.Priority == nil {
		return within
	}
	return *x.org.Priority*routeRanks + within
}

// use is what the request's organisation uses, 0 if that is not known.
func (x *transfer) use() float64 {
	if x.permit == nil {
		return 0
	}
	return x.permit.Utilization()
}

// comeBack is when the caller should come back after no target took the request.
func (x *transfer) comeBack() time.Duration {
	return x.server.room.RetryAfter(x.service, time.Until(x.deadline), time.Now())
}
