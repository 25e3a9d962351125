package policy

// Appends to a slow partition can take long because they queue there, or because
// the network path is long. In the first case concurrent appends slow each other
// down; in the second they only improve throughput.

import "time"

const (
	// maxAppendWindow is the maximum number of appends in flight per partition.
	maxAppendWindow = 4
	// latencyTolerance is the factor by which latencies may exceed the minimum
	// before that is taken for queueing.
	latencyTolerance = 1.25
)

// AppendWindow limits the number of appends in flight to one partition. It grows
// as long as the latencies of a slow store do not increase. The zero value
// allows one append.
type AppendWindow struct{ extra int }

// Size returns the number of appends that may be in flight.
func (w *AppendWindow) Size() int { return 1 + w.extra }

// Observe adjusts the window to the result of an append. shortest is the minimum
// latency since the store became slow.
func (w *AppendWindow) Observe(result AppendResult, shortest time.Duration) {
	switch {
	case !result.Slow:
		w.extra = 0
	case float64(result.Latency) <= latencyTolerance*float64(shortest):
		w.extra = min(w.extra+1, maxAppendWindow-1)
	default:
		w.extra = max(w.extra-1, 0)
	}
}
