package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
)

const (
	// defaultSnapshotInterval is the number of records between two snapshots.
	defaultSnapshotInterval = 2000
	// snapshotAgeDivisor sets the age at which a snapshot is replaced, as a
	// fraction of the log's retention.
	snapshotAgeDivisor = 4
	// maxSnapshotPartBytes limits the data of one snapshot record.
	maxSnapshotPartBytes = 256 << 10
	// writerWindow is how long a writer's sequence numbers are remembered. No
	// append of that writer arrives later.
	writerWindow = time.Hour
)

// maybeSnapshot writes a snapshot when many records follow the newest one, or
// when the log may soon drop it.
func (s *shard) maybeSnapshot() {
	if !s.owned() || s.snapshotting || s.logDown() || s.state.Next == 0 {
		return
	}
	since := s.state.Next
	if s.state.Snapshot > 0 {
		since -= s.state.Snapshot - 1
	}
	expiring := s.o.now.Sub(s.snapshotAt) > s.o.cfg.Retention/snapshotAgeDivisor
	if since >= s.o.snapshotInterval || expiring {
		s.writeSnapshot()
	}
}

// writeSnapshot appends the state as of the last offset read. The state includes
// this writer's records that were applied ahead, with their sequence numbers, so
// a reader does not apply them twice.
func (s *shard) writeSnapshot() {
	s.purge()
	data := journal.EncodeState(s.state)
	parts := max(1, (len(data)+maxSnapshotPartBytes-1)/maxSnapshotPartBytes)
	s.snapshotting = true
	s.snapshotAt = s.o.now
	next := s.state.Next
	for i := range parts {
		part := data[i*maxSnapshotPartBytes : min(len(data), (i+1)*maxSnapshotPartBytes)]
		var onCommitted func()
		if i == parts-1 {
			onCommitted = func() { s.snapshotting = false }
		}
		s.app.push(&journal.Snapshot{Next: next, Part: i, Parts: parts, Data: part}, lazy, onCommitted)
	}
}

// purgeInterval is the time between two purges.
const purgeInterval = time.Minute

// keylessWindow is how long the outcome of a call without a key is stored. Only a
// gateway can request it again, within the call's deadline.
const keylessWindow = 5 * time.Minute

// schedulePurge purges the state periodically, even if no snapshot is due.
func (s *shard) schedulePurge() {
	s.o.timers.stop(s.purgeTimer)
	s.purgeTimer = s.o.after(purgeInterval, func() {
		if s.owned() {
			s.purge()
			s.schedulePurge()
		}
	})
}

// scheduleSnapshot renews the snapshot of an idle shard before the log drops it.
func (s *shard) scheduleSnapshot() {
	s.snapshotTimer = s.o.after(s.o.cfg.Retention/snapshotAgeDivisor+time.Second, func() {
		if s.owned() {
			s.maybeSnapshot()
			s.scheduleSnapshot()
		}
	})
}

// purge drops state older than the idempotency windows.
func (s *shard) purge() {
	now := s.o.now
	for _, id := range journal.SortedKeys(s.state.Programs) {
		row := s.state.Programs[id]
		policy := s.o.settings.Policy(row.Team)
		window := policy.IdempotencyWindow
		keyless := now.Add(-min(window, max(keylessWindow, 2*policy.CallTimeout))).UnixMilli()
		if s.state.PurgeProgram(row, now.Add(-window).UnixMilli(), keyless) {
			s.dropProgram(row)
		}
	}
	s.state.PurgeWriters(s.o.writer, now.Add(-writerWindow).UnixMilli())
}

// dropProgram drops an expired program unless calls or requests still wait in it.
func (s *shard) dropProgram(row *journal.Program) {
	if p := s.programs[row.ID]; p != nil {
		if len(p.calls) > 0 || len(p.waiters) > 0 {
			return
		}
		p.stop()
		delete(s.programs, row.ID)
	}
	delete(s.state.Programs, row.ID)
}
