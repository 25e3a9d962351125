package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// QueueState is the state of a pool that the admission rule looks at.
type QueueState struct {
	// Waiting is the number of calls queued for the pool, Limit its maximum.
	Waiting, Limit int
	// TeamWaiting is the number of the team's queued calls, TeamLimit its
	// maximum.
	TeamWaiting, TeamLimit int
	// Wait is the expected queueing time of the call.
	Wait time.Duration
	// CallTime is the average time of one run.
	CallTime time.Duration
	// Remaining is the time until the call's deadline, 0 if it has none.
	Remaining time.Duration
	// FirstCall reports whether the call is the first of its program.
	FirstCall bool
}

// CallVerdict is the decision of the admission rule.
type CallVerdict struct {
	Admit bool
	// Reason and RetryAfter are set if the call is refused.
	Reason     structs.Reason
	RetryAfter time.Duration
}

const (
	// minRetryAfter is the minimum delay before a refused call may be retried.
	minRetryAfter = 250 * time.Millisecond
	// firstCallFraction is the fraction of its remaining time that the first
	// call of a program may be expected to wait. It is stricter than for later
	// calls, since refusing a program that has not begun wastes no work.
	firstCallFraction = 0.25
)

// AdmitCall decides whether a call may be queued. The queue limits always apply; the
// check of the expected wait against the deadline applies if the admission rule
// is enabled.
func AdmitCall(rules structs.Rules, load QueueState) CallVerdict {
	if load.Waiting >= load.Limit || load.TeamWaiting >= load.TeamLimit {
		return refuse(load.Wait)
	}
	if !rules.Admission || load.Remaining <= 0 {
		return CallVerdict{Admit: true}
	}
	allowed := load.Remaining - min(load.CallTime, load.Remaining/2)
	if load.FirstCall {
		allowed = min(allowed, time.Duration(firstCallFraction*float64(load.Remaining)))
	}
	if excess := load.Wait - allowed; excess > 0 {
		return refuse(excess)
	}
	return CallVerdict{Admit: true}
}

func refuse(delay time.Duration) CallVerdict {
	return CallVerdict{Reason: structs.ReasonOverloaded, RetryAfter: max(minRetryAfter, delay)}
}

// Lateness tracks how long after their keys the calls of a class are granted.
// With aging, keys are due times, and as long as the queue of the class is never
// empty, calls are granted in the order of their due times. The expected wait of
// a call is then the time until it is due plus the lateness.
type Lateness struct {
	average time.Duration
	// lastEmpty is when the class last had no waiting call.
	lastEmpty time.Duration
}

const (
	// latenessGain is the weight of a new grant in the average.
	latenessGain = 0.05
	// minSaturatedTime is how long the queue of a class must have been nonempty
	// before the lateness predicts waits; minSaturatedFraction is the same as a
	// fraction of the predicted wait.
	minSaturatedTime     = 3 * time.Second
	minSaturatedFraction = 0.5
)

// ObserveGrant records that a call with the given key was granted. last reports
// whether the queue of the class is empty now.
func (l *Lateness) ObserveGrant(now, key time.Duration, last bool) {
	l.average += time.Duration(latenessGain * float64(now-key-l.average))
	if last {
		l.lastEmpty = now
	}
}

// ExpectedWait returns the expected wait of a call with the given key. position
// is the wait estimated from its position in the queue; while the class is not
// saturated, it is returned as is.
func (l *Lateness) ExpectedWait(now, key, position time.Duration) time.Duration {
	wait := key - now + l.average
	if now-l.lastEmpty < max(minSaturatedTime, time.Duration(minSaturatedFraction*float64(wait))) {
		return position
	}
	return max(position, wait)
}
