package policy

// Load pattern: a slow store's partition may take long for each append, or its
// answers may only be long on their way. In the first case a second append in
// flight makes both wait; in the second one, waiting for the answer before the
// next append makes turns wait in vain.

import "time"

const (
	// appendWindowMost bounds the appends in flight.
	appendWindowMost = 4
	// appendWindowSlack is by how much answers may vary without a queue.
	appendWindowSlack = 1.25
)

// AppendWindow is the number of appends to one partition that may be in flight.
// It grows while the answers of a slow store do not get longer. The zero value
// lets one.
type AppendWindow struct{ more int }

// Size is the number of appends that may be in flight.
func (w *AppendWindow) Size() int { return 1 + w.more }

// Observe notes an answer and the shortest one since the store is
// slow.
func (w *AppendWindow) Observe(a AppendResult, shortest time.Duration) {
	switch {
	case !a.Slow:
		w.more = 0
	case float64(a.Took) <= appendWindowSlack*float64(shortest):
		w.more = min(w.more+1, appendWindowMost-1)
	default:
		w.more = max(w.more-1, 0)
	}
}
