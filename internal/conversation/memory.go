package conversation

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// entry is a turn in memory and the partitions that hold it.
type entry struct {
	structs.StoredTurn
	// partitions rarely has more than one element.
	partitions []int
	// expires is when neither the turn nor any known continuation of it can be
	// referenced any more.
	expires time.Time
}

// memory holds the turns known to this instance. All of them are in the store.
// It does no I/O and is guarded by Manager.mu.
type memory struct {
	turns map[string]*entry
	// bytes is the total size of inputs and outputs.
	bytes int
}

func newMemory() memory { return memory{turns: make(map[string]*entry)} }

// add adds a turn that a partition holds.
func (m *memory) add(turn structs.StoredTurn, partition int, now time.Time) {
	e, ok := m.turns[turn.ID]
	if !ok {
		e = &entry{StoredTurn: turn, expires: expiry(turn, now)}
		m.turns[turn.ID] = e
		m.bytes += len(turn.Input) + len(turn.Output)
	}
	if !slices.Contains(e.partitions, partition) {
		e.partitions = append(e.partitions, partition)
	}
}

// expiry returns when a turn expires if none continues it. An end time in the
// future, from an instance whose clock is ahead, counts as now.
func expiry(turn structs.StoredTurn, now time.Time) time.Time {
	ended := time.UnixMilli(turn.Ended)
	if ended.After(now) {
		ended = now
	}
	return ended.Add(turn.Retention)
}

// referenceMargin is how long after its retention a turn may still be
// referenced, to allow for clock differences. It is well below dropMargin, so
// that a turn accepted in time is stored before its predecessors are dropped.
const referenceMargin = 15 * time.Second

// find returns a turn that can still be referenced, or nil.
func (m *memory) find(id string, now time.Time) *entry {
	e := m.turns[id]
	if e == nil || now.Sub(e.expires) <= referenceMargin {
		return e
	}
	// Continuations may have been added since expires was computed.
	m.extendExpiry()
	if now.Sub(e.expires) > referenceMargin {
		return nil
	}
	return e
}

// liveChain is chain restricted to turns that can still be referenced.
func (m *memory) liveChain(id string, now time.Time) ([]*entry, bool) {
	if m.find(id, now) == nil {
		return nil, false
	}
	return m.chain(id)
}

// chain returns a turn and its predecessors, oldest first. It returns false if
// one of them is missing or they form a cycle.
func (m *memory) chain(id string) ([]*entry, bool) {
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

// storedIn reports whether a partition is known to hold the turn.
func (e *entry) storedIn(partition int) bool { return slices.Contains(e.partitions, partition) }

// extendExpiry extends the expiry of each turn to that of its latest
// continuation.
func (m *memory) extendExpiry() {
	for _, e := range m.turns {
		for before := m.turns[e.Previous]; before != nil && before.expires.Before(e.expires); before = m.turns[before.Previous] {
			before.expires = e.expires
		}
	}
}

// expired lists the turns that expired more than margin ago.
func (m *memory) expired(now time.Time, margin time.Duration) []*entry {
	m.extendExpiry()
	var out []*entry
	for _, e := range m.turns {
		if now.Sub(e.expires) > margin {
			out = append(out, e)
		}
	}
	return out
}

// drop removes a turn.
func (m *memory) drop(id string) {
	e, ok := m.turns[id]
	if !ok {
		return
	}
	m.bytes -= len(e.Input) + len(e.Output)
	delete(m.turns, id)
}
