package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// HistoryEntry is one past change of a path.
type HistoryEntry struct {
	Version uint64 `codec:"n"`
	Author  string `codec:"a,omitempty"`
	// TimeMS is the author's wall clock in Unix milliseconds.
	TimeMS int64 `codec:"t,omitempty"`
	// Value is JSON, empty for a removal.
	Value []byte `codec:"v,omitempty"`
}

// Time is the author's wall clock at the change.
func (h HistoryEntry) Time() time.Time { return time.UnixMilli(h.TimeMS).UTC() }

func (e *entry) addHistory(change HistoryEntry) {
	e.History = append(e.History, change)
	if len(e.History) > HistoryLength {
		e.History = slices.Clone(e.History[len(e.History)-HistoryLength:])
	}
}

// History gives the last changes of a path, newest first. Hashes of credentials
// are cut short. A tree restored from a large snapshot may know fewer.
func (t *Tree) History(path string) []HistoryEntry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[path]
	if !ok {
		return nil
	}
	list := slices.Clone(e.History)
	slices.Reverse(list)
	for i := range list {
		list[i].Value = redact(path, list[i].Value)
	}
	return list
}

// ValueDigest is a short digest of a value's canonical JSON. It lets a client
// compare a value of a file with one whose secrets it is not shown.
func ValueDigest(value []byte) string {
	const digestBytes = 8
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:digestBytes])
}
