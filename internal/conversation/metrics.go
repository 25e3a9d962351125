package conversation

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics of the conversations that this instance keeps.
type metrics struct {
	// local counts conversations that were at hand, asked those that another
	// instance or the store was asked for.
	local     tally.Counter
	asked     tally.Counter
	unknown   tally.Counter
	uncertain tally.Counter
	// lost counts turns whose caller left before their record was durable.
	lost tally.Counter
	// loads counts first reads of partitions.
	loads tally.Counter
	// seconds is how long turns waited for their record.
	seconds tally.Histogram
	bytes   tally.Gauge
	turns   tally.Gauge
}

var keepBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, time.Second, 3 * time.Second,
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("conversations")
	return metrics{
		local:     scope.Counter("found_here"),
		asked:     scope.Counter("asked_for"),
		unknown:   scope.Counter("unknown"),
		uncertain: scope.Counter("uncertain"),
		lost:      scope.Counter("turns_not_kept"),
		loads:     scope.Counter("partitions_read"),
		seconds:   scope.Histogram("keep_seconds", keepBuckets),
		bytes:     scope.Gauge("memory_bytes"),
		turns:     scope.Gauge("turns"),
	}
}
