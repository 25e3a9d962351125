package conversation

import (
	"context"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// trimTimeout bounds a call that drops history.
const trimTimeout = 700 * time.Millisecond

const (
	// sweepInterval is the time between two searches for turns that can no
	// longer be named; they may stay that much longer.
	sweepInterval = 10 * time.Second
	// dropMargin is how long a turn is kept beyond its retention. A turn that
	// names it just in time may run for a route's timeout, its record may reach
	// the store some seconds late, and clocks of instances may differ by some.
	dropMargin = time.Minute
	// firstReadDelay is when an index reads a partition that nobody asked for,
	// to drop what earlier instances left there: soon after a start others ask
	// anyway.
	firstReadDelay = time.Minute
	// maxDropBatch bounds the records of one append.
	maxDropBatch = 500
	// trimBytes is how much of a partition's history is kept beside the newest
	// records: the store counts it towards its limits.
	trimBytes = 8 << 20
)

// sweep drops turns that can no longer be named from memory and, from the
// partitions that this instance indexes, from the store.
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

// dropExpired drops a partition's expired turns and its history from the store.
func (m *Manager) dropExpired(ctx context.Context, p *partition) {
	m.mu.Lock()
	unread := !p.read && time.Since(m.started) > firstReadDelay
	due := unread || len(m.expiryRecords(p)) > 0 || p.bytes > trimBytes
	m.mu.Unlock()
	if !due {
		return
	}
	// Turns that others kept may continue what seems to have expired.
	if err := m.catchUp(ctx, p); err != nil {
		return // logged; the next sweep tries again
	}
	m.mu.Lock()
	expired := m.expiryRecords(p)
	m.mu.Unlock()
	for len(expired) > 0 {
		n := min(len(expired), maxDropBatch)
		if err := m.appendBatched(ctx, p, nil, expired[:n]).err; err != nil {
			m.log.Warn("expired turns not dropped", "partition", p.number, "turns", len(expired), "error", err.Error())
			return
		}
		m.log.Info("expired turns dropped", "partition", p.number, "turns", n)
		expired = expired[n:]
	}
	m.trim(ctx, p)
}

// expiryRecords lists the records that drop a partition's expired turns. The mutex
// is held.
func (m *Manager) expiryRecords(p *partition) []platform.Record {
	var records []platform.Record
	for _, e := range m.memory.expired(time.Now(), dropMargin) {
		if e.storedIn(p.number) {
			records = append(records, platform.Record{Key: e.ID})
		}
	}
	return records
}

// trim drops a partition's history once it has grown; the newest record of each
// key stays.
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
		m.log.Warn("history of turns not trimmed", "partition", p.number, "error", err.Error())
		return
	}
	m.mu.Lock()
	p.bytes = 0
	m.mu.Unlock()
}
