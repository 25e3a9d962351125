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
	// firstReadAfter is when an index reads a partition that nobody asked for,
	// to drop what earlier instances left there: soon after a start others ask
	// anyway.
	firstReadAfter = time.Minute
	// maxDropped bounds the records of one append.
	maxDropped = 500
	// trimBytes is how much of a partition's history is kept beside the newest
	// records: the store counts it towards its limits.
	trimBytes = 8 << 20
)

// sweep drops turns that can no longer be named from memory and, from the
// partitions that this instance indexes, from the store.
func (k *Manager) sweep(ctx context.Context) {
	for _, p := range k.partitions {
		if k.indexOf(p, nil) == k.self.ID {
			k.dropFrom(ctx, p)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.memory.expired(time.Now(), dropMargin) {
		k.memory.drop(e.ID)
	}
	k.metrics.bytes.Update(float64(k.memory.bytes))
	k.metrics.turns.Update(float64(len(k.memory.turns)))
}

// dropFrom drops a partition's expired turns and its history from the store.
func (k *Manager) dropFrom(ctx context.Context, p *partition) {
	k.mu.Lock()
	unread := !p.read && time.Since(k.started) > firstReadAfter
	due := unread || len(k.expiredIn(p)) > 0 || p.bytes > trimBytes
	k.mu.Unlock()
	if !due {
		return
	}
	// Turns that others kept may continue what seems to have expired.
	if err := k.catchUp(ctx, p); err != nil {
		return // logged; the next sweep tries again
	}
	k.mu.Lock()
	expired := k.expiredIn(p)
	k.mu.Unlock()
	for len(expired) > 0 {
		n := min(len(expired), maxDropped)
		if err := k.appendBatched(ctx, p, nil, expired[:n]).err; err != nil {
			k.log.Warn("expired turns not dropped", "partition", p.number, "turns", len(expired), "error", err.Error())
			return
		}
		k.log.Info("expired turns dropped", "partition", p.number, "turns", n)
		expired = expired[n:]
	}
	k.trim(ctx, p)
}

// expiredIn lists the records that drop a partition's expired turns. The mutex
// is held.
func (k *Manager) expiredIn(p *partition) []platform.Record {
	var records []platform.Record
	for _, e := range k.memory.expired(time.Now(), dropMargin) {
		if e.in(p.number) {
			records = append(records, platform.Record{Key: e.ID})
		}
	}
	return records
}

// trim drops a partition's history once it has grown; the newest record of each
// key stays.
func (k *Manager) trim(ctx context.Context, p *partition) {
	k.mu.Lock()
	before, bytes := p.next, p.bytes
	k.mu.Unlock()
	if bytes <= trimBytes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, trimTimeout)
	defer cancel()
	if err := k.store.Trim(ctx, topic, p.number, before); err != nil {
		k.log.Warn("history of turns not trimmed", "partition", p.number, "error", err.Error())
		return
	}
	k.mu.Lock()
	p.bytes = 0
	k.mu.Unlock()
}
