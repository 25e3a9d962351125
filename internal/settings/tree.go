package settings

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Tree is the state of the settings, applied up to an offset of the settings stream.
// It implements structs.Settings. Only one goroutine may change it; any may read it.
type Tree struct {
	mu      sync.RWMutex
	next    uint64
	entries map[string]*entry
	size    int
	// outcomes holds the outcomes of the last maxOutcomes change ids; outcomeOrder
	// lists these from oldest to newest.
	outcomes     map[string]Outcome
	outcomeOrder []string
	skipped      uint64
	view         *view
}

var _ structs.Settings = (*Tree)(nil)

// entry is one path of the tree. A removed path keeps its version, so that a change
// based on an older version is still rejected.
type entry struct {
	Version uint64         `codec:"n"`
	Value   []byte         `codec:"v,omitempty"`
	Author  string         `codec:"a,omitempty"`
	TimeMS  int64          `codec:"t,omitempty"`
	History []HistoryEntry `codec:"h,omitempty"`
}

func (e *entry) valueOrNil() []byte {
	if e == nil {
		return nil
	}
	return e.Value
}

func (e *entry) versionOrZero() uint64 {
	if e == nil {
		return 0
	}
	return e.Version
}

// Outcome is the result of a record that the tree has applied.
type Outcome struct {
	Accepted bool `codec:"k,omitempty"`
	// TooLarge: the record would have exceeded the limits of the tree.
	TooLarge bool `codec:"z,omitempty"`
	// Offset is the record's offset on the log.
	Offset uint64 `codec:"o"`
	// For a rejected record, Path is the conflicting path, Version its current version
	// and Winner the author of that. For an accepted record, they are the first path,
	// the new version and the record's author.
	Path    string `codec:"p"`
	Version uint64 `codec:"n"`
	Winner  string `codec:"w,omitempty"`
	// Digest is the digest of the record's changes.
	Digest uint64 `codec:"d"`
}

// NewTree returns an empty tree that expects offset 0.
func NewTree() *Tree {
	return &Tree{entries: make(map[string]*entry), outcomes: make(map[string]Outcome)}
}

// Next returns the offset of the next record to apply.
func (t *Tree) Next() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.next
}

// Skipped returns the number of records that could not be decoded or exceeded a limit.
func (t *Tree) Skipped() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.skipped
}

// Outcome returns the result of the record with a change id, false if the tree has
// applied none recently.
func (t *Tree) Outcome(changeID string) (Outcome, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	outcome, ok := t.outcomes[changeID]
	return outcome, ok
}

// Version returns the version of a path, 0 if it never had a value.
func (t *Tree) Version(path string) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.entries[path].versionOrZero()
}

// Apply applies the record at an offset. Offsets below Next are ignored as already
// applied; the caller must not skip offsets. A record that cannot be decoded is
// counted and skipped. A snapshot has no effect, since the tree has already applied
// its content.
func (t *Tree) Apply(offset uint64, data []byte) {
	r, err := decodeRecord(data)
	t.applyRecord(offset, r, err)
}

// applyRecord applies a decoded record. A non-nil err means that it could not be
// decoded.
func (t *Tree) applyRecord(offset uint64, r record, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset < t.next {
		return
	}
	t.next = offset + 1
	if err != nil {
		t.skipped++
		return
	}
	if r.Snapshot == nil {
		t.applyChanges(offset, r.Changes)
	}
}

// applyChanges applies all changes of a record or none.
func (t *Tree) applyChanges(offset uint64, changes []recordChange) {
	outcome := t.evaluate(offset, changes)
	t.recordOutcome(changes, outcome)
	if !outcome.Accepted {
		return
	}
	for _, change := range changes {
		t.applyChange(offset, change)
	}
	t.view = nil
}

// evaluate decides whether a record takes effect.
func (t *Tree) evaluate(offset uint64, changes []recordChange) Outcome {
	digest := changesDigest(changes)
	for _, change := range changes {
		_, seen := t.outcomes[change.ChangeID]
		if seen || t.entries[change.Path].versionOrZero() != change.Base {
			return t.conflictOutcome(offset, change.Path, digest)
		}
	}
	paths, size := t.sizeAfter(settingChanges(changes))
	if paths > MaxPaths || size > MaxTreeBytes {
		t.skipped++
		return Outcome{TooLarge: true, Offset: offset, Path: changes[0].Path, Digest: digest}
	}
	first := changes[0]
	return Outcome{Accepted: true, Offset: offset, Path: first.Path, Version: offset + 1,
		Winner: first.Author, Digest: digest}
}

// conflictOutcome returns the outcome of a record that conflicts with the current
// version of a path.
func (t *Tree) conflictOutcome(offset uint64, path string, digest uint64) Outcome {
	outcome := Outcome{Offset: offset, Path: path, Digest: digest}
	if current := t.entries[path]; current != nil {
		outcome.Version, outcome.Winner = current.Version, current.Author
	}
	return outcome
}

func (t *Tree) applyChange(offset uint64, change recordChange) {
	e := t.entries[change.Path]
	if e == nil {
		e = new(entry)
		t.entries[change.Path] = e
		t.size += len(change.Path)
	}
	t.size += len(change.Value) - len(e.Value)
	e.Version, e.Value = offset+1, change.Value
	e.Author, e.TimeMS = change.Author, change.TimeMS
	e.addHistory(HistoryEntry{Version: e.Version, Author: e.Author, TimeMS: e.TimeMS, Value: e.Value})
}

// recordOutcome stores the outcome under each change id of the record. Later
// outcomes of the same id are ignored.
func (t *Tree) recordOutcome(changes []recordChange, outcome Outcome) {
	for _, change := range changes {
		if _, seen := t.outcomes[change.ChangeID]; seen {
			continue
		}
		t.outcomes[change.ChangeID] = outcome
		t.outcomeOrder = append(t.outcomeOrder, change.ChangeID)
	}
	for len(t.outcomeOrder) > maxOutcomes {
		delete(t.outcomes, t.outcomeOrder[0])
		t.outcomeOrder = t.outcomeOrder[1:]
	}
}

// sizeAfter returns the number of paths and the total bytes after changes.
func (t *Tree) sizeAfter(changes []structs.SettingChange) (paths, size int) {
	paths, size = len(t.entries), t.size
	for _, change := range changes {
		current := t.entries[change.Path]
		if current == nil {
			paths++
			size += len(change.Path)
		}
		size += len(change.Value) - len(current.valueOrNil())
	}
	return paths, size
}

func settingChanges(changes []recordChange) []structs.SettingChange {
	list := make([]structs.SettingChange, len(changes))
	for i, c := range changes {
		list[i] = structs.SettingChange{Path: c.Path, Base: c.Base, Value: c.Value, ChangeID: c.ChangeID, Author: c.Author}
	}
	return list
}

// changesDigest distinguishes records that reuse a change id.
func changesDigest(changes []recordChange) uint64 {
	digest := xxhash.New()
	for _, change := range changes {
		_, _ = digest.WriteString(change.Path)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(change.Value)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
