package httpapi

import (
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// localRetryAfter is when to ask again after this instance alone was too busy.
const localRetryAfter = time.Second

// limits bounds what callers' requests hold at a time.
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

// overloaded is the refusal of a request that this instance has no room for. It
// differs in its status from the core's refusal of a team with too much work.
// An earlier delivery of the request's key is not looked up, so that "not run"
// is said only of a request that can have none.
func overloaded(header http.Header, detail string) *Problem {
	outcome := outcomeNotRun
	if mayBeRetry(header) {
		outcome = outcomeUnknown
	}
	return newProblem(structs.ReasonOverloaded, outcome, detail).
		withStatus(http.StatusServiceUnavailable).retryAfter(localRetryAfter)
}

// mayBeRetry tells whether a request may be a further delivery of its key.
func mayBeRetry(header http.Header) bool {
	keyed := header.Get(HeaderIdempotencyKey) != "" || header.Get(HeaderCall) != ""
	return keyed && header.Get(HeaderFresh) != "true"
}
