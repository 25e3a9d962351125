package engine

import (
	"math/rand/v2"
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// eventPageSize is the number of events of one page.
	eventPageSize = 1000
	// maxEventsKept is the number of events kept for readers; older ones are
	// a gap.
	maxEventsKept = 100_000
)

// eventLog shows cache events late, with some lost and some doubled.
type eventLog struct {
	lag       time.Duration
	gap       float64
	duplicate float64
	random    *rand.Rand
	events    []shownEvent
}

type shownEvent struct {
	event   wire.CacheEvent
	showAt  time.Time
	lost    bool
	doubled bool
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
		l.events = append(l.events, shownEvent{
			event:   event,
			showAt:  now.Add(l.lag),
			lost:    l.random.Float64() < l.gap,
			doubled: l.random.Float64() < l.duplicate,
		})
	}
	if excess := len(l.events) - maxEventsKept; excess > 0 {
		l.events = l.events[excess:]
	}
}

// page returns the events from a sequence number on that may be shown by now.
func (l *eventLog) page(now time.Time, from uint64) wire.CacheEvents {
	page := wire.CacheEvents{Events: []wire.CacheEvent{}, Next: from}
	for _, shown := range l.from(from) {
		if shown.showAt.After(now) || len(page.Events) >= eventPageSize {
			break
		}
		page.Next = shown.event.Sequence + 1
		if shown.lost {
			continue
		}
		page.Events = append(page.Events, shown.event)
		if shown.doubled {
			page.Events = append(page.Events, shown.event)
		}
	}
	return page
}

// from returns the kept events from a sequence number on. Sequence numbers
// have no gaps here.
func (l *eventLog) from(sequence uint64) []shownEvent {
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
