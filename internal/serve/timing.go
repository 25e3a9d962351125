package serve

import (
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// noteAnswer draws the conclusions from a whole plain answer. Failures take
// another time than work, and an engine's speed is that between events.
func (x *transfer) noteAnswer(target *targets.Target, status int) {
	now := time.Now()
	x.server.targets.RecordSuccess(target, now)
	if x.route.Kind != route.Stream && status < http.StatusBadRequest {
		x.server.targets.RecordResponse(target, x.route.Name, now.Sub(x.sentAt), now)
	}
}

// streamTiming follows the times of one stream's events.
type streamTiming struct {
	transfer *transfer
	target   *targets.Target
	sentAt   time.Time
	// first is the time of the first event, last that of the last one noted;
	// since counts the events after it.
	first, last time.Time
	events      int
	since       int
}

func (x *transfer) newStreamTiming(target *targets.Target) *streamTiming {
	return &streamTiming{transfer: x, target: target, sentAt: x.sentAt}
}

// event takes an event in. Those that arrive together count as one pause.
func (s *streamTiming) event(now time.Time, more bool) {
	s.events++
	if s.events == 1 {
		s.first, s.last = now, now
		return
	}
	s.since++
	if more {
		return
	}
	s.transfer.server.targets.RecordEventInterval(s.target, now.Sub(s.last)/time.Duration(s.since), now)
	s.last, s.since = now, 0
}

// end takes the whole stream in.
func (s *streamTiming) end() {
	x := s.transfer
	if s.events == 0 {
		return
	}
	sample := policy.RunSample{
		Completion: int64(s.events * x.tokensPerEvent()), FirstToken: s.first.Sub(s.sentAt), Took: time.Since(s.sentAt),
	}
	if s.target.Incarnation() != x.lastOfProgram {
		sample.Uncached = int64(x.promptTokens())
	}
	x.server.targets.RecordTurn(s.target, sample)
}
