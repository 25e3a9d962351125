package engine

import (
	"math/rand/v2"
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// eventPageSize is the maximum number of events of a page.
	eventPageSize = 1000
	// maxRetainedEvents is the number of events retained for readers. Readers
	// that fall further behind see a gap.
	maxRetainedEvents = 100_000
)

// eventLog delays cache events, drops some and duplicates some.
type eventLog struct {
	lag       time.Duration
	gap       float64
	duplicate float64
	random    *rand.Rand
	events    []delayedEvent
}

type delayedEvent struct {
	event      wire.CacheEvent
	visibleAt  time.Time
	lost       bool
	duplicated bool
}

func newEventLog(settings Settings) *eventLog {
	const stream = 1
	return &eventLog{
		lag:       settings.CacheLag,
		gap:       settings.CacheGap,
		duplicate: settings.CacheDuplicate,
		random:    rand.New(rand.NewPCG(settings.Seed, stream)),
	}
}

func (l *eventLog) add(now time.Time, events []wire.CacheEvent) {
	for _, event := range events {
		l.events = append(l.events, delayedEvent{
			event:      event,
			visibleAt:  now.Add(l.lag),
			lost:       l.random.Float64() < l.gap,
			duplicated: l.random.Float64() < l.duplicate,
		})
	}
	if excess := len(l.events) - maxRetainedEvents; excess > 0 {
		l.events = l.events[excess:]
	}
}

// page returns the events from a sequence number on that are visible by now.
func (l *eventLog) page(now time.Time, from uint64) wire.CacheEvents {
	page := wire.CacheEvents{Events: []wire.CacheEvent{}, Next: from}
	for _, delayed := range l.from(from) {
		if delayed.visibleAt.After(now) || len(page.Events) >= eventPageSize {
			break
		}
		page.Next = delayed.event.Sequence + 1
		if delayed.lost {
			continue
		}
		page.Events = append(page.Events, delayed.event)
		if delayed.duplicated {
			page.Events = append(page.Events, delayed.event)
		}
	}
	return page
}

// from returns the retained events from a sequence number on. Sequence numbers
// are consecutive here.
func (l *eventLog) from(sequence uint64) []delayedEvent {
	if len(l.events) == 0 {
		return nil
	}
	first := l.events[0].event.Sequence
	if sequence <= first {
		return l.events
	}
	skip := min(sequence-first, uint64(len(l.events)))
	return l.events[skip:]
}
