package conversation

import (
	"context"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// trimTimeout bounds a call that trims history.
const trimTimeout = 700 * time.Millisecond

const (
	// sweepInterval is the time between two sweeps for expired turns, which may stay
	// that much longer.
	sweepInterval = 10 * time.Second
	// dropMargin is how long a turn is stored beyond its retention. It covers
	// the run time of a turn that continues it at the last moment, the delay
	// until that turn is stored, and clock differences between instances.
	dropMargin = time.Minute
	// firstReadDelay is the time after a start at which an indexer reads
	// partitions that no lookup has read, to drop turns that earlier instances
	// left there.
	firstReadDelay = time.Minute
	// maxDropBatch bounds the records of one append.
	maxDropBatch = 500
	// trimBytes is the size of a partition's history that triggers a trim.
	// History counts towards the store's limits.
	trimBytes = 8 << 20
)

// sweep drops expired turns from memory and, for the partitions that this
// instance indexes, from the store.
func (m *Manager) sweep(ctx context.Context) {
	for _, p := range m.partitions {
		if m.indexer(p, nil) == m.self.ID {
			m.dropExpired(ctx, p)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.memory.expired(time.Now(), dropMargin) {
		m.memory.drop(e.ID)
	}
	m.metrics.bytes.Update(float64(m.memory.bytes))
	m.metrics.turns.Update(float64(len(m.memory.turns)))
}

// dropExpired drops a partition's expired turns from the store and trims its
// history.
func (m *Manager) dropExpired(ctx context.Context, p *partition) {
	m.mu.Lock()
	unread := !p.read && time.Since(m.started) > firstReadDelay
	due := unread || len(m.expiryRecords(p)) > 0 || p.bytes > trimBytes
	m.mu.Unlock()
	if !due {
		return
	}
	// Turns stored by other instances may continue those that seem to have
	// expired.
	if err := m.catchUp(ctx, p); err != nil {
		return // logged; the next sweep retries
	}
	m.mu.Lock()
	expired := m.expiryRecords(p)
	m.mu.Unlock()
	for len(expired) > 0 {
		n := min(len(expired), maxDropBatch)
		if err := m.appendBatched(ctx, p, nil, expired[:n]).err; err != nil {
			m.log.Warn("failed to drop expired turns", "partition", p.number, "turns", len(expired), "error", err.Error())
			return
		}
		m.log.Info("expired turns dropped", "partition", p.number, "turns", n)
		expired = expired[n:]
	}
	m.trim(ctx, p)
}

// expiryRecords returns the records that delete a partition's expired turns.
// The caller must hold m.mu.
func (m *Manager) expiryRecords(p *partition) []platform.Record {
	var records []platform.Record
	for _, e := range m.memory.expired(time.Now(), dropMargin) {
		if e.storedIn(p.number) {
			records = append(records, platform.Record{Key: e.ID})
		}
	}
	return records
}

// trim drops a partition's history once it exceeds trimBytes. The newest record
// of each key is retained.
func (m *Manager) trim(ctx context.Context, p *partition) {
	m.mu.Lock()
	before, bytes := p.next, p.bytes
	m.mu.Unlock()
	if bytes <= trimBytes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, trimTimeout)
	defer cancel()
	if err := m.store.Trim(ctx, topic, p.number, before); err != nil {
		m.log.Warn("failed to trim the history of turns", "partition", p.number, "error", err.Error())
		return
	}
	m.mu.Lock()
	p.bytes = 0
	m.mu.Unlock()
}
