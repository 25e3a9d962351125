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
	// Ahead counts the waiting calls that go before this one.
	Ahead int
	// Interval is the recent time between grants while calls waited, 0 if
	// not known.
	Interval time.Duration
	// CallTime is the usual time of one run.
	CallTime time.Duration
	// Remaining is the time to the call's deadline, 0 if it has none.
	Remaining time.Duration
}

// Verdict is the decision of the admission rule.
type Verdict struct {
	Admit bool
	// Reason and RetryAfter are for the refusal.
	Reason     structs.Reason
	RetryAfter time.Duration
}

// minRetryAfter is the least time after which a refused call may be tried
// again.
const minRetryAfter = 250 * time.Millisecond

// Wait is the expected wait of a call with that many ahead.
func (l Load) Wait() time.Duration { return time.Duration(l.Ahead) * l.Interval }

// Admit decides whether a call may wait. The queue bounds always hold; the
// check of the expected wait against the deadline is the admission rule.
func Admit(rules structs.Rules, load Load) Verdict {
	if load.Waiting >= load.Limit || load.TeamWaiting >= load.TeamLimit {
		return refuse(structs.ReasonOverloaded, load.Wait()/2)
	}
	if !rules.Admission || load.Remaining <= 0 {
		return Verdict{Admit: true}
	}
	if late := load.Wait() + load.CallTime - load.Remaining; late > 0 {
		return refuse(structs.ReasonOverloaded, late)
	}
	return Verdict{Admit: true}
}

func refuse(reason structs.Reason, after time.Duration) Verdict {
	return Verdict{Reason: reason, RetryAfter: max(minRetryAfter, after)}
}
