package settings

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Entry is one path of the tree as shown to operators.
type Entry struct {
	Path string `json:"path"`
	// Value is absent for a removed path. The hash of a credential is abbreviated.
	Value   json.RawMessage `json:"value,omitempty"`
	Version uint64          `json:"version"`
	Author  string          `json:"author"`
	// Time is the author's wall clock.
	Time time.Time `json:"time"`
	// Digest is ValueDigest of the whole value, for comparison with a file.
	Digest string `json:"digest,omitempty"`
	// Removed marks a path without a value. Its version is the base of the next
	// change.
	Removed bool `json:"removed,omitempty"`
}

// Listing is a part of the tree, with records applied up to offset Next.
type Listing struct {
	Next    uint64  `json:"next"`
	Entries []Entry `json:"entries"`
}

// PastChange is one change in the history of a path.
type PastChange struct {
	Path    string          `json:"path"`
	Version uint64          `json:"version"`
	Author  string          `json:"author"`
	Time    time.Time       `json:"time"`
	Value   json.RawMessage `json:"value,omitempty"`
	Removed bool            `json:"removed,omitempty"`
}

// HistoryListing is the retained changes of a part of the tree, newest first.
type HistoryListing struct {
	Next    uint64       `json:"next"`
	Changes []PastChange `json:"changes"`
}

// Get returns a path, even if removed; false if it never had a value.
func (t *Tree) Get(path string) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[path]
	if !ok {
		return Entry{}, false
	}
	return e.listing(path), true
}

// Listing returns a path and all paths below it, including removed ones, ordered by
// path; false if there are none. The empty path returns all and is always true.
func (t *Tree) Listing(path string) (Listing, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := Listing{Next: t.next, Entries: []Entry{}}
	for at, e := range t.entries {
		if within(path, at) {
			list.Entries = append(list.Entries, e.listing(at))
		}
	}
	slices.SortFunc(list.Entries, func(a, b Entry) int { return strings.Compare(a.Path, b.Path) })
	return list, path == "" || len(list.Entries) > 0
}

// HistoryListing returns the retained changes of a path and of all paths below it,
// newest first; false if there are none.
func (t *Tree) HistoryListing(path string) (HistoryListing, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := HistoryListing{Next: t.next, Changes: []PastChange{}}
	for at, e := range t.entries {
		if !within(path, at) {
			continue
		}
		for _, h := range e.History {
			list.Changes = append(list.Changes, h.listing(at))
		}
	}
	slices.SortFunc(list.Changes, func(a, b PastChange) int {
		if a.Version != b.Version {
			return compareNewestFirst(a.Version, b.Version)
		}
		return strings.Compare(a.Path, b.Path)
	})
	return list, path == "" || len(list.Changes) > 0
}

func compareNewestFirst(a, b uint64) int {
	if a > b {
		return -1
	}
	return 1
}

// within reports whether path is root or below it. The empty root contains every path.
func within(root, path string) bool {
	return root == "" || path == root || strings.HasPrefix(path, root+"/")
}

func (e *entry) listing(path string) Entry {
	shown := Entry{Path: path, Version: e.Version, Author: e.Author, Time: wallTime(e.TimeMS)}
	if len(e.Value) == 0 {
		shown.Removed = true
		return shown
	}
	shown.Value, shown.Digest = redact(path, e.Value), ValueDigest(e.Value)
	return shown
}

func (h HistoryEntry) listing(path string) PastChange {
	return PastChange{
		Path: path, Version: h.Version, Author: h.Author, Time: wallTime(h.TimeMS),
		Value: redact(path, h.Value), Removed: len(h.Value) == 0,
	}
}

func wallTime(milliseconds int64) time.Time { return time.UnixMilli(milliseconds).UTC() }

// redact returns a value as shown to operators. A value that is not JSON, which only a
// faulty program writes, is hidden so that the listing stays valid JSON.
func redact(path string, value []byte) json.RawMessage {
	if len(value) == 0 {
		return nil
	}
	loc, err := parsePath(path)
	if err == nil && loc.Credential != "" {
		return redactCredential(value)
	}
	if !json.Valid(value) {
		return json.RawMessage(hiddenValue)
	}
	return value
}
