package conversation

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
)

// Dump is the state of a Manager for diagnostics.
type Dump struct {
	// Turns and Bytes are the number and size of the turns in memory.
	Turns int `json:"turns"`
	Bytes int `json:"bytes"`
	// DirectFailing reports whether this instance's own appends fail, so that
	// others append for it.
	DirectFailing bool `json:"direct_failing"`
	// Store is the state of the access to the store, TypicalAppend the median
	// latency of recent appends, 0 without any.
	Store         policy.StoreState `json:"store"`
	TypicalAppend time.Duration     `json:"typical_append_ns"`
	// OutageDuration is how long no turn could be stored, 0 outside an outage.
	OutageDuration time.Duration   `json:"away_for_ns"`
	Partitions     []PartitionDump `json:"partitions"`
}

// PartitionDump is the state of one partition.
type PartitionDump struct {
	Partition int `json:"partition"`
	// Read reports whether all records before the offset Next were read.
	Read bool  `json:"read"`
	Next int64 `json:"next"`
	// Unavailable reports whether recent appends to the partition failed.
	Unavailable bool `json:"away"`
}

// Dump returns the current state.
func (m *Manager) Dump() Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	d := Dump{Turns: len(m.memory.turns), Bytes: m.memory.bytes, DirectFailing: m.storeMonitor.Failing(),
		Store: m.storeMonitor.State(now), TypicalAppend: m.storeMonitor.TypicalLatency(now)}
	if !m.outage.since.IsZero() {
		d.OutageDuration = now.Sub(m.outage.since)
	}
	for _, p := range m.partitions {
		d.Partitions = append(d.Partitions, PartitionDump{
			Partition: p.number, Read: p.read, Next: p.next, Unavailable: now.Before(p.unavailableUntil),
		})
	}
	return d
}
