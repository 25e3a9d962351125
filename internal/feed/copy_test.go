package feed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// recordLimit is the size of the largest record of the users' store, in bytes.
const recordLimit = 256 << 10

// largeSettings are settings of some thousand routes, as operators write them.
func largeSettings() []byte {
	var routes []map[string]any
	for i := range 3000 {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("r-%x", i*7919), "Hostname": fmt.Sprintf("h%d.example", i%7), "PathPrefix": fmt.Sprintf("/p%d/", i),
			"Type": "streaming", "TimeoutMs": 3000, "TargetLatencyMs": 250, "Service": "engine", "MaxAttempts": 1,
		})
	}
	value, err := json.Marshal(map[string]any{"Version": 7, "Routes": routes})
	if err != nil {
		panic(err)
	}
	return value
}

// encoded is a whole copy of a topic.
func encoded(t testing.TB, topic *Topic) []byte {
	t.Helper()
	given, err := topic.Copy(FromStart, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	value, err := given.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// A copy of settings of some thousand routes fits into a record of the store and
// comes back as it was.
func TestCopyOfLargeSettingsFitsIntoARecord(t *testing.T) {
	settings := largeSettings()
	if len(settings) <= recordLimit {
		t.Fatalf("the settings take %d bytes only", len(settings))
	}
	giver := NewTopic("t", func(platform.Record) {})
	giver.Replace(platform.Newest{Records: []platform.Record{{Key: platform.KeySettings, Value: settings, Offset: 5}}, End: 6})
	value := encoded(t, giver)
	if len(value) > recordLimit {
		t.Fatalf("%d bytes", len(value))
	}
	got, err := DecodeCopy(value)
	if err != nil || !got.Whole || got.Next != 6 {
		t.Fatalf("got %+v, %v", got, err)
	}
	records, err := unpack(got.Packed)
	if err != nil || len(records) != 1 || !bytes.Equal(records[0].Value, settings) {
		t.Errorf("got %d records, %v", len(records), err)
	}
}

// What another writer puts in place of a copy is refused, whatever it says of its
// size.
func TestCopyOfAnotherWriterIsRefused(t *testing.T) {
	giver := NewTopic("t", func(platform.Record) {})
	giver.Merge([]platform.Record{{Key: "k", Value: make([]byte, MaxCopyBytes), Offset: 1}})
	whole := encoded(t, giver)
	for _, value := range [][]byte{nil, []byte("{}"), []byte("\xff"), whole[:len(whole)/2], whole} {
		if got, err := DecodeCopy(value); err == nil {
			t.Errorf("%d bytes were taken for a copy %+v", len(value), got)
		}
	}
}

func FuzzDecodeCopy(f *testing.F) {
	giver := NewTopic("t", func(platform.Record) {})
	giver.Merge([]platform.Record{record("k", "v", 3)})
	f.Add(encoded(f, giver))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, value []byte) {
		if _, err := DecodeCopy(value); err != nil {
			return
		}
	})
}
