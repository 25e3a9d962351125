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

const (
	// attemptDeadline is the default deadline sent with a request.
	attemptDeadline = 6 * time.Second
	// attemptGrace is how long a caller waits after the deadline.
	attemptGrace = 4 * time.Second
	// retryTimeout bounds the retries of a call.
	retryTimeout = 40 * time.Second
	// retryInterval is the delay before a retry without a RetryAfter.
	retryInterval = 50 * time.Millisecond
	// maxUnknownAttempts bounds the attempts of a call that end with an unknown
	// outcome.
	maxUnknownAttempts = 3
)

const problemPrefix = "urn:banyanglade:problem:"

// request is a call with the HTTP request that is sent for it.
type request struct {
	call     *Call
	method   string
	path     string
	body     []byte
	deadline time.Duration // attemptDeadline if 0
	// cancelAfter is the time after which the caller closes the connection; never
	// if 0.
	cancelAfter time.Duration
}

// do makes attempts of the call until nextRetry ends them or retryTimeout elapses,
// and returns the last one. All attempts carry the same key. A retry after an
// attempt without a final outcome goes to another instance.
func (r *Rig) do(ctx context.Context, rng *rand.Rand, q request) Attempt {
	r.History.addCall(q.call)
	return r.retry(ctx, rng, q, retryTimeout)
}

func (r *Rig) retry(ctx context.Context, rng *rand.Rand, q request, limit time.Duration) Attempt {
	deadline := time.Now().Add(limit)
	unknowns, unresponsive := 0, ""
	for {
		attempt := r.attempt(ctx, r.pickEndpoint(rng, unresponsive), q)
		unresponsive = ""
		if !attempt.Outcome.final() {
			unresponsive = attempt.Instance
		}
		wait, retry := nextRetry(attempt, &unknowns)
		if !retry || time.Now().Add(wait).After(deadline) || !delay.Sleep(ctx, wait) {
			return attempt
		}
	}
}

// nextRetry reports whether to retry after the attempt, and after which delay.
func nextRetry(a Attempt, unknowns *int) (time.Duration, bool) {
	switch a.Outcome {
	case Answered, Replayed:
		return 0, false
	case NotRun:
		return a.RetryAfter, a.RetryAfter > 0
	case Unknown:
		*unknowns++
		return max(retryInterval, a.RetryAfter), *unknowns < maxUnknownAttempts
	default:
		return retryInterval, true
	}
}

// attempt makes one request at one instance and records it.
func (r *Rig) attempt(ctx context.Context, to endpoint, q request) Attempt {
	deadline := q.deadline
	if deadline == 0 {
		deadline = attemptDeadline
	}
	wait := deadline + attemptGrace
	if q.cancelAfter > 0 {
		wait = q.cancelAfter
	}
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a := Attempt{Instance: to.id, Start: time.Now()}
	response, err := testkit.NewClient(to.server, r.callerKey).Do(limited, q.method, q.path, q.body, testkit.Call{
		Program: q.call.Program, Lane: q.call.Lane, Number: q.call.Number, Key: q.call.Key,
		NotRepeatable: q.call.NotRepeatable, Deadline: deadline, Fee: q.call.Fee,
		Attempt: r.History.nextAttempt(q.call),
	})
	a.End = time.Now()
	a.Outcome = outcomeOf(limited, response, err)
	if a.Outcome == NoResponse && q.cancelAfter > 0 {
		a.Outcome = Canceled
	}
	if response != nil {
		if response.Problem == nil && response.Status >= http.StatusBadRequest {
			a.Reason = "the target's " + http.StatusText(response.Status)
		}
		a.Status, a.Text, a.Body = response.Status, response.Text, response.Body
		if p := response.Problem; p != nil {
			a.Reason = strings.TrimPrefix(p.Type, problemPrefix)
			a.RetryAfter = time.Duration(p.RetryAfterMS) * time.Millisecond
		}
	}
	r.History.addAttempt(q.call, a)
	return a
}

func outcomeOf(ctx context.Context, response *testkit.Response, err error) Outcome {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Unreachable
	case err != nil && ctx.Err() != nil, err == nil && response.Truncated && ctx.Err() != nil:
		return NoResponse
	case err != nil || response.Truncated:
		return Broken
	case response.Problem != nil && response.Problem.Outcome == string(NotRun):
		return NotRun
	case response.Problem != nil:
		return Unknown
	case response.Status >= http.StatusBadRequest:
		return Unknown
	case response.Outcome == string(Replayed):
		return Replayed
	default:
		return Answered
	}
}
