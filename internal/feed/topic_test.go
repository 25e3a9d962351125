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

// Whatever the order in which records come, from the store and from others, the
// newest stands and nothing older is applied behind it.
func TestNothingKnownGetsOlder(t *testing.T) {
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
		t.Error("the topic was read whole")
	}
}

func TestSinceGivesDroppedKeysToo(t *testing.T) {
	topic := NewTopic("t", func(platform.Record) {})
	topic.Merge([]platform.Record{record("a", "1", 1), record("b", "2", 2), record("a", "", 3)})
	records := topic.since(3)
	if len(records) != 1 || records[0].Key != "a" || len(records[0].Value) != 0 || topic.LastChanged() != 3 {
		t.Errorf("got %+v, %d", records, topic.LastChanged())
	}
}

func TestAgeIsThatOfTheLastConfirmation(t *testing.T) {
	topic := NewTopic("t", func(platform.Record) {})
	now := time.Now()
	if topic.Age(now) < time.Hour {
		t.Errorf("a copy that was never confirmed is %s old", topic.Age(now))
	}
	topic.Confirm(now.Add(-2 * time.Second))
	topic.Confirm(now.Add(-5 * time.Second))
	if age := topic.Age(now); age != 2*time.Second {
		t.Errorf("got %s", age)
	}
}

// sameKind takes values for the same that begin alike.
func sameKind(a, b []byte) bool { return a[0] == b[0] }

// A record that repeats the one before it is neither applied nor passed on, and one
// that comes behind it counts as newer than both.
func TestHeartbeatsAreNotPassedOn(t *testing.T) {
	applied := 0
	topic := NewHeartbeatTopic("t", sameKind, func(platform.Record) { applied++ })
	topic.Merge([]platform.Record{record("k", "a1", 1), record("k", "a2", 5), record("k", "a3", 9)})
	if applied != 1 || topic.LastChanged() != 1 {
		t.Errorf("applied %d times, changed at %d", applied, topic.LastChanged())
	}
	if taken := topic.Merge([]platform.Record{record("k", "b1", 7)}); taken != 0 {
		t.Error("an older record was taken")
	}
	topic.Merge([]platform.Record{record("k", "b1", 11)})
	if applied != 2 || topic.LastChanged() != 11 {
		t.Errorf("applied %d times, changed at %d", applied, topic.LastChanged())
	}
}

// Who has read a copy up to its end learns of keys that the giver finds dropped later.
func TestDropsFoundInTheWholeListArePassedOn(t *testing.T) {
	giver, receiver := NewTopic("t", func(platform.Record) {}), NewTopic("t", func(platform.Record) {})
	giver.Replace(platform.Newest{Records: []platform.Record{record("a", "1", 1), record("b", "1", 2)}, End: 3})
	pass(t, giver, receiver)
	giver.Replace(platform.Newest{Records: []platform.Record{record("b", "1", 2)}, End: 8})
	pass(t, giver, receiver)
	if r := receiver.newest["a"]; len(r.Value) != 0 || receiver.NextOffset() != 8 {
		t.Errorf("the receiver holds %+v, next %d", r, receiver.NextOffset())
	}
}

// pass gives a receiver what it lacks.
func pass(t *testing.T, giver, receiver *Topic) {
	t.Helper()
	from := FromStart
	if receiver.Loaded() {
		from = receiver.NextOffset()
	}
	given, err := giver.Copy(from, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := receiver.MergeCopy(given, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// Whatever is read where and in which order it is passed on, all hold the same in the
// end, though each giver has read to another offset.
func TestReceiversEndWithWhatTheStoreHolds(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("same content", prop.ForAll(func(steps []uint8) bool {
		var history []platform.Record
		topics := make([]*Topic, 4)
		for i := range topics {
			topics[i] = NewHeartbeatTopic("t", sameKind, func(platform.Record) {})
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
				pass(t, topics[who], topics[2+int(step>>3)%2])
			}
		}
		for i, topic := range topics {
			if i < 2 {
				readSome(topic, history, len(history))
			} else {
				// The first one may be a whole copy of before.
				pass(t, topics[0], topic)
				pass(t, topics[0], topic)
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

// readSome reads a history on from where a topic ends.
func readSome(topic *Topic, history []platform.Record, most int) {
	if !topic.Loaded() {
		topic.Replace(newestOf(history))
		return
	}
	from := topic.NextOffset()
	to := min(from+int64(most), int64(len(history)))
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

// holds tells whether a topic holds the newest kind of each key.
func holds(topic *Topic, history []platform.Record) bool {
	list := newestOf(history)
	present := 0
	for _, r := range topic.newest {
		if len(r.Value) > 0 {
			present++
		}
	}
	for _, r := range list.Records {
		if got := topic.newest[r.Key]; len(got.Value) == 0 || !sameKind(got.Value, r.Value) {
			return false
		}
	}
	return present == len(list.Records)
}

// A topic that is given to many at once is encoded once in a while, not once for each.
func TestWholeCopiesAreMadeOnceForMany(t *testing.T) {
	giver := NewTopic("t", func(platform.Record) {})
	giver.Replace(platform.Newest{Records: []platform.Record{record("a", "1", 1)}, End: 2})
	now := time.Now()
	first, err := giver.Copy(FromStart, now)
	if err != nil {
		t.Fatal(err)
	}
	giver.Merge([]platform.Record{record("b", "1", 3)})
	second, err := giver.Copy(FromStart, now.Add(wholeCopyLife/2))
	if err != nil || &first.Packed[0] != &second.Packed[0] {
		t.Errorf("made anew: %v", err)
	}
	third, err := giver.Copy(FromStart, now.Add(2*wholeCopyLife))
	if err != nil || &first.Packed[0] == &third.Packed[0] {
		t.Errorf("not made anew: %v", err)
	}
}
