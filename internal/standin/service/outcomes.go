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
	// present counts the requests with the key that are here and not ended.
	present int
	answer  *wire.OutcomeReply
	changed chan struct{}
	// run is held by the request that runs, where the service deduplicates.
	run sync.Mutex
}

func newOutcomes() *outcomes {
	return &outcomes{keys: make(map[string]*keyState)}
}

// arrive notes that a request with the key is here.
func (o *outcomes) arrive(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state(key).present++
}

// leave notes that a request with the key ended.
func (o *outcomes) leave(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(key)
	state.present--
	close(state.changed)
	state.changed = make(chan struct{})
	if state.present == 0 && state.answer == nil {
		delete(o.keys, key)
	}
}

// lockKey waits until no other request with the key runs. The caller must have
// arrived.
func (o *outcomes) lockKey(key string) (unlock func()) {
	o.mu.Lock()
	state := o.state(key)
	o.mu.Unlock()
	state.run.Lock()
	return state.run.Unlock
}

func (o *outcomes) store(key string, answer wire.OutcomeReply) {
	if key == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state(key)
	if state.answer == nil {
		state.answer = &answer
	}
}

// ask returns the answer of a key, or nil if no request with it ran. It waits
// for requests that are here. The error is that of the context.
func (o *outcomes) ask(ctx context.Context, key string) (*wire.OutcomeReply, error) {
	for {
		answer, changed := o.look(key)
		if answer != nil || changed == nil {
			return answer, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// look returns the answer of a key, or else a channel that is closed at the
// next end of a request with the key, or neither if no such request is here.
func (o *outcomes) look(key string) (*wire.OutcomeReply, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state, ok := o.keys[key]
	switch {
	case !ok:
		return nil, nil
	case state.answer != nil:
		return state.answer, nil
	case state.present > 0:
		return nil, state.changed
	default:
		return nil, nil
	}
}

func (o *outcomes) state(key string) *keyState {
	known, ok := o.keys[key]
	if !ok {
		known = &keyState{changed: make(chan struct{})}
		o.keys[key] = known
	}
	return known
}
