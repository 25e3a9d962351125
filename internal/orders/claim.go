package orders

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// streamState is what was read of a pool's stream.
type streamState struct {
	// started indicates that next is known.
	started bool
	// next is the next offset to read. All records from the first one read up
	// to next were read without a gap.
	next uint64
	// newestEpoch is the newest epoch claimed, controller the instance that
	// claimed it.
	newestEpoch structs.Epoch
	controller  structs.InstanceID
	// longestLease is the longest lease named by any record.
	longestLease time.Duration
	// malformed counts records that could not be decoded, void those without
	// effect.
	malformed, void int
}

// claim is this instance's claim of the pool.
type claim struct {
	record record
	// attempts counts the appends of the record; the next one is due at
	// retryAt.
	attempts int
	retryAt  time.Time
	// wonAt is when the claim was read back as the newest.
	wonAt time.Time
}

// resync discards what was read and reads the stream again from its newest
// record. It also discards the instance's own claim, which is valid only if the
// instance has read everything since before it sent the claim.
func (p *pool) resync(reason string) {
	p.err = reason
	p.setPhase(phaseReading)
	p.streamState, p.claim, p.lease = streamState{}, claim{}, lease{}
	for _, t := range p.targets {
		t.reset()
	}
	p.c.emit(structs.LogTailEnd{Stream: p.stream})
}

// handleRead processes records read from the stream.
func (p *pool) handleRead(ev structs.LogRead) {
	if p.phase == phaseSuperseded {
		return
	}
	if p.streamState.started && ev.From > p.streamState.next {
		p.resync("records of the log were missed")
		return
	}
	if !p.streamState.started {
		p.streamState.started, p.streamState.next = true, ev.From
	}
	for _, rec := range ev.Records {
		if rec.Offset < p.streamState.next {
			continue
		}
		p.streamState.next = rec.Offset + 1
		p.applyRecord(rec)
		if p.phase == phaseSuperseded {
			return
		}
	}
	if p.phase == phaseReading && p.streamState.next >= ev.End {
		p.startClaim()
	}
}

// applyRecord processes one record.
func (p *pool) applyRecord(rec wire.LogRecord) {
	r, err := decodeRecord(rec.Offset, rec.Data)
	if err != nil {
		p.streamState.malformed++
		return
	}
	p.streamState.longestLease = max(p.streamState.longestLease, r.Lease)
	switch r.Kind {
	case kindClaim:
		p.applyClaim(r)
	case kindLease:
		p.applyLease(r)
	}
}

// applyClaim ensures that at most one claim per epoch is valid: the first in
// offset order whose epoch is greater than all before it.
func (p *pool) applyClaim(r record) {
	if r.Epoch <= p.streamState.newestEpoch {
		p.streamState.void++
		return
	}
	p.streamState.newestEpoch, p.streamState.controller = r.Epoch, r.Instance
	switch {
	case p.phase == phaseReading:
	case p.phase == phaseClaiming && p.isOwn(r) && r.Sequence == p.claim.record.Sequence:
		p.takeControl()
	case p.phase == phaseClaiming && r.Epoch < p.claim.record.Epoch:
		// This instance's claim is still valid once it is read.
	default:
		p.stepDown("superseded by " + truncate(string(r.Instance)))
	}
}

func (p *pool) isOwn(r record) bool { return r.Writer == p.c.writer }

// startClaim claims the pool. The epoch is greater than that of any record
// before the claim, read or not; see the package comment.
func (p *pool) startClaim() {
	p.setPhase(phaseClaiming)
	p.claim = claim{record: p.c.newRecord(kindClaim, structs.Epoch(p.streamState.next+1))}
	p.appendClaim()
}

// appendClaim appends the claim, unchanged, until it is read back. The result
// of the append is ignored: a reply may be lost, and a repeated claim is void.
func (p *pool) appendClaim() {
	if !p.c.due(p.claim.retryAt) {
		return
	}
	p.claim.attempts++
	p.claim.retryAt = p.c.now.Add(backoff(minClaimRetry, maxClaimRetry, p.claim.attempts))
	p.c.scheduleWake(p.claim.retryAt)
	p.c.append(p.stream, p.claim.record)
}

// takeControl makes this instance the controller. The predecessor's lease may
// last for longestLease from now, and it may just have sent an order to load.
func (p *pool) takeControl() {
	p.setPhase(phaseHolding)
	p.err = ""
	p.claim.wonAt = p.c.now
	p.lease = lease{notBefore: p.c.now.Add(max(leaseDuration, p.streamState.longestLease) + leaseMargin)}
	p.lastLoad = p.c.now
	for _, t := range p.targets {
		t.scheduleRead()
	}
}

// epoch is the epoch under which this instance controls the pool.
func (p *pool) epoch() structs.Epoch { return p.claim.record.Epoch }
