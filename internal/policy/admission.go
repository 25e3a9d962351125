package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Load is a pool's state as the admission rule sees it.
type Load struct {
	// Waiting counts the pool's waiting calls and Limit bounds them.
	Waiting, Limit int
	// TeamWaiting counts the team's waiting calls and TeamLimit bounds them.
	TeamWaiting, TeamLimit int
	// Wait is the expected wait of the call.
	Wait time.Duration
	// CallTime is the usual time of one run.
	CallTime time.Duration
	// Remaining is the time to the call's deadline, 0 if it has none.
	Remaining time.Duration
	// FirstCall tells that the call is the first of its program.
	FirstCall bool
}

// Verdict is the decision of the admission rule.
type Verdict struct {
	Admit bool
	// Reason and RetryAfter are for the refusal.
	Reason     structs.Reason
	RetryAfter time.Duration
}

const (
	// minRetryAfter is the least time after which a refused call may be
	// tried again.
	minRetryAfter = 250 * time.Millisecond
	// firstCallShare is the share of its time that the first call of a
	// program may be expected to wait. An overload is shed where no work is
	// lost: at programs that have not begun.
	firstCallShare = 0.25
)

// Admit decides whether a call may wait. The queue bounds always hold; the
// check of the expected wait against the deadline is the admission rule.
func Admit(rules structs.Rules, load Load) Verdict {
	if load.Waiting >= load.Limit || load.TeamWaiting >= load.TeamLimit {
		return refuse(load.Wait)
	}
	if !rules.Admission || load.Remaining <= 0 {
		return Verdict{Admit: true}
	}
	allowed := load.Remaining - min(load.CallTime, load.Remaining/2)
	if load.FirstCall {
		allowed = min(allowed, time.Duration(firstCallShare*float64(load.Remaining)))
	}
	if late := load.Wait - allowed; late > 0 {
		return refuse(late)
	}
	return Verdict{Admit: true}
}

func refuse(after time.Duration) Verdict {
	return Verdict{Reason: structs.ReasonOverloaded, RetryAfter: max(minRetryAfter, after)}
}

// Lateness follows by how much the calls of a class are granted after their
// keys, which are due times under the orders with aging. While calls of the
// class wait without a break, they are granted in the order of their due times
// whoever comes later, so the wait of any call is the time to its due time and
// the lateness.
type Lateness struct {
	average time.Duration
	// emptied is when the class last had no waiting call.
	emptied time.Duration
}

const (
	// latenessGain is the weight of a new grant in the average.
	latenessGain = 0.05
	// saturatedAfter is how long calls of a class must have waited without
	// a break for the lateness to tell their wait, and saturatedShare the
	// same as a share of that wait.
	saturatedAfter = 3 * time.Second
	saturatedShare = 0.5
)

// ObserveGrant counts a grant at a time, of a call with a key; last tells that no
// call of the class waits any more.
func (l *Lateness) ObserveGrant(now, key time.Duration, last bool) {
	l.average += time.Duration(latenessGain * float64(now-key-l.average))
	if last {
		l.emptied = now
	}
}

// ExpectedWait is the expected wait of a call with a key, given the wait by its
// position in the queue alone.
func (l *Lateness) ExpectedWait(now, key, position time.Duration) time.Duration {
	wait := key - now + l.average
	if now-l.emptied < max(saturatedAfter, time.Duration(saturatedShare*float64(wait))) {
		return position
	}
	return max(position, wait)
}
