package conversation

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/policy"
)

type metrics struct {
	// local counts lookups served from memory, remote those that needed another
	// instance or the store.
	local     tally.Counter
	remote    tally.Counter
	unknown   tally.Counter
	uncertain tally.Counter
	// abandoned counts turns whose caller left before they were durable.
	abandoned tally.Counter
	// firstReads counts initial reads of partitions.
	firstReads tally.Counter
	// storeLatency is the time until a turn was durable.
	storeLatency tally.Histogram
	// appends counts this instance's appends; batchSize is the number of
	// records in each.
	appends   tally.Counter
	batchSize tally.Histogram
	// state is 0 if the store responds in time, 1 if it is slow, 2 if this
	// instance's appends fail.
	state tally.Gauge
	bytes tally.Gauge
	turns tally.Gauge
}

var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, time.Second, 3 * time.Second,
}

var batchBuckets = tally.ValueBuckets{1, 2, 4, 8, 16, 32, 64, 128, 256, 512}

func (m metrics) setState(state policy.StoreState) {
	values := map[policy.StoreState]float64{policy.StoreHealthy: 0, policy.StoreSlow: 1, policy.StoreFailing: 2}
	m.state.Update(values[state])
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("conversations")
	return metrics{
		local:        scope.Counter("found_here"),
		remote:       scope.Counter("asked_for"),
		unknown:      scope.Counter("unknown"),
		uncertain:    scope.Counter("uncertain"),
		abandoned:    scope.Counter("turns_not_kept"),
		firstReads:   scope.Counter("partitions_read"),
		storeLatency: scope.Histogram("keep_seconds", latencyBuckets),
		appends:      scope.Counter("appends"),
		batchSize:    scope.Histogram("append_records", batchBuckets),
		state:        scope.Gauge("store_state"),
		bytes:        scope.Gauge("memory_bytes"),
		turns:        scope.Gauge("turns"),
	}
}
