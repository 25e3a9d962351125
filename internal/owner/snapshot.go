package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
)

const (
	// snapshotRecords is the number of records between two snapshots.
	snapshotRecords = 2000
	// snapshotShare is the part of the log's retention after which an older
	// snapshot is replaced.
	snapshotShare = 4
	// snapshotPart bounds one snapshot record, in bytes.
	snapshotPart = 256 << 10
	// writerWindow is how long a writer's sequence numbers are remembered. An
	// append of an older writer does not come that late.
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
	old := s.o.now.Sub(s.snapshotAt) > s.o.cfg.Retention/snapshotShare
	if since >= s.o.snapshotEvery || old {
		s.writeSnapshot()
	}
}

// writeSnapshot appends the state as of the offset that was read last. It holds
// the own records applied ahead, too; their sequence numbers are in it, so that
// a reader does not apply them twice.
func (s *shard) writeSnapshot() {
	s.purge()
	data := journal.EncodeState(s.state)
	parts := max(1, (len(data)+snapshotPart-1)/snapshotPart)
	s.snapshotting = true
	s.snapshotAt = s.o.now
	next := s.state.Next
	for i := range parts {
		part := data[i*snapshotPart : min(len(data), (i+1)*snapshotPart)]
		var counted func()
		if i == parts-1 {
			counted = func() { s.snapshotting = false }
		}
		s.app.push(&journal.Snapshot{Next: next, Part: i, Parts: parts, Data: part}, lazy, counted)
	}
}

// purgeEvery is the time between two purges.
const purgeEvery = time.Minute

// keylessWindow is how long the answer of a call without a key is kept: only a
// gateway can ask for it again, within the call's time.
const keylessWindow = 5 * time.Minute

// watchPurge keeps the tables small also if no snapshot is due.
func (s *shard) watchPurge() {
	s.o.timers.stop(s.purgeTimer)
	s.purgeTimer = s.o.after(purgeEvery, func() {
		if s.owned() {
			s.purge()
			s.watchPurge()
		}
	})
}

// watchSnapshot renews the snapshot of a shard ahead of the log's retention,
// also if nothing happens in it.
func (s *shard) watchSnapshot() {
	s.snapshotTimer = s.o.after(s.o.cfg.Retention/snapshotShare+time.Second, func() {
		if s.owned() {
			s.maybeSnapshot()
			s.watchSnapshot()
		}
	})
}

// purge forgets what is older than the idempotency windows.
func (s *shard) purge() {
	now := s.o.now
	for _, id := range journal.SortedKeys(s.state.Programs) {
		row := s.state.Programs[id]
		policy := s.o.settings.Policy(row.Team)
		window := policy.IdempotencyWindow
		keyless := now.Add(-min(window, max(keylessWindow, 2*policy.CallTimeout))).UnixMilli()
		if s.state.PurgeProgram(row, now.Add(-window).UnixMilli(), keyless) {
			s.forgetProgram(row)
		}
	}
	s.state.PurgeWriters(s.o.writer, now.Add(-writerWindow).UnixMilli())
}

// forgetProgram drops a program that is gone, unless a call still waits in it.
func (s *shard) forgetProgram(row *journal.Program) {
	if p := s.programs[row.ID]; p != nil {
		if len(p.calls) > 0 || len(p.opening) > 0 {
			return
		}
		p.stop()
		delete(s.programs, row.ID)
	}
	delete(s.state.Programs, row.ID)
}
