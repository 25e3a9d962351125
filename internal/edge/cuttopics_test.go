package edge

import (
	"reflect"
	"testing"
	"time"

	"github.com/ugorji/go/codec"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/relay"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/platform"
)

// topicsReply returns a reply to a query with one copy, and its encoding.
func topicsReply(t *testing.T) (relay.Reply, string) {
	t.Helper()
	topic := feed.NewTopic(platform.TopicTargets, func(platform.Record) {})
	topic.Replace(platform.Newest{Records: []platform.Record{{Key: "t1", Value: []byte("entry"), Offset: 3}}, End: 4})
	topicCopy, err := topic.Copy(feed.FromStart, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	reply := relay.Reply{Relay: true, HeldMs: 7, Topics: map[string]relay.TopicReply{topic.Name: {Copy: topicCopy}}}
	var body []byte
	if err := codec.NewEncoderBytes(&body, replyCodec).Encode(reply); err != nil {
		t.Fatal(err)
	}
	return reply, string(body)
}

// Guards against taking part of another instance's topics for all of them.
func TestTopicsCutAtAnyByteAreNotTakenForWhole(t *testing.T) {
	whole, body := topicsReply(t)
	query := relay.Query{Offsets: map[string]int64{platform.TopicTargets: feed.FromStart}, ReplyTimeout: testTimeout}
	const head = "HTTP/1.1 200 OK\r\n"
	for name, first := range map[string]string{"new connection": "", "kept connection": testkit.WholeResponse(head, body)} {
		t.Run(name, func(t *testing.T) {
			testkit.CutResponses(t, head, body, func(t *testing.T, s *testkit.CutServer, part string) {
				s.KeepConnections(first)
				client := newTopicsClient()
				for range 2 {
					got, err := client.Query(t.Context(), s.Address, query)
					if err == nil && !reflect.DeepEqual(got, whole) {
						t.Errorf("%q is taken for %+v", part, got)
					}
				}
			})
		})
	}
}
