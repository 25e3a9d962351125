package edge

import (
	"net/url"
	"reflect"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/relay"
)

func TestQuestionForTopicsComesBack(t *testing.T) {
	asked := relay.Query{Offsets: map[string]int64{"keyed.a": 7, "keyed.b": feed.FromStart}, Wait: 2 * time.Second, RelayAddress: "10.0.0.1:80"}
	got, err := decodeQuestion(encodeQuestion(asked))
	if err != nil || !reflect.DeepEqual(got, asked) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestMalformedQuestionForTopicsIsRefused(t *testing.T) {
	for _, query := range []string{"keyed.a=x", "keyed.a=", "keyed.a=-2", "wait_ms=soon", "wait_ms=-9", "relay=somewhere"} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeQuestion(values); err == nil {
			t.Errorf("%s: taken as %+v", query, got)
		}
	}
	got, err := decodeQuestion(url.Values{waitField: {"99999999"}})
	if err != nil || got.Wait != longestAnswerWait {
		t.Errorf("a wait of a day: %+v, %v", got, err)
	}
}

// Copies of a larger topic are written less often, so that their bytes a second do not
// follow the number of targets.
func TestBytesOfCopiesDoNotGrowWithTheTopic(t *testing.T) {
	const span = 10 * time.Minute
	for _, size := range []int{copyRate, 100 * copyRate, 200 * copyRate} {
		var last writtenCopy
		written, begun := 0, time.Unix(1000, 0)
		for at := begun; at.Sub(begun) < span; at = at.Add(copyInterval) {
			if last.due(at) {
				last = writtenCopy{at: at, bytes: size}
				written += size
			}
		}
		if most := size + int(span.Seconds())*copyRate; written > most {
			t.Errorf("%d bytes of copies of %d bytes, at most %d", written, size, most)
		}
	}
}
