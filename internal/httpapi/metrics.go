package httpapi

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the upper bounds of the request latency histogram.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	30 * time.Second, time.Minute, 2 * time.Minute,
}

// serverMetrics holds the metrics of the HTTP adapter. Labels have values of
// fixed sets only: routes, statuses and outcomes.
type serverMetrics struct {
	scope    tally.Scope
	inFlight atomic.Int64
	gauge    tally.Gauge
	// panics counts handlers that panicked, cutOff callers that read too
	// slowly, and disconnectsNotPosted CallerDisconnected events that the
	// core's queue did not accept.
	panics               tally.Counter
	cutOff               tally.Counter
	disconnectsNotPosted tally.Counter
}

func newServerMetrics(scope tally.Scope) *serverMetrics {
	return &serverMetrics{
		scope:                scope,
		gauge:                scope.Gauge("requests_in_flight"),
		panics:               scope.Counter("panics"),
		cutOff:               scope.Counter("slow_callers_cut_off"),
		disconnectsNotPosted: scope.Counter("caller_gone_not_posted"),
	}
}

func (m *serverMetrics) begin() {
	m.gauge.Update(float64(m.inFlight.Add(1)))
}

func (m *serverMetrics) end(route string, status int, outcome string, elapsed time.Duration) {
	m.gauge.Update(float64(m.inFlight.Add(-1)))
	m.scope.Tagged(map[string]string{
		"route": route, "status": strconv.Itoa(status), "outcome": outcome,
	}).Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"route": route}).
		Histogram("request_seconds", latencyBuckets).RecordDuration(elapsed)
}
