package peer

import (
	"context"
	"sync"

	"github.com/banyanglade/banyanglade/internal/eventsink"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// liveness posts PeerUp and PeerDown events in order without blocking the
// callers of up and down. At most one PeerDown followed by one PeerUp is pending
// for each instance; a new PeerDown replaces both.
type liveness struct {
	sink *eventsink.Sink
	wake chan struct{}

	mu      sync.Mutex
	pending map[structs.InstanceID]pendingLiveness
}

type pendingLiveness struct{ down, up bool }

func newLiveness(sink *eventsink.Sink) *liveness {
	return &liveness{
		sink:    sink,
		wake:    make(chan struct{}, 1),
		pending: make(map[structs.InstanceID]pendingLiveness),
	}
}

func (l *liveness) down(id structs.InstanceID) {
	l.set(id, pendingLiveness{down: true})
}

func (l *liveness) up(id structs.InstanceID) {
	l.mu.Lock()
	next := pendingLiveness{down: l.pending[id].down, up: true}
	l.mu.Unlock()
	l.set(id, next)
}

func (l *liveness) set(id structs.InstanceID, next pendingLiveness) {
	l.mu.Lock()
	l.pending[id] = next
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run posts pending events until the context ends.
func (l *liveness) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for id, next := range l.takePending() {
			l.post(ctx, id, next)
		}
	}
}

func (l *liveness) takePending() map[structs.InstanceID]pendingLiveness {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.pending
	l.pending = make(map[structs.InstanceID]pendingLiveness)
	return taken
}

func (l *liveness) post(ctx context.Context, id structs.InstanceID, next pendingLiveness) {
	if next.down {
		l.sink.Deliver(ctx, structs.PeerDown{Peer: id})
	}
	if next.up {
		l.sink.Deliver(ctx, structs.PeerUp{Peer: id})
	}
}
