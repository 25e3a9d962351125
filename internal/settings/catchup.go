package settings

import (
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// maxGapRecords is the maximum number of records buffered while the tree has a gap.
const maxGapRecords = 4096

// Sources of the state with which an instance caught up.
const (
	sourceLog  = "log"
	sourcePeer = "peer"
)

// catchUp is the progress of following the settings stream.
type catchUp struct {
	// done is set once the tree has caught up, source is where the state came from.
	done   bool
	source string
	// target is the end of the stream at the first read. The catch-up is complete when
	// records up to it are applied.
	target    uint64
	hasTarget bool
	// next is the offset of the reader.
	next uint64
	// logDown indicates that the last read failed.
	logDown bool
	// gap indicates that records between the tree's offset and gapStart are no longer
	// retained. buffered are the records from gapStart on, to be applied after a
	// snapshot.
	gap      bool
	gapStart uint64
	buffered []wire.LogRecord
	// logBehind indicates that the log ends before the tree's offset, which means that
	// the log lost records.
	logBehind bool
}

// stuck reports whether the log cannot bring the tree up to date for now: it is
// unavailable, or it was read to its end and the gap remains.
func (c *catchUp) stuck() bool {
	return c.logDown || c.gap && c.hasTarget && c.next >= c.target
}

// settingsLost reports whether no settings are left: the log dropped its first records
// and holds no snapshot, and this instance has no state of its own.
func (p *Proposer) settingsLost() bool {
	c := &p.catchUp
	return c.gap && !c.done && !c.logDown && c.stuck() && p.tree.Next() == 0
}

// tail starts reading the stream or moves the reader.
func (p *Proposer) tail(from uint64) {
	p.catchUp.next = from
	p.emit(structs.LogTail{Stream: structs.SettingsStream, From: from})
}

func (p *Proposer) logRead(ev structs.LogRead) {
	c := &p.catchUp
	c.logDown = false
	if !c.hasTarget {
		c.hasTarget, c.target = true, ev.End
	}
	c.logBehind = ev.End < p.tree.Next()
	for _, rec := range ev.Records {
		if rec.Offset < c.next {
			continue
		}
		if rec.Offset > c.next {
			// The reader skipped records: read from the missing offset.
			p.tail(c.next)
			return
		}
		c.next = rec.Offset + 1
		p.applyOrBuffer(rec)
	}
	p.checkCaughtUp()
}

func (p *Proposer) checkCaughtUp() {
	c := &p.catchUp
	if !c.done && !c.gap && c.hasTarget && p.tree.Next() >= c.target {
		c.done, c.source = true, sourceLog
	}
}

// applyOrBuffer applies a record, or buffers it while the tree has a gap.
func (p *Proposer) applyOrBuffer(rec wire.LogRecord) {
	r, err := decodeRecord(rec.Data)
	isSnapshot := err == nil && r.Snapshot != nil
	if isSnapshot {
		p.checkpoint.observeSnapshot(p.recordTime(rec))
	}
	c := &p.catchUp
	if !c.gap {
		p.checkpoint.observeRecord(p.recordTime(rec), isSnapshot)
		p.tree.applyRecord(rec.Offset, r, err)
		return
	}
	c.buffer(rec)
	if isSnapshot && r.Snapshot.Next >= c.gapStart && r.Snapshot.Next <= rec.Offset {
		p.tree.restore(r.Snapshot)
		p.closeGap()
	}
}

// buffer stores a record until the gap is closed. Dropping the oldest record widens
// the gap.
func (c *catchUp) buffer(rec wire.LogRecord) {
	c.buffered = append(c.buffered, rec)
	if len(c.buffered) > maxGapRecords {
		c.buffered = c.buffered[1:]
		c.gapStart = c.buffered[0].Offset
	}
}

// closeGap applies the buffered records if the tree has reached them.
func (p *Proposer) closeGap() {
	c := &p.catchUp
	if !c.gap || p.tree.Next() < c.gapStart {
		return
	}
	buffered := c.buffered
	c.gap, c.buffered = false, nil
	for _, rec := range buffered {
		p.tree.Apply(rec.Offset, rec.Data)
	}
}

func (p *Proposer) logReadFailed(ev structs.LogReadFailed) {
	c := &p.catchUp
	if !ev.Truncated {
		c.logDown = true
		return
	}
	c.logDown = false
	if ev.First > p.tree.Next() {
		c.gap, c.gapStart, c.buffered = true, ev.First, nil
		p.tail(ev.First)
		return
	}
	p.tail(p.tree.Next())
}

// restoreState replaces the tree's state by a peer's if that is newer.
func (p *Proposer) restoreState(state []byte) {
	restored, err := p.tree.Restore(state)
	if err != nil {
		p.exchange.malformed++
		return
	}
	if !restored {
		return
	}
	p.checkpoint.restoredFromPeer(p.now, p.retention())
	p.closeGap()
	if p.tree.Next() > p.catchUp.next {
		p.catchUp.buffered = nil
		p.tail(p.tree.Next())
	}
	p.checkCaughtUp()
}
