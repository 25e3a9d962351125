package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// HistoryEntry is a past change of a path, as stored in the tree.
type HistoryEntry struct {
	Version uint64 `codec:"n"`
	Author  string `codec:"a,omitempty"`
	// TimeMS is the author's wall clock in Unix milliseconds.
	TimeMS int64 `codec:"t,omitempty"`
	// Value is JSON; empty for a removal.
	Value []byte `codec:"v,omitempty"`
}

func (e *entry) addHistory(change HistoryEntry) {
	e.History = append(e.History, change)
	if len(e.History) > HistoryLength {
		e.History = slices.Clone(e.History[len(e.History)-HistoryLength:])
	}
}

// ValueDigest returns a short digest of a value's canonical JSON. Clients use it to
// compare a value of a file with one that is redacted.
func ValueDigest(value []byte) string {
	const digestBytes = 8
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:digestBytes])
}
