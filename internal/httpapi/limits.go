package httpapi

import (
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// localRetryAfter is the RetryAfter delay for conditions of this instance alone.
const localRetryAfter = time.Second

// limits holds the semaphores for requests in flight and body bytes in memory.
type limits struct {
	requests *semaphore.Weighted
	bodies   *semaphore.Weighted
}

func newLimits(requests int, bodies int64) *limits {
	return &limits{
		requests: semaphore.NewWeighted(int64(requests)),
		bodies:   semaphore.NewWeighted(bodies),
	}
}

// overloaded returns the problem of a request that exceeds the limits of this
// instance. Its status, 503, differs from the 429 that the core returns for a
// team with too much work. The outcome is unknown if the request may be a retry,
// since the outcome of earlier attempts is not looked up here.
func overloaded(header http.Header, detail string) *Problem {
	outcome := outcomeNotRun
	if mayBeRetry(header) {
		outcome = outcomeUnknown
	}
	return newProblem(structs.ReasonOverloaded, outcome, detail).
		withStatus(http.StatusServiceUnavailable).retryAfter(localRetryAfter)
}

// mayBeRetry reports whether an earlier request with the same key may exist.
func mayBeRetry(header http.Header) bool {
	keyed := header.Get(HeaderIdempotencyKey) != "" || header.Get(HeaderCall) != ""
	return keyed && header.Get(HeaderFresh) != "true"
}
