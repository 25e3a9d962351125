package settings

import (
	"github.com/cockroachdb/errors"
)

// snapshot is the whole state of a tree, with records applied up to Next.
type snapshot struct {
	Next     uint64             `codec:"n"`
	Entries  map[string]*entry  `codec:"e,omitempty"`
	Order    []string           `codec:"q,omitempty"`
	Outcomes map[string]Outcome `codec:"r,omitempty"`
	Skipped  uint64             `codec:"g,omitempty"`
}

// check checks the limits of a snapshot from the log or a peer.
func (s *snapshot) check() error {
	if len(s.Entries) > MaxPaths || len(s.Order) > maxOutcomes || len(s.Outcomes) != len(s.Order) {
		return errors.Wrap(ErrRecord, "snapshot too large")
	}
	for path, e := range s.Entries {
		if checkPath(path) != nil || e == nil || len(e.Value) > MaxValueBytes ||
			len(e.History) > HistoryLength || e.Version > s.Next {
			return errors.Wrap(ErrRecord, "malformed snapshot entry")
		}
	}
	for _, id := range s.Order {
		if _, ok := s.Outcomes[id]; !ok {
			return errors.Wrap(ErrRecord, "malformed snapshot outcomes")
		}
	}
	return nil
}

// Snapshot returns the whole state as a record of the settings stream.
func (t *Tree) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for history := HistoryLength; ; history /= 2 {
		data, err := encodeRecord(record{Snapshot: t.snapshot(history)})
		if err != nil || len(data) <= maxSnapshotBytes || history == 0 {
			return data, err
		}
	}
}

// snapshot returns the state with the last history entries of each path.
func (t *Tree) snapshot(history int) *snapshot {
	s := &snapshot{Next: t.next, Order: t.outcomeOrder, Outcomes: t.outcomes, Skipped: t.skipped,
		Entries: make(map[string]*entry, len(t.entries))}
	for path, e := range t.entries {
		shortened := *e
		shortened.History = e.History[max(0, len(e.History)-history):]
		s.Entries[path] = &shortened
	}
	return s
}

// Restore replaces the tree's state by that of a snapshot if it is newer, and reports
// whether it did.
func (t *Tree) Restore(data []byte) (bool, error) {
	r, err := decodeRecord(data)
	if err != nil {
		return false, err
	}
	if r.Snapshot == nil {
		return false, errors.Wrap(ErrRecord, "not a snapshot")
	}
	return t.restore(r.Snapshot), nil
}

func (t *Tree) restore(s *snapshot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Next <= t.next {
		return false
	}
	t.next, t.skipped = s.Next, s.Skipped
	t.entries = make(map[string]*entry, len(s.Entries))
	t.size = 0
	for path, e := range s.Entries {
		t.entries[path] = e
		t.size += len(path) + len(e.Value)
	}
	t.outcomeOrder = s.Order
	t.outcomes = make(map[string]Outcome, len(s.Outcomes))
	for id, outcome := range s.Outcomes {
		t.outcomes[id] = outcome
	}
	t.view = nil
	return true
}
