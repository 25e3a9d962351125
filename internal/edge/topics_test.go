package edge

import (
	"net/url"
	"reflect"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/relay"
)

func TestTopicsQueryRoundTrip(t *testing.T) {
	query := relay.Query{Offsets: map[string]int64{"keyed.a": 7, "keyed.b": feed.FromStart}, Wait: 2 * time.Second, RelayAddress: "10.0.0.1:80"}
	got, err := decodeQuery(encodeQuery(query))
	if err != nil || !reflect.DeepEqual(got, query) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestMalformedTopicsQueryIsRefused(t *testing.T) {
	for _, query := range []string{"keyed.a=x", "keyed.a=", "keyed.a=-2", "wait_ms=soon", "wait_ms=-9", "relay=somewhere"} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeQuery(values); err == nil {
			t.Errorf("%s: decoded as %+v", query, got)
		}
	}
	got, err := decodeQuery(url.Values{waitField: {"99999999"}})
	if err != nil || got.Wait != maxQueryWait {
		t.Errorf("a wait beyond the maximum: %+v, %v", got, err)
	}
}

// Copies of a larger topic are written less often, so that the bytes per second do not
// grow with the number of targets.
func TestBytesOfCopiesDoNotGrowWithTheTopic(t *testing.T) {
	const span = 10 * time.Minute
	for _, size := range []int{maxCopyRate, 100 * maxCopyRate, 200 * maxCopyRate} {
		var last writtenCopy
		written, started := 0, time.Unix(1000, 0)
		for at := started; at.Sub(started) < span; at = at.Add(copyInterval) {
			if last.due(at) {
				last = writtenCopy{at: at, bytes: size}
				written += size
			}
		}
		if limit := size + int(span.Seconds())*maxCopyRate; written > limit {
			t.Errorf("%d bytes of copies of %d bytes, at most %d", written, size, limit)
		}
	}
}
