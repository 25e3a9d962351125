package streampin

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/peer"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// encodingPeers encodes each message, as the transport does.
type encodingPeers struct {
	b     *testing.B
	bytes int
}

func (p *encodingPeers) Send(_ structs.InstanceID, msg structs.Message) {
	frame, err := peer.EncodeFrame(msg)
	if err != nil {
		p.b.Fatal(err)
	}
	p.bytes += len(frame)
}

func (p *encodingPeers) Probe(structs.InstanceID) {}

// severalVersions is a Versions whose services have several versions.
type severalVersions struct{}

func (severalVersions) SoleVersion(string) (string, time.Time, bool) { return "", time.Time{}, false }

func (severalVersions) HasSeveralVersions(string) bool { return true }

// BenchmarkRecord measures the work at the instance that begins a stream while a service
// has several versions.
func BenchmarkRecord(b *testing.B) {
	self := structs.Peer{ID: directory.InstanceID("self", "1")}
	dir := directory.New(self)
	for i := range 349 {
		dir.Put(structs.Peer{ID: directory.InstanceID(fmt.Sprint("m", i), "1")})
	}
	peers := &encodingPeers{b: b}
	m := New(Config{
		Directory: dir, Slots: 12, Key: func(slot int) string { return fmt.Sprint("slot/", slot) },
		Peers: peers, Versions: severalVersions{}, Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		m.Record(serve.Stream{ID: fmt.Sprintf("%016x", n), Lifetime: time.Minute}, serve.StreamOrigin{Service: "engine", Version: "v1.1"})
	}
	b.ReportMetric(float64(peers.bytes)/float64(n), "frame-bytes/op")
}
