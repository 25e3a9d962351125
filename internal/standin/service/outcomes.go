package service

import (
	"context"
	"sync"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// outcomes keeps the first answer of each idempotency key. An empty key is not
// kept. It is safe for concurrent use.
type outcomes struct {
	mu   sync.Mutex
	keys map[string]*keyState
}

type keyState struct {
	// pending counts the requests with the key that are here and not ended.
	pending  int
	response *wire.OutcomeReply
	changed  chan struct{}
	// run is held by the request that runs, where the service deduplicates.
	run sync.Mutex
}

func newOutcomes() *outcomes {
	return &outcomes{keys: make(map[string]*keyState)}
}

// begin notes that a request with the key is here.
func (o *outcomes) begin(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyState(key).pending++
}

// end notes that a request with the key ended.
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
// arrived.
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

// wait returns the answer of a key, or nil if no request with it ran. It waits
// for requests that are here. The error is that of the context.
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

// get returns the answer of a key, or else a channel that is closed at the
// next end of a request with the key, or neither if no such request is here.
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
