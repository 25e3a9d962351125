package service

import (
	"context"
	"sync"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// outcomes stores the first response of each idempotency key, except the empty
// key. It is safe for concurrent use.
type outcomes struct {
	mu   sync.Mutex
	keys map[string]*keyState
}

type keyState struct {
	// pending counts the requests with the key that are in progress.
	pending  int
	response *wire.OutcomeReply
	changed  chan struct{}
	// run is held while a request with the key runs, if the service
	// deduplicates.
	run sync.Mutex
}

func newOutcomes() *outcomes {
	return &outcomes{keys: make(map[string]*keyState)}
}

// begin registers a request with the key as in progress.
func (o *outcomes) begin(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyState(key).pending++
}

// end unregisters a request with the key.
func (o *outcomes) end(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.keyState(key)
	state.pending--
	close(state.changed)
	state.changed = make(chan struct{})
	if state.pending == 0 && state.response == nil {
		delete(o.keys, key)
	}
}

// lockKey waits until no other request with the key runs. The caller must have
// called begin.
func (o *outcomes) lockKey(key string) (unlock func()) {
	o.mu.Lock()
	state := o.keyState(key)
	o.mu.Unlock()
	state.run.Lock()
	return state.run.Unlock
}

func (o *outcomes) store(key string, response wire.OutcomeReply) {
	if key == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.keyState(key)
	if state.response == nil {
		state.response = &response
	}
}

// wait returns the response of a key, or nil if no request with it ran. It
// waits while such requests are in progress. It fails only with the error of
// the context.
func (o *outcomes) wait(ctx context.Context, key string) (*wire.OutcomeReply, error) {
	for {
		response, changed := o.get(key)
		if response != nil || changed == nil {
			return response, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// get returns the response of a key. If there is none but a request with the
// key is in progress, it returns a channel that is closed when the next such
// request ends.
func (o *outcomes) get(key string) (*wire.OutcomeReply, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state, ok := o.keys[key]
	switch {
	case !ok:
		return nil, nil
	case state.response != nil:
		return state.response, nil
	case state.pending > 0:
		return nil, state.changed
	default:
		return nil, nil
	}
}

func (o *outcomes) keyState(key string) *keyState {
	known, ok := o.keys[key]
	if !ok {
		known = &keyState{changed: make(chan struct{})}
		o.keys[key] = known
	}
	return known
}
