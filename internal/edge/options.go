package edge

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/peer"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/platform"
)

// Options are the settings of an edge instance that the platform's settings
// file does not hold.
type Options struct {
	LogLevel slog.Level `arg:"--log-level,env:BANYANGLADE_LOG_LEVEL" default:"INFO" placeholder:"LEVEL" help:"DEBUG, INFO, WARN or ERROR"`
	PeerKey  string     `arg:"--,env:BANYANGLADE_PEER_KEY" help:"key that all instances share, at least 16 bytes"`
	// PeerListen is needed where the others reach this instance through a
	// forwarder.
	PeerListen string `arg:"--peer-listen,env:BANYANGLADE_PEER_LISTEN" placeholder:"IP:PORT" help:"where to listen for other instances, if not at the address that they use"`
}

// Validate checks the options.
func (o Options) Validate() error {
	if len(o.PeerKey) < peer.MinKeyBytes {
		return errors.Newf("environment variable BANYANGLADE_PEER_KEY: expected at least %d bytes", peer.MinKeyBytes)
	}
	if _, err := netip.ParseAddrPort(o.PeerListen); o.PeerListen != "" && err != nil {
		return errors.Newf("--peer-listen: %q: expected IP:PORT", o.PeerListen)
	}
	return nil
}

// Times of the readers of the store. Each read is priced and counts against
// the store's limit.
const (
	// maxReadWait is the most that a read for changes waits at the store. A cut
	// link is noticed within it, so it bounds how old settings get.
	maxReadWait = 3 * time.Second
	// targetsPauseFraction of the time for which a target that leaves goes on serving is
	// the time between two reads of the targets' records: while targets come and
	// go each read finds some, and three more reads still come in time.
	targetsPauseFraction = 0.25
	// maxTargetsPause bounds it where targets serve on for long, so that new
	// targets are found soon.
	maxTargetsPause = time.Second
	// minTargetsPause bounds the rate of the reads where they leave at once.
	minTargetsPause = 100 * time.Millisecond
	// instancesWait is how long a read for changes of the list of instances
	// waits: they are rare, and a link that was cut meanwhile is noticed by the
	// readers of the other topics.
	instancesWait = 12 * time.Second
	// instancesPause is the time between two such reads: when all start at once a
	// relay reads their records in batches, not once for each.
	instancesPause = 300 * time.Millisecond
)

// readWait is how long a read for changes waits that an instance has to know
// within a bound: no longer than that.
func readWait(bound time.Duration) time.Duration {
	if bound <= 0 {
		return maxReadWait
	}
	return min(bound, maxReadWait)
}

// readTimeoutMargin is what a read of the settings may take beyond its wait before
// they count as older than they may be.
const readTimeoutMargin = 500 * time.Millisecond

// keyPolicy says how long keys are trusted.
func keyPolicy(machine platform.Machine) serve.KeyPolicy {
	return serve.KeyPolicy{
		ConfigDelay: readWait(machine.ConfigDelay) + readTimeoutMargin,
		Strict:      machine.StrictRevocation, RevokeDelay: machine.RevokeDelay,
	}
}

// targetsPause is the time between two reads of the targets' records.
func targetsPause(drainDelay time.Duration) time.Duration {
	pause := time.Duration(targetsPauseFraction * float64(drainDelay))
	return min(max(pause, minTargetsPause), maxTargetsPause)
}

// Liveness between instances.
const (
	// peerTimeout is how long a watched instance may stay silent. A healthy
	// one answers within milliseconds; a falsely suspected one costs its
	// programs what a loss of accounts charges.
	peerTimeout = 600 * time.Millisecond
	// peerDialTimeout bounds a dial. A healthy instance takes a few milliseconds, one
	// that used up its share of the processor pauses for up to 100 ms. After a
	// loss of power the list holds instances that are gone, and turns wait for
	// the dial to each that should own their partition.
	peerDialTimeout = 250 * time.Millisecond
	// peerHeartbeatInterval is the time between two heartbeats to an owner.
	peerHeartbeatInterval = 200 * time.Millisecond
	// maxPeerHandshakes bounds the connections of other instances that are not yet
	// authenticated, some 20 KB each. When hundreds of instances start together
	// each needs a connection to most owners within a second.
	maxPeerHandshakes = 256
)

const (
	// drainNotice is the time in which the platform notices that an instance
	// is not ready: two checks, one each second.
	drainNotice = 2200 * time.Millisecond
	// drainMargin is kept of the grace period for the end of the process.
	drainMargin = 700 * time.Millisecond
	// heapLimitFraction of the machine's memory is the soft limit of the heap.
	heapLimitFraction = 0.7
	// requestMemoryFraction of the machine's memory may be held for requests; the rest of
	// the heap is for connections, records and what is not collected yet.
	requestMemoryFraction = 0.25
	// headerTimeout bounds how long a caller takes for a request's head; the
	// operator's limits are a few seconds.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout bounds how long a caller's connection stays without a
	// request; it is longer than any limit that operators set, so that callers
	// close first.
	callerIdleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
)
