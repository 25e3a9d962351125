// Package feed keeps copies of keyed topics of the platform's store: the newest
// record of each key, ordered by offset. Records come from the store or, while
// it refuses this instance, from other instances; the offset decides which is
// newer, so that nothing known ever gets older.
package feed

import (
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// Topic is the newest known record of each key of a topic. It is safe for
// concurrent use.
type Topic struct {
	Name string
	// apply is told each change in order, under the mutex.
	apply func(platform.Record)

	mu      sync.Mutex
	newest  map[string]platform.Record
	known   bool
	changed int64
	// confirmed is when the copy was last known to be the newest.
	confirmed time.Time
}

// NewTopic makes an empty copy. The function apply is told each record that
// becomes the newest of its key; an empty value means that the key is dropped.
func NewTopic(name string, apply func(platform.Record)) *Topic {
	return &Topic{Name: name, apply: apply, newest: make(map[string]platform.Record)}
}

// Merge takes records that are newer than those known. It returns how many
// were.
func (t *Topic) Merge(records []platform.Record) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(records)
}

func (t *Topic) merge(records []platform.Record) int {
	taken := 0
	for _, r := range records {
		old, ok := t.newest[r.Key]
		if ok && old.Offset >= r.Offset {
			continue
		}
		t.newest[r.Key] = r
		t.changed = max(t.changed, r.Offset)
		taken++
		t.apply(r)
	}
	return taken
}

// Replace takes the whole content of the topic as read from the store: keys
// that are missing and not newer than the list were dropped.
func (t *Topic) Replace(list platform.Newest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(list.Records))
	for _, r := range list.Records {
		present[r.Key] = true
	}
	for key, old := range t.newest {
		if present[key] || old.Offset >= list.End || len(old.Value) == 0 {
			continue
		}
		dropped := platform.Record{Key: key, Offset: old.Offset}
		t.newest[key] = dropped
		t.apply(dropped)
	}
	t.merge(list.Records)
	t.known = true
}

// Known tells whether the whole content was read at least once, or records
// were taken from another instance.
func (t *Topic) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// Confirm tells that the copy held all records that the store had at a time.
func (t *Topic) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// neverConfirmed is the age of a copy that was never confirmed.
const neverConfirmed = 24 * time.Hour

// Age is the time since the copy was last known to be the newest.
func (t *Topic) Age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed.IsZero() {
		return neverConfirmed
	}
	return min(now.Sub(t.confirmed), neverConfirmed)
}

// MarkKnown tells that another instance's whole content was merged.
func (t *Topic) MarkKnown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = true
}

// Since lists the records with an offset above one, dropped keys among them,
// and the highest offset known.
func (t *Topic) Since(offset int64) ([]platform.Record, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []platform.Record
	for _, r := range t.newest {
		if r.Offset > offset {
			records = append(records, r)
		}
	}
	return records, t.changed
}
