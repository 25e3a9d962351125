package proofs

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
)

// Times of a caller.
const (
	// attemptDeadline is the deadline that a caller gives an instance.
	attemptDeadline = 6 * time.Second
	// attemptGrace is how much longer the caller waits for it.
	attemptGrace = 4 * time.Second
	// patience is how long a caller tries a call again.
	patience = 40 * time.Second
	// pace is the wait before another try when no refusal gave one.
	pace = 50 * time.Millisecond
	// unknownTries is how often a caller asks again for what became of a
	// call.
	unknownTries = 3
)

const problemPrefix = "urn:banyanglade:problem:"

// request is a call with what is sent for it.
type request struct {
	call     *Call
	method   string
	path     string
	body     []byte
	deadline time.Duration
	// leave is the time after which the caller closes the connection, 0 for
	// never.
	leave time.Duration
}

// do makes the call until it has a final word or the patience ends, and gives
// its last attempt. A broken connection and an outcome that is not known are
// tried elsewhere with the same key; a refusal says when to come back.
func (r *Rig) do(ctx context.Context, rng *rand.Rand, q request) Attempt {
	r.History.addCall(q.call)
	return r.retry(ctx, rng, q, patience)
}

func (r *Rig) retry(ctx context.Context, rng *rand.Rand, q request, limit time.Duration) Attempt {
	until := time.Now().Add(limit)
	unknowns, silent := 0, ""
	for {
		attempt := r.attempt(ctx, r.pick(rng, silent), q)
		silent = ""
		if !attempt.Word.final() {
			silent = attempt.Instance
		}
		wait, again := nextTry(attempt, &unknowns)
		if !again || time.Now().Add(wait).After(until) || !delay.Sleep(ctx, wait) {
			return attempt
		}
	}
}

// nextTry tells whether to try again after an attempt, and when.
func nextTry(a Attempt, unknowns *int) (time.Duration, bool) {
	switch a.Word {
	case Answered, Replayed:
		return 0, false
	case NotRun:
		return a.RetryAfter, a.RetryAfter > 0
	case Unknown:
		*unknowns++
		return max(pace, a.RetryAfter), *unknowns < unknownTries
	default:
		return pace, true
	}
}

// attempt makes one request at one instance and records it.
func (r *Rig) attempt(ctx context.Context, to door, q request) Attempt {
	deadline := q.deadline
	if deadline == 0 {
		deadline = attemptDeadline
	}
	wait := deadline + attemptGrace
	if q.leave > 0 {
		wait = q.leave
	}
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a := Attempt{Instance: to.id, Start: time.Now()}
	answer, err := testkit.NewClient(to.server, r.key).Do(limited, q.method, q.path, q.body, testkit.Call{
		Program: q.call.Program, Lane: q.call.Lane, Number: q.call.Number, Key: q.call.Key,
		NotRepeatable: q.call.NotRepeatable, Deadline: deadline, Fee: q.call.Fee,
		Attempt: r.History.nextDelivery(q.call),
	})
	a.End = time.Now()
	a.Word = wordOf(limited, answer, err)
	if a.Word == Silent && q.leave > 0 {
		a.Word = Left
	}
	if answer != nil {
		if answer.Problem == nil && answer.Status >= http.StatusBadRequest {
			a.Reason = "the target's " + http.StatusText(answer.Status)
		}
		a.Status, a.Text, a.Body = answer.Status, answer.Text, answer.Body
		if p := answer.Problem; p != nil {
			a.Reason = strings.TrimPrefix(p.Type, problemPrefix)
			a.RetryAfter = time.Duration(p.RetryAfterMS) * time.Millisecond
		}
	}
	r.History.addAttempt(q.call, a)
	return a
}

func wordOf(ctx context.Context, answer *testkit.Response, err error) Word {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Unreached
	case err != nil && ctx.Err() != nil, err == nil && answer.Truncated && ctx.Err() != nil:
		return Silent
	case err != nil || answer.Truncated:
		return Broken
	case answer.Problem != nil && answer.Problem.Outcome == string(NotRun):
		return NotRun
	case answer.Problem != nil:
		return Unknown
	case answer.Status >= http.StatusBadRequest:
		return Unknown
	case answer.Outcome == string(Replayed):
		return Replayed
	default:
		return Answered
	}
}
