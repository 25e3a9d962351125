package settings

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// snapshotsPerRetention is the number of snapshots written within the log's
	// retention.
	snapshotsPerRetention = 4
	// takeoversPerRetention divides the retention into the delay after which the next
	// instance in rank writes the snapshot instead.
	takeoversPerRetention = 64
	// maxTakeovers limits the rank that counts for that delay.
	maxTakeovers = 16
	// maxRecordsBetweenSnapshots is the number of records after which a snapshot is
	// written early. It bounds the catch-up of a new instance.
	maxRecordsBetweenSnapshots = 512
	// recordCountTakeoverDelay is the delay between ranks for such a snapshot.
	recordCountTakeoverDelay = 2 * time.Second
	// checkpointRetryMin and checkpointRetryMax bound the delay after a failed write.
	checkpointRetryMin = time.Second
	checkpointRetryMax = time.Minute
)

// checkpoint schedules snapshots of the tree so that the log always retains one. The
// live instance with the lowest id writes; two concurrent writers are harmless.
type checkpoint struct {
	// oldest is the time of the last snapshot on the log, or of the first record if
	// there is no snapshot; zero if there is neither.
	oldest time.Time
	// records counts the records since then, and maxRecordsAt is when they reached the
	// maximum.
	records      int
	maxRecordsAt time.Time
	inFlight     structs.AppendID
	retryAt      time.Time
	wakeAt       time.Time
	written      uint64
}

// observeSnapshot records a snapshot read from the log.
func (c *checkpoint) observeSnapshot(at time.Time) {
	c.oldest, c.records = at, 0
	c.maxRecordsAt, c.retryAt = time.Time{}, time.Time{}
}

// observeRecord counts a record read from the log.
func (c *checkpoint) observeRecord(at time.Time, isSnapshot bool) {
	if isSnapshot {
		return
	}
	if c.oldest.IsZero() {
		c.oldest = at
	}
	c.records++
	if c.records == maxRecordsBetweenSnapshots {
		c.maxRecordsAt = at
	}
}

// restoredFromPeer records that the state came from a peer. The age of the last
// snapshot on the log is unknown then, so one is due immediately.
func (c *checkpoint) restoredFromPeer(now time.Time, retention time.Duration) {
	if c.oldest.IsZero() {
		c.oldest = now.Add(-retention / snapshotsPerRetention)
	}
}

// writeFailed records a failed write.
func (c *checkpoint) writeFailed(now time.Time, retention time.Duration) {
	c.inFlight = 0
	c.backOff(now, retention)
}

// backOff delays the next write.
func (c *checkpoint) backOff(now time.Time, retention time.Duration) {
	wait := retention / takeoversPerRetention
	c.retryAt = now.Add(min(max(wait, checkpointRetryMin), checkpointRetryMax))
}

// due returns when the instance with the given rank among the live ones writes, zero
// if no snapshot is needed. Rank 0 writes first.
func (c *checkpoint) due(rank int, retention time.Duration) time.Time {
	if c.oldest.IsZero() {
		return time.Time{}
	}
	rank = min(rank, maxTakeovers)
	later := time.Duration(rank) * (retention / takeoversPerRetention)
	due := c.oldest.Add(retention/snapshotsPerRetention + later)
	if !c.maxRecordsAt.IsZero() {
		due = earliest(due, c.maxRecordsAt.Add(time.Duration(rank)*recordCountTakeoverDelay))
	}
	if due.Before(c.retryAt) {
		return c.retryAt
	}
	return due
}

func (p *Proposer) advanceCheckpoint() {
	c, catchUp := &p.checkpoint, &p.catchUp
	c.wakeAt = time.Time{}
	if !catchUp.done || catchUp.gap || catchUp.logDown || catchUp.logBehind || c.inFlight != 0 {
		return
	}
	first := c.due(0, p.retention())
	if first.IsZero() {
		return
	}
	if p.now.Before(first) {
		c.wakeAt = first
		return
	}
	own := c.due(p.rank(), p.retention())
	if p.now.Before(own) {
		c.wakeAt = own
		return
	}
	data, err := p.tree.Snapshot()
	if err != nil {
		c.writeFailed(p.now, p.retention())
		return
	}
	c.inFlight = p.append(data)
	c.written++
	// The due time moves when the snapshot is read back. Until then, it must not be
	// written again.
	c.backOff(p.now, p.retention())
}

// rank returns the number of live instances with a lower id.
func (p *Proposer) rank() int {
	rank := 0
	for _, peer := range p.members.Peers() {
		if peer.ID < p.cfg.Self.ID && !peer.Leaving && !p.members.Suspected(peer.ID) {
			rank++
		}
	}
	return rank
}
