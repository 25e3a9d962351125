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

// How a caller repeats a request: with the same key, at another instance.
const (
	maxAttempts    = 12
	firstWait      = 20 * time.Millisecond
	maxWait        = time.Second
	attemptTimeout = 45 * time.Second
)

// Outcomes that callers see in a problem document.
const (
	outcomeUnknown = "unknown"
)

// errGaveUp is the error of a call without an answer after all attempts.
var errGaveUp = errors.New("no answer after all attempts")

// caller makes the calls of one program.
type caller struct {
	key      string
	http     *http.Client
	balancer *balancer
	random   *rand.Rand
	figures  *classRecorder
}

// attemptFunc makes one attempt of a call.
type attemptFunc func(ctx context.Context, client *testkit.Client, attempt int) (*testkit.Response, error)

// do makes attempts until one is answered or told for good.
func (c *caller) do(ctx context.Context, f attemptFunc) (*testkit.Response, error) {
	c.figures.calls.Add(1)
	wait := firstWait
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		answer, pause, err := c.attempt(ctx, f, attempt)
		if err == nil {
			return answer, nil
		}
		if !errors.Is(err, errRetry) {
			return nil, err
		}
		c.figures.retries.Add(1)
		delay.Sleep(ctx, max(wait, pause))
		wait = min(2*wait, maxWait)
	}
	return nil, errGaveUp
}

// errRetry marks an attempt that may be repeated with the same key.
var errRetry = errors.New("attempt failed")

func (c *caller) attempt(ctx context.Context, f attemptFunc, attempt int) (*testkit.Response, time.Duration, error) {
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	server := c.balancer.pick(c.random)
	answer, err := f(limited, &testkit.Client{Server: server, Key: c.key, HTTP: c.http}, attempt)
	switch {
	case ctx.Err() != nil:
		return nil, 0, ctx.Err()
	case err != nil:
		c.balancer.set(server, true)
		return nil, 0, errRetry
	case answer.Truncated:
		return nil, 0, errRetry
	case answer.Problem == nil:
		return answer, 0, nil
	}
	return nil, time.Duration(answer.Problem.RetryAfterMS) * time.Millisecond, c.refused(answer.Problem)
}

// refused gives the error of a problem document.
func (c *caller) refused(p *testkit.Problem) error {
	c.figures.refuse(p.Type)
	switch {
	case p.Outcome == outcomeUnknown && p.Status != http.StatusServiceUnavailable:
		c.figures.unknown.Add(1)
		return errRetry
	case p.RetryAfterMS > 0, p.Status >= http.StatusInternalServerError, p.Status == http.StatusTooManyRequests:
		return errRetry
	default:
		return errors.Newf("refused: %d %s: %s", p.Status, p.Type, p.Detail)
	}
}
