package conversation

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// entry is a turn that this instance has, and the partitions that hold it.
type entry struct {
	structs.StoredTurn
	// partitions is nearly always one.
	partitions []int
	// until is when the turn and all that continue it can no longer be named,
	// as far as this instance knows.
	until time.Time
}

// memory is the turns that this instance has. Every one of them is in the
// store. It is a value without I/O; the Keeper's mutex guards it.
type memory struct {
	turns map[string]*entry
	// bytes is the size of all inputs and outputs.
	bytes int
}

func newMemory() memory { return memory{turns: make(map[string]*entry)} }

// add takes a turn that a partition holds.
func (m *memory) add(turn structs.StoredTurn, partition int, now time.Time) {
	e, ok := m.turns[turn.ID]
	if !ok {
		e = &entry{StoredTurn: turn, until: expiry(turn, now)}
		m.turns[turn.ID] = e
		m.bytes += len(turn.Input) + len(turn.Output)
	}
	if !slices.Contains(e.partitions, partition) {
		e.partitions = append(e.partitions, partition)
	}
}

// expiry is when a turn can no longer be named if none continues it. The clock
// of the instance that ran it may differ from this one's, so a turn is never
// taken to have ended in the future.
func expiry(turn structs.StoredTurn, now time.Time) time.Time {
	ended := time.UnixMilli(turn.Ended)
	if ended.After(now) {
		ended = now
	}
	return ended.Add(turn.Retention)
}

// namedMargin is how long beyond its retention a turn may still be named:
// clocks of instances differ. It is well below dropMargin, so that a turn that
// begins in time is kept before what it continues is dropped.
const namedMargin = 15 * time.Second

// find is a turn that can still be named, nil if there is none.
func (m *memory) find(id string, now time.Time) *entry {
	e := m.turns[id]
	if e == nil || now.Sub(e.until) <= namedMargin {
		return e
	}
	// Turns that continue it may have come since it was added.
	m.extend()
	if now.Sub(e.until) > namedMargin {
		return nil
	}
	return e
}

// chain is line for a turn that can still be named.
func (m *memory) chain(id string, now time.Time) ([]*entry, bool) {
	if m.find(id, now) == nil {
		return nil, false
	}
	return m.line(id)
}

// line lists a turn and all before it, the oldest first. It returns false if any
// of them is missing, or if they form a cycle.
func (m *memory) line(id string) ([]*entry, bool) {
	var turns []*entry
	for id != "" {
		e, ok := m.turns[id]
		if !ok || len(turns) > len(m.turns) {
			return nil, false
		}
		turns = append(turns, e)
		id = e.Previous
	}
	slices.Reverse(turns)
	return turns, len(turns) > 0
}

// in tells whether a partition is known to hold the turn.
func (e *entry) in(partition int) bool { return slices.Contains(e.partitions, partition) }

// extend makes every turn outlast all that continue it.
func (m *memory) extend() {
	for _, e := range m.turns {
		for before := m.turns[e.Previous]; before != nil && before.until.Before(e.until); before = m.turns[before.Previous] {
			before.until = e.until
		}
	}
}

// expired lists the turns that could not be named for a time.
func (m *memory) expired(now time.Time, margin time.Duration) []*entry {
	m.extend()
	var out []*entry
	for _, e := range m.turns {
		if now.Sub(e.until) > margin {
			out = append(out, e)
		}
	}
	return out
}

// drop forgets a turn.
func (m *memory) drop(id string) {
	e, ok := m.turns[id]
	if !ok {
		return
	}
	m.bytes -= len(e.Input) + len(e.Output)
	delete(m.turns, id)
}
