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

// Options are the settings of an edge instance that are not in the platform's settings
// file.
type Options struct {
	LogLevel slog.Level `arg:"--log-level,env:BANYANGLADE_LOG_LEVEL" default:"INFO" placeholder:"LEVEL" help:"DEBUG, INFO, WARN or ERROR"`
	PeerKey  string     `arg:"--,env:BANYANGLADE_PEER_KEY" help:"key that all instances share, at least 16 bytes"`
	// PeerListen is needed where other instances reach this one through a forwarder.
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

// Timing of the reads of the store. Each read counts against the store's limit.
const (
	// maxReadWait bounds how long a read waits at the store for a change. A cut
	// connection is detected within it, so it bounds the age of the settings.
	maxReadWait = 3 * time.Second
	// targetsPauseFraction is the time between two reads of the targets' records as a
	// fraction of the drain delay, for which a draining target keeps serving. It leaves
	// time for retries before the target stops serving.
	targetsPauseFraction = 0.25
	// maxTargetsPause bounds the pause for long drain delays, so that new targets are
	// found soon.
	maxTargetsPause = time.Second
	// minTargetsPause bounds the rate of reads for short drain delays.
	minTargetsPause = 100 * time.Millisecond
	// instancesWait is how long a read of the list of instances waits for a change.
	// Changes are rare, and cut connections are detected by the reads of other topics.
	instancesWait = 12 * time.Second
	// instancesPause is the time between two reads of the list of instances, so that the
	// records of instances that start together are read in batches.
	instancesPause = 300 * time.Millisecond
)

// readWait returns how long a read waits for a change that has to be known within a
// bound; 0 stands for no bound.
func readWait(bound time.Duration) time.Duration {
	if bound <= 0 {
		return maxReadWait
	}
	return min(bound, maxReadWait)
}

// readTimeoutMargin is how long a read of the settings may take beyond its wait before
// the settings count as stale.
const readTimeoutMargin = 500 * time.Millisecond

// keyPolicy returns how long keys are trusted.
func keyPolicy(machine platform.Machine) serve.KeyPolicy {
	return serve.KeyPolicy{
		ConfigDelay: readWait(machine.ConfigDelay) + readTimeoutMargin,
		Strict:      machine.StrictRevocation, RevokeDelay: machine.RevokeDelay,
	}
}

// targetsPause returns the time between two reads of the targets' records.
func targetsPause(drainDelay time.Duration) time.Duration {
	pause := time.Duration(targetsPauseFraction * float64(drainDelay))
	return min(max(pause, minTargetsPause), maxTargetsPause)
}

// Connections between instances.
const (
	// peerTimeout is how long a watched instance may be unresponsive. It should be well
	// above the typical response time: the programs of a falsely suspected instance are
	// charged as after a crash.
	peerTimeout = 600 * time.Millisecond
	// peerDialTimeout bounds a dial. A healthy instance accepts within milliseconds, or
	// after a pause of up to 100 ms by CPU throttling, but after a power failure turns
	// wait for one dial to each listed instance that no longer runs.
	peerDialTimeout = 250 * time.Millisecond
	// peerHeartbeatInterval is the time between two heartbeats to an owner.
	peerHeartbeatInterval = 200 * time.Millisecond
	// maxPeerHandshakes bounds the connections from other instances that are not yet
	// authenticated, and thereby their memory. When hundreds of instances start together,
	// each connects to most owners within a second.
	maxPeerHandshakes = 256
)

const (
	// drainNotice is the time within which the platform notices that an instance is not
	// ready: two checks at one per second.
	drainNotice = 2200 * time.Millisecond
	// drainMargin is the part of the grace period that is left for the responses of
	// cancelled requests and the end of the process, exitMargin that for the latter.
	// Messages to other instances leave before closeMargin, the time to write the log.
	drainMargin = 700 * time.Millisecond
	exitMargin  = 300 * time.Millisecond
	closeMargin = 150 * time.Millisecond
	// shortGracePeriod is the grace period below which the margins are shorter in
	// proportion. Requests may be cut in the last sixth of a grace period.
	shortGracePeriod = 6 * drainMargin
	// heapLimitFraction is the soft limit of the heap as a fraction of the machine's
	// memory.
	heapLimitFraction = 0.7
	// requestMemoryFraction is the memory for requests as a fraction of the machine's
	// memory. The rest of the heap is for connections, records and garbage.
	requestMemoryFraction = 0.25
)

// drainDeadline returns the time that lies a margin before the end of a grace period.
func drainDeadline(margin time.Duration, started time.Time, gracePeriod time.Duration) time.Time {
	margin = time.Duration(float64(margin) * min(1, float64(gracePeriod)/float64(shortGracePeriod)))
	return started.Add(gracePeriod - margin)
}
