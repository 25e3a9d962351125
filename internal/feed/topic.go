// Package feed keeps copies of keyed topics of the platform's store: the newest record of
// each key. Records come from the store or from other instances, in any order. A record
// is applied only if its offset is higher than that of the known record of its key.
package feed

import (
	"bytes"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// entry is the newest known record of a key.
type entry struct {
	platform.Record
	// firstOffset is the offset of the first of the latest consecutive records with
	// equivalent content.
	firstOffset int64
}

// Topic holds the newest known record of each key of a topic. It is safe for concurrent
// use.
type Topic struct {
	Name string
	// apply is called with each change in order, while mu is held.
	apply func(platform.Record)
	// equivalent reports whether two values of a key have the same meaning; nil to apply
	// all newer records.
	equivalent func(a, b []byte) bool
	// OnConfirm, if set before the topic is followed, is called with the times given to
	// Confirm that are later than those before, while mu is held.
	OnConfirm func(at time.Time)

	mu     sync.Mutex
	newest map[string]entry
	loaded bool
	// nextOffset is the offset to read from next; newest contains the effect of all
	// records before it.
	nextOffset int64
	// floor is the offset from which on all dropped keys are in newest. A read of the
	// whole topic does not return keys that were dropped before.
	floor int64
	// lastChanged is the highest firstOffset.
	lastChanged int64
	// confirmedAt is when the copy was last known to be current, followedSince since when
	// that has been so every MaxUnfollowed.
	confirmedAt   time.Time
	followedSince time.Time
	// updated is closed and replaced when the content changes or is confirmed.
	updated chan struct{}
	cache   copyCache
}

// NewTopic returns an empty copy of a topic. The function apply is called with each
// record that becomes the newest of its key; an empty value means that the key is
// dropped.
func NewTopic(name string, apply func(platform.Record)) *Topic {
	return &Topic{
		Name: name, apply: apply, newest: make(map[string]entry), lastChanged: -1, updated: make(chan struct{}),
	}
}

// NewHeartbeatTopic is NewTopic for a topic whose writers repeat their records. A record
// that is equivalent to the previous one of its key is neither applied nor passed on to
// other instances.
func NewHeartbeatTopic(name string, equivalent func(a, b []byte) bool, apply func(platform.Record)) *Topic {
	t := NewTopic(name, apply)
	t.equivalent = equivalent
	return t
}

// Merge applies the records that are newer than the known ones. It returns the number of
// records that changed the content.
func (t *Topic) Merge(records []platform.Record) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	merged := t.merge(records)
	if merged > 0 {
		t.notify()
	}
	return merged
}

func (t *Topic) merge(records []platform.Record) int {
	merged := 0
	for _, r := range records {
		previous, ok := t.newest[r.Key]
		if ok && previous.Offset >= r.Offset {
			continue
		}
		if ok && t.isHeartbeat(previous.Value, r.Value) {
			previous.Offset = r.Offset
			t.newest[r.Key] = previous
			continue
		}
		// The value may share memory with the whole response.
		r.Value = bytes.Clone(r.Value)
		t.newest[r.Key] = entry{Record: r, firstOffset: r.Offset}
		t.lastChanged = max(t.lastChanged, r.Offset)
		merged++
		t.apply(r)
	}
	return merged
}

func (t *Topic) isHeartbeat(previous, value []byte) bool {
	return t.equivalent != nil && len(previous) > 0 && len(value) > 0 && t.equivalent(previous, value)
}

// notify wakes those who wait for an update. t.mu is held.
func (t *Topic) notify() {
	close(t.updated)
	t.updated = make(chan struct{})
}

// Updated returns a channel that is closed when the content next changes or is confirmed.
func (t *Topic) Updated() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.updated
}

// Replace replaces the content with the whole topic as read from the store: keys that are
// missing in the list and not newer than it are dropped.
func (t *Topic) Replace(list platform.Newest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replace(list)
	t.notify()
}

func (t *Topic) replace(list platform.Newest) int {
	present := make(map[string]bool, len(list.Records))
	for _, r := range list.Records {
		present[r.Key] = true
	}
	merged := 0
	for key, previous := range t.newest {
		if present[key] || previous.Offset >= list.End || len(previous.Value) == 0 {
			continue
		}
		// Receivers that have read up to the end of the list still have to receive the
		// drop.
		dropped := platform.Record{Key: key, Offset: list.End - 1}
		t.newest[key] = entry{Record: dropped, firstOffset: dropped.Offset}
		t.lastChanged = max(t.lastChanged, dropped.Offset)
		merged++
		t.apply(dropped)
	}
	merged += t.merge(list.Records)
	if !t.loaded {
		t.loaded, t.floor = true, list.End
	}
	t.nextOffset = max(t.nextOffset, list.End)
	return merged
}

// advance merges the records of a read that began at or before NextOffset, and moves
// NextOffset on.
func (t *Topic) advance(records []platform.Record, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	merged := t.merge(records)
	t.nextOffset = max(t.nextOffset, next)
	if merged > 0 {
		t.notify()
	}
}

// Loaded reports whether the whole topic was read at least once, from the store or from
// another instance.
func (t *Topic) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// NextOffset is the offset to read from next.
func (t *Topic) NextOffset() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextOffset
}

// LastChanged returns the highest offset at which the content of a key changed, -1 while
// nothing is known.
func (t *Topic) LastChanged() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastChanged
}

// Confirm records that the copy contained all records that the store held at the given
// time.
func (t *Topic) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(at)
}

func (t *Topic) confirm(at time.Time) {
	if !at.After(t.confirmedAt) {
		return
	}
	if at.Sub(t.confirmedAt) > MaxUnfollowed {
		t.followedSince = at
	}
	t.confirmedAt = at
	if t.OnConfirm != nil {
		t.OnConfirm(at)
	}
	t.notify()
}

// MaxUnfollowed is the time between two confirmations after which the copy may have missed
// changes: a copy of another instance does not contain what was replaced meanwhile.
const MaxUnfollowed = 3 * time.Second

// FollowedSince returns since when the copy has followed the topic without a gap. It may
// have missed changes before, and after the time that Age tells.
func (t *Topic) FollowedSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.followedSince
}

// maxAge is the age of a copy that was never confirmed, and the upper bound of all ages.
const maxAge = 24 * time.Hour

// Age returns the time since the copy was last known to be current.
func (t *Topic) Age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.age(now)
}

func (t *Topic) age(now time.Time) time.Duration {
	if t.confirmedAt.IsZero() {
		return maxAge
	}
	return min(now.Sub(t.confirmedAt), maxAge)
}
