package structs

import "time"

// InstanceConfig is what an instance learns from its own settings (flags and
// environment variables).
type InstanceConfig struct {
	Self Peer
	// Incarnation is unique for each start of the process.
	Incarnation string
	// Shards is the number of shards of a region; all instances agree on it.
	Shards int
	// Seed feeds the core's pseudo-random choices.
	Seed uint64
	// PeerTimeout is the liveness timeout of a watched peer.
	PeerTimeout time.Duration
	// RecoveryWait is how long a new owner of a shard waits before it runs
	// the next call of a lane whose last call may still be sent by the old
	// owner; StartRun.NotAfter of the old owner lies within it.
	RecoveryWait time.Duration
	// SendWindow bounds the time from a decision to send to the send.
	SendWindow time.Duration
	// DrainDelay is how long a draining instance goes on relaying new
	// requests, until the balancer has seen that it is not ready.
	DrainDelay time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
}

// DefaultInstanceConfig fills the durations used where settings are silent.
func DefaultInstanceConfig(self Peer, incarnation string) InstanceConfig {
	return InstanceConfig{
		Self: self, Incarnation: incarnation, Shards: 64,
		PeerTimeout: time.Second, RecoveryWait: 2 * time.Second,
		SendWindow: time.Second, DrainDelay: 2 * time.Second, Retention: 24 * time.Hour,
	}
}
