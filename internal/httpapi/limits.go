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

// busy is the refusal of a request that this instance has no room for. It
// differs in its status from the core's refusal of a team with too much work.
func busy(detail string) *Problem {
	return refuse(structs.ReasonOverloaded, "%s", detail).
		withStatus(http.StatusServiceUnavailable).retryAfter(localRetryAfter)
}
