package edge

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

// BenchmarkMergeTargets merges a copy with 10,000 targets, as each starting instance
// does.
func BenchmarkMergeTargets(b *testing.B) {
	const n = 10_000
	records := make([]platform.Record, 0, n)
	for i := range n {
		records = append(records, platform.Record{
			Key: fmt.Sprintf("i-%010x", i*7919131), Offset: int64(i), Value: fmt.Appendf(nil,
				`{"Service":"s%d","Address":"10.%d.%d.%d:8524","Zone":"dc%d","Version":"v1","Slots":6,"State":"ready",`+
					`"ColdRemainingMs":0,"Sequence":%d}`, i%2, i%5, i/250, i%250, i%5, i),
		})
	}
	source := feed.NewTopic("t", func(platform.Record) {})
	source.Replace(platform.Newest{Records: records, End: n})
	topicCopy, err := source.Copy(feed.FromStart, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(topicCopy.Packed)), "copy-bytes")
	for b.Loop() {
		registry := targets.NewRegistry("dc1", exchange.NewPool(tally.NoopScope))
		f := newTargetFeed(platform.Machine{}, registry, new(closedConnections), new(versionChanges), feed.NewHealth(), tally.NoopScope, slog.New(slog.DiscardHandler))
		topic := feed.NewHeartbeatTopic("t", platform.EqualExceptSequence, f.apply)
		if _, err := topic.MergeCopy(topicCopy, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
}
