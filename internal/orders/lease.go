package orders

import (
	"time"
)

// lease is the controller's permission to give orders to targets that ignore
// fencing numbers.
type lease struct {
	// notBefore is the end of what a predecessor may hold.
	notBefore time.Time
	// validUntil is the end of the lease that counts, zero if none does.
	validUntil time.Time
	// sentAt holds when the append of each Lease record was sent, by sequence.
	sentAt  map[uint64]time.Time
	retryAt time.Time
}

// applyLease counts an own Lease record that was read back under the own epoch.
// The lease runs from the send of the append, which is before any other
// instance can have read a claim that follows the record.
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

// ensureLease tells whether an order may be sent, up to the send window from now, to
// a target that ignores fencing numbers. It asks for a lease or its renewal.
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
