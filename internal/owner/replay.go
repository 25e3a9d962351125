package owner

import (
	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// replay buffers the records read before a complete snapshot is found.
type replay struct {
	from    uint64
	records []readRecord
	// snapshotParts holds the snapshot parts read so far, by writer.
	snapshotParts map[string][]*journal.Snapshot
}

type readRecord struct {
	offset uint64
	record journal.Record
}

func (o *Owner) onLogRead(e structs.LogRead) {
	s := o.streams[e.Stream]
	if s == nil || s.tenure == tenureNone || s.tenure == tenureProbing {
		return
	}
	if s.tenure == tenureLocating {
		s.locateSnapshot(e)
		return
	}
	// Reads of an earlier position may still arrive after LogTail moved it. A
	// read that would leave a gap is dropped.
	if e.From > s.next || e.Next < s.next {
		return
	}
	s.readDown, s.readFailures = false, 0
	for _, r := range e.Records {
		if r.Offset >= s.next {
			s.readOne(r)
		}
		if s.tenure == tenureNone {
			return
		}
	}
	s.next = max(s.next, e.Next)
	if e.Next >= e.End {
		s.onStreamEnd()
	}
}

// locateSnapshot determines where to start reading, from the newest snapshot's
// offset in the header of the newest record.
func (s *shard) locateSnapshot(e structs.LogRead) {
	s.readDown, s.readFailures = false, 0
	from := uint64(0)
	if len(e.Records) > 0 {
		last := e.Records[len(e.Records)-1]
		if rec, err := journal.Decode(last.Data); err == nil && rec.Snapshot > 0 {
			from = rec.Snapshot - 1
		}
	}
	s.replayFrom(from, from > 0)
}

// replayFrom starts reading at an offset. If a snapshot is expected, the state
// before it is incomplete, so records are buffered until it is found.
func (s *shard) replayFrom(from uint64, snapshot bool) {
	s.tenure = tenureReplaying
	s.next = from
	if snapshot {
		s.replay = &replay{from: from, snapshotParts: make(map[string][]*journal.Snapshot)}
	}
	s.o.emit(structs.LogTail{Stream: s.stream, From: from})
	s.startLogTimer()
}

func (o *Owner) onLogReadFailed(e structs.LogReadFailed) {
	s := o.streams[e.Stream]
	if s == nil {
		return
	}
	if !e.Truncated {
		s.readFailed()
		return
	}
	if s.tenure == tenureLocating {
		s.o.emit(structs.LogTailEnd{Stream: s.stream})
		return
	}
	if e.First <= s.next {
		return
	}
	switch s.tenure {
	case tenureReplaying:
		s.state = journal.NewState()
		s.replayFrom(e.First, true)
	case tenureClaiming, tenureOwned, tenureLost:
		s.skipTruncated(e.First)
	}
}

// skipTruncated continues behind records that the log dropped before they were
// read. One of them may have been a newer claim, so the shard is lost.
func (s *shard) skipTruncated(first uint64) {
	s.next, s.truncated = first, true
	s.o.emit(structs.LogTail{Stream: s.stream, From: first})
	if s.tenure != tenureLost {
		s.onShardLost("")
	}
}

// maxReadFailures is the number of consecutive failed reads after which the log
// is considered unavailable.
const maxReadFailures = 2

func (s *shard) readFailed() {
	s.readFailures++
	if s.readDown || s.readFailures < maxReadFailures {
		return
	}
	s.readDown = true
	switch s.tenure {
	case tenureLocating, tenureReplaying, tenureClaiming:
		s.refuseHeld(structs.ReasonLogUnavailable)
	case tenureOwned:
		s.onLogDown()
	}
}

// readOne handles one record of the stream.
func (s *shard) readOne(r wire.LogRecord) {
	s.next = r.Offset + 1
	rec, err := journal.Decode(r.Data)
	if err != nil {
		s.undecodable++
		return
	}
	if s.replay != nil {
		s.bufferRecord(readRecord{offset: r.Offset, record: rec})
		return
	}
	s.apply(r.Offset, rec)
}

// bufferRecord buffers a record until a complete snapshot is found that was taken
// at or after the start of reading, so that no record is missing after it.
func (s *shard) bufferRecord(r readRecord) {
	s.replay.records = append(s.replay.records, r)
	part, ok := r.record.Body.(*journal.Snapshot)
	if !ok || part.Next < s.replay.from {
		return
	}
	writer := r.record.Writer
	if part.Part == 0 {
		s.replay.snapshotParts[writer] = nil
	}
	snapshotParts := append(s.replay.snapshotParts[writer], part)
	s.replay.snapshotParts[writer] = snapshotParts
	if len(snapshotParts) != part.Parts || part.Part != part.Parts-1 {
		return
	}
	var data []byte
	for _, p := range snapshotParts {
		data = append(data, p.Data...)
	}
	state, err := journal.DecodeState(data)
	if err != nil {
		s.undecodable++
		return
	}
	s.loadSnapshot(state)
}

// loadSnapshot starts from a snapshot and applies the buffered records that
// follow it.
func (s *shard) loadSnapshot(state *journal.State) {
	records := s.replay.records
	s.replay = nil
	s.state = state
	for _, r := range records {
		if r.offset >= state.Next {
			s.apply(r.offset, r.record)
		}
	}
}

// apply applies a record to the state and notifies the live state.
func (s *shard) apply(offset uint64, rec journal.Record) {
	result := s.state.Apply(offset, rec)
	if result == journal.Rejected {
		s.void++
	}
	if rec.Writer == s.o.writer {
		s.app.onReadBack(rec.Sequence, result)
	}
	if result != journal.Applied {
		return
	}
	if claim, ok := rec.Body.(*journal.Claim); ok {
		s.onClaim(rec, claim)
		return
	}
	if rec.Writer != s.o.writer && s.owned() {
		s.onPreviousOwnerRecord(rec)
	}
}

// onClaim stops the owner at the first newer claim.
func (s *shard) onClaim(rec journal.Record, claim *journal.Claim) {
	switch s.tenure {
	case tenureClaiming:
		if rec.Writer == s.o.writer {
			s.onClaimWon(rec.Epoch)
			return
		}
		s.onShardLost(claim.Instance)
	case tenureOwned:
		s.onShardLost(claim.Instance)
	case tenureLost:
		s.newOwner = claim.Instance
	}
}

// onStreamEnd is called when the stream was read to its end.
func (s *shard) onStreamEnd() {
	if s.replay != nil {
		s.loadSnapshot(s.state)
	}
	switch s.tenure {
	case tenureReplaying:
		s.onCaughtUp()
	case tenureOwned:
		s.maybeSnapshot()
	case tenureLost:
		s.unloadIfDone()
	}
}
