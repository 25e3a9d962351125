package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
)

// Retry settings of a call. Each attempt uses the same idempotency key and picks
// an instance at random.
const (
	maxAttempts    = 12
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	attemptTimeout = 45 * time.Second
)

// Outcomes in problem documents.
const (
	outcomeUnknown = "unknown"
)

// errAttemptsExhausted is returned when no attempt of a call succeeded.
var errAttemptsExhausted = errors.New("no answer after all attempts")

// caller makes the calls of one program.
type caller struct {
	key      string
	http     *http.Client
	balancer *balancer
	random   *rand.Rand
	recorder *classRecorder
}

// callFunc makes one attempt of a call.
type callFunc func(ctx context.Context, client *testkit.Client, attempt int) (*testkit.Response, error)

// do makes attempts until one succeeds, fails permanently, or maxAttempts is
// reached.
func (c *caller) do(ctx context.Context, f callFunc) (*testkit.Response, error) {
	c.recorder.calls.Add(1)
	backoff := initialBackoff
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		response, retryAfter, err := c.attempt(ctx, f, attempt)
		if err == nil {
			return response, nil
		}
		if !errors.Is(err, errRetryable) {
			return nil, err
		}
		c.recorder.retries.Add(1)
		delay.Sleep(ctx, max(backoff, retryAfter))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil, errAttemptsExhausted
}

// errRetryable marks a failed attempt that may be retried with the same idempotency key.
var errRetryable = errors.New("attempt failed")

func (c *caller) attempt(ctx context.Context, f callFunc, attempt int) (*testkit.Response, time.Duration, error) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	server := c.balancer.pick(c.random)
	response, err := f(attemptCtx, &testkit.Client{Server: server, Key: c.key, HTTP: c.http}, attempt)
	switch {
	case ctx.Err() != nil:
		return nil, 0, ctx.Err()
	case err != nil:
		c.balancer.set(server, true)
		return nil, 0, errRetryable
	case response.Truncated:
		return nil, 0, errRetryable
	case response.Problem == nil:
		return response, 0, nil
	}
	return nil, time.Duration(response.Problem.RetryAfterMS) * time.Millisecond, c.problemError(response.Problem)
}

// problemError records a problem document and returns its error, errRetryable if
// the call may be retried.
func (c *caller) problemError(p *testkit.Problem) error {
	c.recorder.recordRefusal(p.Type)
	switch {
	case p.Outcome == outcomeUnknown && p.Status != http.StatusServiceUnavailable:
		c.recorder.unknown.Add(1)
		return errRetryable
	case p.RetryAfterMS > 0, p.Status >= http.StatusInternalServerError, p.Status == http.StatusTooManyRequests:
		return errRetryable
	default:
		return errors.Newf("refused: %d %s: %s", p.Status, p.Type, p.Detail)
	}
}
