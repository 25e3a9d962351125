// Package eventsink posts the events of adapters to the event loop of the
// instance. If the loop's bounded queue is full, an event that must not be lost
// blocks its producer, and any other event is dropped and counted.
package eventsink

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Bounds of the backoff between attempts to post to a full queue.
const (
	minBackoff = time.Millisecond
	maxBackoff = 20 * time.Millisecond
)

// Sink posts events to the event loop. It is safe for concurrent use.
type Sink struct {
	post    func(structs.Event) bool
	dropped tally.Counter
	waited  tally.Counter
}

// New returns a Sink. The post function must add an event to the loop's queue
// without blocking, and return false if the queue is full or the loop has
// stopped.
func New(post func(structs.Event) bool, scope tally.Scope) *Sink {
	return &Sink{
		post:    post,
		dropped: scope.Counter("events_dropped"),
		waited:  scope.Counter("events_waited"),
	}
}

// Deliver posts an event that must not be lost. It blocks while the queue is
// full, and returns false only if the context ends first.
func (s *Sink) Deliver(ctx context.Context, event structs.Event) bool {
	if ctx.Err() != nil {
		return false
	}
	if s.post(event) {
		return true
	}
	s.waited.Inc(1)
	return s.deliverWithBackoff(ctx, event)
}

func (s *Sink) deliverWithBackoff(ctx context.Context, event structs.Event) bool {
	backoff := minBackoff
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
		if s.post(event) {
			return true
		}
		backoff = min(2*backoff, maxBackoff)
		timer.Reset(backoff)
	}
}

// Offer posts an event that may be dropped. It never blocks, and reports whether
// the event was posted.
func (s *Sink) Offer(event structs.Event) bool {
	if s.post(event) {
		return true
	}
	s.dropped.Inc(1)
	return false
}
