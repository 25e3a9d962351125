package structs

import "time"

// InstanceConfig is the configuration of an instance from its flags and environment
// variables.
type InstanceConfig struct {
	Self Peer
	// Incarnation is unique for each start of the process.
	Incarnation string
	// Shards is the number of shards of a region. All instances must agree on it.
	Shards int
	// Seed seeds the core's pseudo-random choices.
	Seed uint64
	// PeerTimeout is the liveness timeout of a watched peer.
	PeerTimeout time.Duration
	// RecoveryWait is how long a new owner of a shard waits before it runs the next
	// call of a lane whose last call the old owner may still send. StartRun.NotAfter
	// of the old owner lies within it.
	RecoveryWait time.Duration
	// SendWindow is the maximum time between the decision to send and the send.
	SendWindow time.Duration
	// DrainDelay is how long a draining instance continues to relay new requests,
	// until the load balancer has noticed that it is not ready.
	DrainDelay time.Duration
	// Retention is how long the log retains records.
	Retention time.Duration
}

// DefaultInstanceConfig returns the configuration with default durations.
func DefaultInstanceConfig(self Peer, incarnation string) InstanceConfig {
	return InstanceConfig{
		Self: self, Incarnation: incarnation, Shards: 64,
		PeerTimeout: time.Second, RecoveryWait: 2 * time.Second,
		SendWindow: time.Second, DrainDelay: 2 * time.Second, Retention: 24 * time.Hour,
	}
}
