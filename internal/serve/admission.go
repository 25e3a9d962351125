package serve

import (
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/overload"
	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/route"
)

// Admission decides which requests are admitted while targets lack capacity.
type Admission interface {
	// Admit decides whether a request is admitted.
	Admit(request overload.Request, now time.Time) policy.AdmissionVerdict
	// AllowRetry and AllowRetryAfterFailure report whether the retry budget allows sending a
	// request to one more target, after a number of targets refused it or after one
	// failed.
	AllowRetry(service string, refusals int, now time.Time) bool
	AllowRetryAfterFailure(service string, now time.Time) bool
	// RetryAfter returns the RetryAfter delay for a request that no target accepted.
	RetryAfter(service string, timeLeft time.Duration, now time.Time) time.Duration
	// RecordDuration records how long a request took.
	RecordDuration(service string, took time.Duration)
	// Dump lists the state of the services.
	Dump(now time.Time) []overload.ServiceDump
}

// isTurn reports whether the request is a turn of a program.
func (x *transfer) isTurn() bool { return x.call.Turn != nil && x.route.Kind == route.Stream }

// mayStartProgram reports whether the turn may be its program's first. On a route that
// stores turns that is one without a previous turn.
func (x *transfer) mayStartProgram() bool {
	return x.isTurn() && x.call.LastEvent == "" && (!x.route.StoresTurns || x.call.PreviousTurn == "")
}

// startsProgram reports whether the turn that holds the lease is its program's first.
func (x *transfer) startsProgram(lease Lease) bool {
	return x.mayStartProgram() && (x.route.StoresTurns || lease.FirstTurn())
}

// checkAdmission checks admission before other instances are involved. First turns are
// checked later, by checkTurnAdmission: replies of their budget's owner carry the load
// of the services, which an instance that refused all first turns here would not
// receive.
func (x *transfer) checkAdmission() bool {
	return x.mayStartProgram() || x.admitClass(x.admissionClass(false))
}

// checkTurnAdmission checks admission of a turn that may be its program's first, once
// the budget's lease has shown whether it is.
func (x *transfer) checkTurnAdmission(first bool) bool {
	return !x.mayStartProgram() || x.admitClass(x.admissionClass(first))
}

// admissionClass classifies the request by what is wasted if it is refused.
func (x *transfer) admissionClass(first bool) policy.AdmissionClass {
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
	request := overload.Request{
		Service: x.service, Program: x.scoped(x.call.Program), ID: x.call.ID, Class: class, Route: x.route.Name, Rank: x.combinedPriority(),
		IsCall: x.call.Program != "" && !x.isTurn(), LimitUtilization: x.limitUtilization(), TimeLeft: time.Until(x.deadline),
	}
	verdict := x.server.admission.Admit(request, time.Now())
	if verdict.Admit {
		return true
	}
	x.detail = overload.DescribeRefusal(request, verdict)
	x.refuse(http.StatusServiceUnavailable, reasonNoCapacity, verdict.RetryAfter)
	return false
}

// routePriorities is the number of route priorities within one organisation priority.
const routePriorities = 3

// combinedPriority orders requests by the organisation's priority, then by the route's;
// 0 is the most urgent.
func (x *transfer) combinedPriority() int {
	within := min(x.route.Priority, routePriorities-1)
	if x.org == nil || x.org.Priority == nil {
		return within
	}
	return *x.org.Priority*routePriorities + within
}

// limitUtilization returns the utilization of the organisation's limit, 0 if unknown.
func (x *transfer) limitUtilization() float64 {
	if x.permit == nil {
		return 0
	}
	return x.permit.Utilization()
}

// targetRetryAfter returns the RetryAfter delay after no target accepted the request.
func (x *transfer) targetRetryAfter() time.Duration {
	return x.server.admission.RetryAfter(x.service, time.Until(x.deadline), time.Now())
}
