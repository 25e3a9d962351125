package serve

import (
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// recordResponse updates a target's statistics after a complete plain response.
// Failures are excluded from latency, and engines are measured by the pauses between
// events.
func (x *transfer) recordResponse(target *targets.Target, status int) {
	now := time.Now()
	x.server.targets.RecordSuccess(target, now)
	if x.route.Kind != route.Stream && status < http.StatusBadRequest {
		x.server.targets.RecordResponse(target, x.route.Name, now.Sub(x.sentAt), now)
	}
}

// streamTiming measures the times of one stream's events.
type streamTiming struct {
	transfer *transfer
	target   *targets.Target
	sentAt   time.Time
	// first is the time of the first event, last that of the last recorded one;
	// sinceLast counts the events after it.
	first, last time.Time
	events      int
	sinceLast   int
}

func (x *transfer) newStreamTiming(target *targets.Target) *streamTiming {
	return &streamTiming{transfer: x, target: target, sentAt: x.sentAt}
}

// event records an event. Events that arrive together count as one pause.
func (s *streamTiming) event(now time.Time, buffered bool) {
	s.events++
	if s.events == 1 {
		s.first, s.last = now, now
		return
	}
	s.sinceLast++
	if buffered {
		return
	}
	s.transfer.server.targets.RecordEventInterval(s.target, now.Sub(s.last)/time.Duration(s.sinceLast), now)
	s.last, s.sinceLast = now, 0
}

// end records a complete stream.
func (s *streamTiming) end() {
	x := s.transfer
	if s.events == 0 {
		return
	}
	sample := policy.RunSample{
		CompletionTokens: int64(s.events * x.tokensPerEvent()), FirstToken: s.first.Sub(s.sentAt), Duration: time.Since(s.sentAt),
	}
	if s.target.Incarnation() != x.programTarget {
		sample.UncachedTokens = int64(x.promptTokens())
	}
	x.server.targets.RecordTurn(s.target, sample)
}
