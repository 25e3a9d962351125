// Package feed keeps copies of keyed topics of the platform's store: the newest
// record of each key, ordered by offset. Records come from the store or from other
// instances; the offset decides which is newer, so that nothing known ever gets
// older.
package feed

import (
	"bytes"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// held is the newest known record of a key.
type held struct {
	platform.Record
	// since is the offset of the first record in a row with this content.
	since int64
}

// Topic is the newest known record of each key of a topic. It is safe for
// concurrent use.
type Topic struct {
	Name string
	// apply is told each change in order, under the mutex.
	apply func(platform.Record)
	// same tells whether two values of a key mean the same; nil if only equal ones do.
	same func(a, b []byte) bool

	mu     sync.Mutex
	newest map[string]held
	known  bool
	// next is the offset to read on from: what all records before it say is in newest.
	next int64
	// floor is the offset from which on all dropped keys are in newest: a first read
	// of the whole topic does not tell what was dropped before.
	floor int64
	// changed is the highest offset at which a content began.
	changed int64
	// confirmed is when the copy was last known to be the newest.
	confirmed time.Time
	// moved is closed and replaced when the content changes or is confirmed.
	moved chan struct{}
	packs packs
}

// NewTopic makes an empty copy. The function apply is told each record that
// becomes the newest of its key; an empty value means that the key is dropped.
func NewTopic(name string, apply func(platform.Record)) *Topic {
	return &Topic{
		Name: name, apply: apply, newest: make(map[string]held), changed: -1, moved: make(chan struct{}),
	}
}

// NewHeartbeatTopic is NewTopic for a topic whose writers repeat their records: one
// that means the same as the one before is neither applied nor passed on, so that
// heartbeats cost the readers of copies nothing.
func NewHeartbeatTopic(name string, same func(a, b []byte) bool, apply func(platform.Record)) *Topic {
	t := NewTopic(name, apply)
	t.same = same
	return t
}

// Merge takes records that are newer than those known. It returns how many
// changed something.
func (t *Topic) Merge(records []platform.Record) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.merge(records)
	if taken > 0 {
		t.move()
	}
	return taken
}

func (t *Topic) merge(records []platform.Record) int {
	taken := 0
	for _, r := range records {
		old, ok := t.newest[r.Key]
		if ok && old.Offset >= r.Offset {
			continue
		}
		if ok && t.repeats(old.Value, r.Value) {
			old.Offset = r.Offset
			t.newest[r.Key] = old
			continue
		}
		// A value may share the memory of the whole reply that it came in.
		r.Value = bytes.Clone(r.Value)
		t.newest[r.Key] = held{Record: r, since: r.Offset}
		t.changed = max(t.changed, r.Offset)
		taken++
		t.apply(r)
	}
	return taken
}

func (t *Topic) repeats(old, value []byte) bool {
	return t.same != nil && len(old) > 0 && len(value) > 0 && t.same(old, value)
}

// move wakes those who wait for a change. The mutex is held.
func (t *Topic) move() {
	close(t.moved)
	t.moved = make(chan struct{})
}

// Updated is closed when the content next changes or is confirmed.
func (t *Topic) Updated() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.moved
}

// Replace takes the whole content of the topic as read from the store: keys
// that are missing and not newer than the list were dropped.
func (t *Topic) Replace(list platform.Newest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replace(list)
	t.move()
}

func (t *Topic) replace(list platform.Newest) int {
	present := make(map[string]bool, len(list.Records))
	for _, r := range list.Records {
		present[r.Key] = true
	}
	taken := 0
	for key, old := range t.newest {
		if present[key] || old.Offset >= list.End || len(old.Value) == 0 {
			continue
		}
		// Who has read up to the end of the list has to be told of the drop.
		dropped := platform.Record{Key: key, Offset: list.End - 1}
		t.newest[key] = held{Record: dropped, since: dropped.Offset}
		t.changed = max(t.changed, dropped.Offset)
		taken++
		t.apply(dropped)
	}
	taken += t.merge(list.Records)
	if !t.known {
		t.known, t.floor = true, list.End
	}
	t.next = max(t.next, list.End)
	return taken
}

// advance takes the records of a read that began at or before Next, and the offset
// to read on from.
func (t *Topic) advance(records []platform.Record, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.merge(records)
	t.next = max(t.next, next)
	if taken > 0 {
		t.move()
	}
}

// Loaded tells whether the whole content was read at least once, or taken from
// another instance.
func (t *Topic) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// NextOffset is the offset to read on from.
func (t *Topic) NextOffset() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// LastChanged is the highest offset at which a content began, -1 while nothing is known.
func (t *Topic) LastChanged() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Confirm tells that the copy held all records that the store had at a time.
func (t *Topic) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(at)
}

func (t *Topic) confirm(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
		t.move()
	}
}

// neverConfirmed is the age of a copy that was never confirmed.
const neverConfirmed = 24 * time.Hour

// Age is the time since the copy was last known to be the newest.
func (t *Topic) Age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age(now)
}

func (t *Topic) age(now time.Time) time.Duration {
	if t.confirmed.IsZero() {
		return neverConfirmed
	}
	return min(now.Sub(t.confirmed), neverConfirmed)
}
