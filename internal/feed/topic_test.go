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
		_, newest := topic.Since(-1)
		return grows && last == highest && (len(offsets) == 0 || newest == highest)
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
	if !topic.Known() {
		t.Error("the topic was read whole")
	}
}

func TestSinceGivesDroppedKeysToo(t *testing.T) {
	topic := NewTopic("t", func(platform.Record) {})
	topic.Merge([]platform.Record{record("a", "1", 1), record("b", "2", 2), record("a", "", 3)})
	records, newest := topic.Since(2)
	if len(records) != 1 || records[0].Key != "a" || len(records[0].Value) != 0 || newest != 3 {
		t.Errorf("got %+v, %d", records, newest)
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
