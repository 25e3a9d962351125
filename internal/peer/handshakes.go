package peer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errTooManyHandshakes indicates that a handshake was cancelled for another one.
var errTooManyHandshakes = errors.New("too many connections that are not authenticated")

// handshakes bounds the handshakes that are accepted at the same time. Beyond the bound
// each new one cancels an arbitrary one in progress: clients without the key that occupy
// them all cannot keep other instances out, whose handshakes take a few milliseconds. It is
// safe for concurrent use.
type handshakes struct {
	max int

	mu         sync.Mutex
	inProgress map[*context.CancelCauseFunc]struct{}
}

func newHandshakes(max int) *handshakes {
	return &handshakes{max: max, inProgress: make(map[*context.CancelCauseFunc]struct{})}
}

// begin returns the context of a new handshake. The returned function must be called at its
// end.
func (h *handshakes) begin(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.inProgress) >= h.max {
		h.cancelOne()
	}
	h.inProgress[&cancel] = struct{}{}
	return ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.inProgress, &cancel)
		cancel(nil)
	}
}

// cancelOne cancels the first handshake in the random order of the map. The mutex must be
// held.
func (h *handshakes) cancelOne() {
	for cancel := range h.inProgress {
		delete(h.inProgress, cancel)
		(*cancel)(errTooManyHandshakes)
		return
	}
}
