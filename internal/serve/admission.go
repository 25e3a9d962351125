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
	Admit(request overload.Request, now time.Time) policy.RoomVerdict
	// Again and AgainAfterFailure tell whether a request may go to one more target,
	// after a number of targets were full or after one failed.
	Again(service string, refusals int, now time.Time) bool
	AgainAfterFailure(service string, now time.Time) bool
	// ComeBack is when a caller should come back whose request no target took.
	ComeBack(service string, timeLeft time.Duration, now time.Time) time.Duration
	// Served notes how long a request took.
	Served(service string, took time.Duration)
	// Dump lists what is known of the services' room.
	Dump(now time.Time) []overload.Dump
}

// usePermit is a permit that tells of its organisation's use.
type usePermit interface {
	// Use is what the organisation uses, in parts of its limit; 0 if unknown.
	Use() float64
	// GiveBack tells that the request does not run.
	GiveBack()
}

// isTurn tells whether the request is a turn of a program.
func (x *transfer) isTurn() bool { return x.call.Turn != nil && x.route.Kind == route.Stream }

// hasRoom asks for room before anything is asked of others. Whether a turn of a
// route that does not keep turns is a program's first is known later.
func (x *transfer) hasRoom() bool {
	first := x.isTurn() && x.route.KeepsTurns && x.call.PreviousTurn == ""
	return x.admitClass(x.roomClass(first))
}

// hasRoomFirst asks for room once it is known that a turn is its program's first
// and what its organisation uses. One that was let in before is asked for again
// only where that speaks against it.
func (x *transfer) hasRoomFirst(first bool) bool {
	if !first || (x.route.KeepsTurns && x.use() <= policy.FairUse) {
		return true
	}
	if x.admitClass(x.roomClass(true)) {
		return true
	}
	if permit, ok := x.permit.(usePermit); ok {
		permit.GiveBack()
	}
	return false
}

// roomClass is what is lost if the request is refused.
func (x *transfer) roomClass(first bool) policy.RoomClass {
	switch {
	case x.call.Program == "":
		return policy.RoomOutside
	case first && x.call.LastEvent == "":
		return policy.RoomFirst
	case x.call.ProgramOver:
		return policy.RoomLate
	}
	return policy.RoomUnderWay
}

// admitClass returns false if the request has been refused.
func (x *transfer) admitClass(class policy.RoomClass) bool {
	asked := overload.Request{
		Service: x.service, Program: x.scoped(x.call.Program), ID: x.call.ID, Class: class, Route: x.route.Name, Rank: x.urgency(),
		Call: x.call.Program != "" && !x.isTurn(), Use: x.use(), TimeLeft: time.Until(x.deadline),
	}
	verdict := x.server.room.Admit(asked, time.Now())
	if verdict.Admit {
		return true
	}
	x.detail = overload.Describe(asked, verdict)
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
	if permit, ok := x.permit.(usePermit); ok {
		return permit.Use()
	}
	return 0
}

// comeBack is when the caller should come back after no target took the request.
func (x *transfer) comeBack() time.Duration {
	return x.server.room.ComeBack(x.service, time.Until(x.deadline), time.Now())
}
