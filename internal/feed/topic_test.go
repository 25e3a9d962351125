package feed

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanglade/banyanglade/platform"
)

func record(key, value string, offset int64) platform.Record {
	return platform.Record{Key: key, Value: []byte(value), Offset: offset}
}

// Records may arrive in any order: no record is applied after a newer one.
func TestOlderRecordsAreNotApplied(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("offsets grow", prop.ForAll(func(offsets []int64) bool {
		last, grows, highest := int64(-1), true, int64(-1)
		topic := NewTopic("t", func(r platform.Record) {
			grows = grows && r.Offset > last
			last = r.Offset
		})
		for _, offset := range offsets {
			topic.Merge([]platform.Record{record("k", "v", offset)})
			highest = max(highest, offset)
		}
		return grows && last == highest && topic.LastChanged() == highest
	}, gen.SliceOf(gen.Int64Range(0, 50))))
	properties.TestingRun(t)
}

func TestReplaceDropsWhatTheStoreNoLongerHolds(t *testing.T) {
	applied := map[string]string{}
	topic := NewTopic("t", func(r platform.Record) { applied[r.Key] = string(r.Value) })
	topic.Merge([]platform.Record{record("gone", "1", 1), record("kept", "2", 2), record("newer", "9", 9)})
	topic.Replace(platform.Newest{Records: []platform.Record{record("kept", "3", 5)}, End: 7})
	if applied["gone"] != "" || applied["kept"] != "3" || applied["newer"] != "9" {
		t.Errorf("got %v", applied)
	}
	if !topic.Loaded() {
		t.Error("the topic is not loaded after a read of the whole topic")
	}
}

func TestRecordsSinceIncludesDroppedKeys(t *testing.T) {
	topic := NewTopic("t", func(platform.Record) {})
	topic.Merge([]platform.Record{record("a", "1", 1), record("b", "2", 2), record("a", "", 3)})
	records := topic.recordsSince(3)
	if len(records) != 1 || records[0].Key != "a" || len(records[0].Value) != 0 || topic.LastChanged() != 3 {
		t.Errorf("got %+v, %d", records, topic.LastChanged())
	}
}

func TestAgeCountsFromLastConfirmation(t *testing.T) {
	topic := NewTopic("t", func(platform.Record) {})
	now := time.Now()
	if topic.Age(now) < time.Hour {
		t.Errorf("the age of a copy that was never confirmed is %s", topic.Age(now))
	}
	topic.Confirm(now.Add(-2 * time.Second))
	topic.Confirm(now.Add(-5 * time.Second))
	if age := topic.Age(now); age != 2*time.Second {
		t.Errorf("got %s", age)
	}
}

// sameFirstByte treats values with the same first byte as equivalent.
func sameFirstByte(a, b []byte) bool { return a[0] == b[0] }

// A record that is equivalent to the previous one is neither applied nor propagated,
// but its offset still decides which records count as newer.
func TestHeartbeatsAreNotPropagated(t *testing.T) {
	applied := 0
	topic := NewHeartbeatTopic("t", sameFirstByte, func(platform.Record) { applied++ })
	topic.Merge([]platform.Record{record("k", "a1", 1), record("k", "a2", 5), record("k", "a3", 9)})
	if applied != 1 || topic.LastChanged() != 1 {
		t.Errorf("applied %d times, last changed at %d", applied, topic.LastChanged())
	}
	if merged := topic.Merge([]platform.Record{record("k", "b1", 7)}); merged != 0 {
		t.Error("an older record was applied")
	}
	topic.Merge([]platform.Record{record("k", "b1", 11)})
	if applied != 2 || topic.LastChanged() != 11 {
		t.Errorf("applied %d times, last changed at %d", applied, topic.LastChanged())
	}
}

// Receivers that have read a copy up to its end are notified of keys that the sender
// finds dropped later.
func TestDropsFoundInTheWholeListArePropagated(t *testing.T) {
	source, receiver := NewTopic("t", func(platform.Record) {}), NewTopic("t", func(platform.Record) {})
	source.Replace(platform.Newest{Records: []platform.Record{record("a", "1", 1), record("b", "1", 2)}, End: 3})
	propagate(t, source, receiver)
	source.Replace(platform.Newest{Records: []platform.Record{record("b", "1", 2)}, End: 8})
	propagate(t, source, receiver)
	if r := receiver.newest["a"]; len(r.Value) != 0 || receiver.NextOffset() != 8 {
		t.Errorf("the receiver holds %+v, next %d", r, receiver.NextOffset())
	}
}

// propagate sends the records that a receiver lacks.
func propagate(t *testing.T, source, receiver *Topic) {
	t.Helper()
	from := FromStart
	if receiver.Loaded() {
		from = receiver.NextOffset()
	}
	topicCopy, err := source.Copy(from, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := receiver.MergeCopy(topicCopy, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// All copies converge to the content of the store in whatever order topics are read and
// propagated, although each sender has read up to a different offset.
func TestReceiversConvergeToTheStore(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("same content", prop.ForAll(func(steps []uint8) bool {
		var history []platform.Record
		topics := make([]*Topic, 4)
		for i := range topics {
			topics[i] = NewHeartbeatTopic("t", sameFirstByte, func(platform.Record) {})
		}
		for _, step := range steps {
			switch who := int(step>>2) % 2; step % 4 {
			case 0:
				value := string("ab"[step>>7]) + string(rune('0'+step>>4))
				history = append(history, record(string("xyz"[step>>4%3]), value, int64(len(history))))
			case 1:
				history = append(history, record(string("xyz"[step>>4%3]), "", int64(len(history))))
			case 2:
				readSome(topics[who], history, int(step>>4))
			case 3:
				propagate(t, topics[who], topics[2+int(step>>3)%2])
			}
		}
		for i, topic := range topics {
			if i < 2 {
				readSome(topic, history, len(history))
			} else {
				// The first copy may be a cached one.
				propagate(t, topics[0], topic)
				propagate(t, topics[0], topic)
			}
		}
		for _, topic := range topics {
			if !holds(topic, history) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
}

// readSome reads up to limit records from where the topic ends.
func readSome(topic *Topic, history []platform.Record, limit int) {
	if !topic.Loaded() {
		topic.Replace(newestOf(history))
		return
	}
	from := topic.NextOffset()
	to := min(from+int64(limit), int64(len(history)))
	topic.advance(history[from:to], to)
}

func newestOf(history []platform.Record) platform.Newest {
	newest := make(map[string]platform.Record)
	for _, r := range history {
		newest[r.Key] = r
	}
	list := platform.Newest{End: int64(len(history))}
	for _, r := range newest {
		if len(r.Value) > 0 {
			list.Records = append(list.Records, r)
		}
	}
	return list
}

// holds reports whether a topic holds a value equivalent to the newest one of each key.
func holds(topic *Topic, history []platform.Record) bool {
	list := newestOf(history)
	present := 0
	for _, r := range topic.newest {
		if len(r.Value) > 0 {
			present++
		}
	}
	for _, r := range list.Records {
		if got := topic.newest[r.Key]; len(got.Value) == 0 || !sameFirstByte(got.Value, r.Value) {
			return false
		}
	}
	return present == len(list.Records)
}

// The copy of a whole topic is encoded once within wholeCopyTTL, not once per receiver.
func TestWholeCopiesAreCached(t *testing.T) {
	source := NewTopic("t", func(platform.Record) {})
	source.Replace(platform.Newest{Records: []platform.Record{record("a", "1", 1)}, End: 2})
	now := time.Now()
	first, err := source.Copy(FromStart, now)
	if err != nil {
		t.Fatal(err)
	}
	source.Merge([]platform.Record{record("b", "1", 3)})
	second, err := source.Copy(FromStart, now.Add(wholeCopyTTL/2))
	if err != nil || &first.Packed[0] != &second.Packed[0] {
		t.Errorf("encoded again within the TTL: %v", err)
	}
	third, err := source.Copy(FromStart, now.Add(2*wholeCopyTTL))
	if err != nil || &first.Packed[0] == &third.Packed[0] {
		t.Errorf("not encoded again after the TTL: %v", err)
	}
}

func TestTopicIsFollowedSinceTheLastGap(t *testing.T) {
	topic := NewTopic("t", func(platform.Record) {})
	start := time.Now()
	for _, c := range []struct{ at, since time.Duration }{
		{0, 0},
		{MaxUnfollowed, 0},
		{MaxUnfollowed - 1, 0}, // an older confirmation
		{2 * MaxUnfollowed, 0},
		{3*MaxUnfollowed + 1, 3*MaxUnfollowed + 1},
		{4 * MaxUnfollowed, 3*MaxUnfollowed + 1},
	} {
		topic.Confirm(start.Add(c.at))
		if got := topic.FollowedSince().Sub(start); got != c.since {
			t.Errorf("confirmed at %s: followed since %s, want %s", c.at, got, c.since)
		}
	}
}
