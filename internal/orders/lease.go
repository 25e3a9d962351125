package orders

import (
	"time"
)

// lease permits the controller to send orders to targets that ignore fencing
// numbers.
type lease struct {
	// notBefore is when any lease of a predecessor has expired.
	notBefore time.Time
	// validUntil is the end of the current lease, zero if there was none.
	validUntil time.Time
	// sentAt is when the append of each Lease record was sent, by sequence.
	sentAt  map[uint64]time.Time
	retryAt time.Time
}

// applyLease extends the lease by this instance's own Lease record, read back
// under its own epoch. The lease starts when the append was sent, which is
// before any other instance can have read a claim that follows the record.
func (p *pool) applyLease(r record) {
	if r.Epoch != p.streamState.newestEpoch {
		p.streamState.void++
		return
	}
	if p.phase != phaseHolding || !p.isOwn(r) || r.Epoch != p.epoch() {
		return
	}
	sentAt, found := p.lease.sentAt[r.Sequence]
	if !found {
		return
	}
	delete(p.lease.sentAt, r.Sequence)
	if end := sentAt.Add(r.Lease); end.After(p.lease.validUntil) {
		p.lease.validUntil = end
	}
}

// ensureLease reports whether the lease covers an order that is sent within the
// send window. It requests or renews the lease if needed.
func (p *pool) ensureLease() bool {
	if !p.c.due(p.lease.notBefore) {
		return false
	}
	p.renewLease()
	return !p.c.now.Add(p.c.cfg.SendWindow).After(p.lease.validUntil)
}

func (p *pool) renewLease() {
	if p.lease.validUntil.Sub(p.c.now) >= leaseRenewThreshold || !p.c.due(p.lease.retryAt) {
		return
	}
	for sequence, at := range p.lease.sentAt {
		if p.c.now.Sub(at) >= leaseDuration {
			delete(p.lease.sentAt, sequence)
		}
	}
	if p.lease.sentAt == nil {
		p.lease.sentAt = make(map[uint64]time.Time)
	}
	r := p.c.newRecord(kindLease, p.epoch())
	p.lease.sentAt[r.Sequence] = p.c.now
	p.lease.retryAt = p.c.now.Add(leaseRetryInterval)
	p.c.scheduleWake(p.lease.retryAt)
	p.c.append(p.stream, r)
}
