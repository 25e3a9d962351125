package settings

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// snapshotsPerRetention is how many snapshots are written in the time
	// that the log keeps one.
	snapshotsPerRetention = 4
	// takeoversPerRetention divides the retention into the time by which
	// each further instance writes later than the one before it, in case
	// that one cannot.
	takeoversPerRetention = 64
	// maxTakeovers bounds that delay.
	maxTakeovers = 16
	// maxRecordsBetweenSnapshots is the number of records after which a snapshot is
	// written whatever the time, to bound the catch-up of a new instance.
	maxRecordsBetweenSnapshots = 512
	// recordCountTakeoverDelay is the delay between instances in that case.
	recordCountTakeoverDelay = 2 * time.Second
	// checkpointRetryMin and checkpointRetryMax bound the wait after a
	// failed write.
	checkpointRetryMin = time.Second
	checkpointRetryMax = time.Minute
)

// checkpoint writes snapshots of the tree to the log ahead of its retention. The
// live instance with the lowest id writes; two writers do no harm.
type checkpoint struct {
	// oldest is the time of the last snapshot on the log, or else of the
	// first record; zero if there is neither.
	oldest time.Time
	// records counts the records since, and maxRecordsAt is when they became
	// too many.
	records      int
	maxRecordsAt time.Time
	inFlight     structs.AppendID
	retryAt      time.Time
	wakeAt       time.Time
	written      uint64
}

// observeSnapshot notes a snapshot on the log.
func (c *checkpoint) observeSnapshot(at time.Time) {
	c.oldest, c.records = at, 0
	c.maxRecordsAt, c.retryAt = time.Time{}, time.Time{}
}

// observeRecord notes a record on the log.
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

// restoredFromPeer notes a state from a peer. How old the last snapshot on the log is
// is not known then, so one is due at once.
func (c *checkpoint) restoredFromPeer(now time.Time, retention time.Duration) {
	if c.oldest.IsZero() {
		c.oldest = now.Add(-retention / snapshotsPerRetention)
	}
}

// writeFailed notes a failed write.
func (c *checkpoint) writeFailed(now time.Time, retention time.Duration) {
	c.inFlight = 0
	c.backOff(now, retention)
}

// backOff puts off the next write.
func (c *checkpoint) backOff(now time.Time, retention time.Duration) {
	wait := retention / takeoversPerRetention
	c.retryAt = now.Add(min(max(wait, checkpointRetryMin), checkpointRetryMax))
}

// due gives when the instance of a rank among the live ones writes, 0 first.
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
	// Reading the snapshot back moves the due time; until then it is not
	// written again.
	c.backOff(p.now, p.retention())
}

// rank counts the live instances with a lower id.
func (p *Proposer) rank() int {
	rank := 0
	for _, peer := range p.members.Peers() {
		if peer.ID < p.cfg.Self.ID && !peer.Leaving && !p.members.Suspected(peer.ID) {
			rank++
		}
	}
	return rank
}
