package conversation

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
)

// Dump is the state of a Keeper as it is shown on request.
type Dump struct {
	// Turns and Bytes are what is in memory.
	Turns int `json:"turns"`
	Bytes int `json:"bytes"`
	// DirectFailing tells that others append for this instance.
	DirectFailing bool `json:"direct_failing"`
	// Store is the state of the access to the store, TypicalAppend the median of
	// the appends seen lately, 0 without any.
	Store         policy.StoreState `json:"store"`
	TypicalAppend time.Duration     `json:"typical_append_ns"`
	// AwayFor is how long no turn could be kept, 0 if turns can.
	AwayFor    time.Duration   `json:"away_for_ns"`
	Partitions []PartitionDump `json:"partitions"`
}

// PartitionDump is what is known of one partition.
type PartitionDump struct {
	Partition int `json:"partition"`
	// Read tells that all records before the offset Next were read.
	Read bool  `json:"read"`
	Next int64 `json:"next"`
	// Away tells that it lately took no append.
	Away bool `json:"away"`
}

// Dump shows the state.
func (k *Manager) Dump() Dump {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	d := Dump{Turns: len(k.memory.turns), Bytes: k.memory.bytes, DirectFailing: k.path.Failing(),
		Store: k.path.State(now), TypicalAppend: k.path.TypicalLatency(now)}
	if !k.outage.since.IsZero() {
		d.AwayFor = now.Sub(k.outage.since)
	}
	for _, p := range k.partitions {
		d.Partitions = append(d.Partitions, PartitionDump{
			Partition: p.number, Read: p.read, Next: p.next, Away: now.Before(p.awayUntil),
		})
	}
	return d
}
