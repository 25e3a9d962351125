package policy

// Load pattern: a slow store's partition may take long for each append, or its
// answers may only be long on their way. In the first case a second append in
// flight makes both wait; in the second one, waiting for the answer before the
// next append makes turns wait in vain.

import "time"

const (
	// maxAppendWindow bounds the appends in flight.
	maxAppendWindow = 4
	// latencyTolerance is by how much answers may vary without a queue.
	latencyTolerance = 1.25
)

// AppendWindow is the number of appends to one partition that may be in flight.
// It grows while the answers of a slow store do not get longer. The zero value
// lets one.
type AppendWindow struct{ extra int }

// Size is the number of appends that may be in flight.
func (w *AppendWindow) Size() int { return 1 + w.extra }

// Observe notes an answer and the shortest one since the store is
// slow.
func (w *AppendWindow) Observe(result AppendResult, shortest time.Duration) {
	switch {
	case !result.Slow:
		w.extra = 0
	case float64(result.Took) <= latencyTolerance*float64(shortest):
		w.extra = min(w.extra+1, maxAppendWindow-1)
	default:
		w.extra = max(w.extra-1, 0)
	}
}
