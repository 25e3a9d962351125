package orders

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// reader is what was read of a pool's stream.
type reader struct {
	// started tells that next is known.
	started bool
	// next is the next offset to read. Everything between the start and next
	// was read without a gap.
	next uint64
	// newest is the newest epoch claimed, holder its instance.
	newest structs.Epoch
	holder structs.InstanceID
	// longest is the longest lease named by a record.
	longest time.Duration
	// garbage counts records that could not be decoded, void those that had
	// no effect.
	garbage, void int
}

// claim is this instance's claim.
type claim struct {
	record record
	// repeats counts the appends of the record; the next is due at retryAt.
	repeats int
	retryAt time.Time
	// wonAt is when the claim was read back as the newest.
	wonAt time.Time
}

// restart forgets what was read and reads the stream from its newest record.
// With it goes the own claim: a claim is only counted by a writer that has read
// everything since before it sent it.
func (p *pool) restart(why string) {
	p.err = why
	p.enter(phaseReading)
	p.reader, p.claim, p.lease = reader{}, claim{}, lease{}
	for _, t := range p.targets {
		t.forget()
	}
	p.c.emit(structs.LogTailEnd{Stream: p.stream})
}

// read takes in records of the stream.
func (p *pool) read(ev structs.LogRead) {
	if p.phase == phaseSuperseded {
		return
	}
	if p.reader.started && ev.From > p.reader.next {
		p.restart("records of the log were missed")
		return
	}
	if !p.reader.started {
		p.reader.started, p.reader.next = true, ev.From
	}
	for _, rec := range ev.Records {
		if rec.Offset < p.reader.next {
			continue
		}
		p.reader.next = rec.Offset + 1
		p.apply(rec)
		if p.phase == phaseSuperseded {
			return
		}
	}
	if p.phase == phaseReading && p.reader.next >= ev.End {
		p.sendClaim()
	}
}

// apply takes in one record.
func (p *pool) apply(rec wire.LogRecord) {
	r, err := decodeRecord(rec.Offset, rec.Data)
	if err != nil {
		p.reader.garbage++
		return
	}
	p.reader.longest = max(p.reader.longest, r.Lease)
	switch r.Kind {
	case kindClaim:
		p.applyClaim(r)
	case kindLease:
		p.applyLease(r)
	}
}

// applyClaim keeps the invariant that one claim of an epoch counts: the first
// in offset order whose epoch is above all before it.
func (p *pool) applyClaim(r record) {
	if r.Epoch <= p.reader.newest {
		p.reader.void++
		return
	}
	p.reader.newest, p.reader.holder = r.Epoch, r.Instance
	switch {
	case p.phase == phaseReading:
	case p.phase == phaseClaiming && p.own(r) && r.Sequence == p.claim.record.Sequence:
		p.won()
	case p.phase == phaseClaiming && r.Epoch < p.claim.record.Epoch:
		// The own claim will still count.
	default:
		p.supersede("superseded by " + clip(string(r.Instance)))
	}
}

func (p *pool) own(r record) bool { return r.Writer == p.c.writer }

// sendClaim claims the pool. The epoch is above those of all records before the
// claim, read or not; see the package comment.
func (p *pool) sendClaim() {
	p.enter(phaseClaiming)
	p.claim = claim{record: p.c.newRecord(kindClaim, structs.Epoch(p.reader.next+1))}
	p.repeatClaim()
}

// repeatClaim appends the claim, unchanged, until it is read back. The append's
// result does not matter: a reply may be lost, and a repeat is void.
func (p *pool) repeatClaim() {
	if !p.c.reached(p.claim.retryAt) {
		return
	}
	p.claim.repeats++
	p.claim.retryAt = p.c.now.Add(backoff(claimRetry, claimRetryMax, p.claim.repeats))
	p.c.wakeBy(p.claim.retryAt)
	p.c.append(p.stream, p.claim.record)
}

// won begins the control. The predecessor may hold a lease until longest after
// now at the latest. It may also just have sent an order to load.
func (p *pool) won() {
	p.enter(phaseHolding)
	p.err = ""
	p.claim.wonAt = p.c.now
	p.lease = lease{notBefore: p.c.now.Add(max(leaseDuration, p.reader.longest) + leaseMargin)}
	p.lastLoad = p.c.now
	for _, t := range p.targets {
		t.readNow()
	}
}

// epoch is the epoch of this instance's control.
func (p *pool) epoch() structs.Epoch { return p.claim.record.Epoch }
