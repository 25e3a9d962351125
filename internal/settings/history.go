package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// HistoryEntry is one past change of a path as the tree keeps it.
type HistoryEntry struct {
	Version uint64 `codec:"n"`
	Author  string `codec:"a,omitempty"`
	// TimeMS is the author's wall clock in Unix milliseconds.
	TimeMS int64 `codec:"t,omitempty"`
	// Value is JSON, empty for a removal.
	Value []byte `codec:"v,omitempty"`
}

func (e *entry) addHistory(change HistoryEntry) {
	e.History = append(e.History, change)
	if len(e.History) > HistoryLength {
		e.History = slices.Clone(e.History[len(e.History)-HistoryLength:])
	}
}

// ValueDigest is a short digest of a value's canonical JSON. It lets a client
// compare a value of a file with one whose secrets it is not shown.
func ValueDigest(value []byte) string {
	const digestBytes = 8
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:digestBytes])
}
