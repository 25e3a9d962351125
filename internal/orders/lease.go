package orders

import (
	"time"
)

// lease is the controller's permission to give orders to targets that ignore
// fencing numbers.
type lease struct {
	// notBefore is the end of what a predecessor may hold.
	notBefore time.Time
	// until is the end of the lease that counts, zero if none does.
	until time.Time
	// sent holds when the append of each Lease record was sent, by sequence.
	sent    map[uint64]time.Time
	retryAt time.Time
}

// applyLease counts an own Lease record that was read back under the own epoch.
// The lease runs from the send of the append, which is before any other
// instance can have read a claim that follows the record.
func (p *pool) applyLease(r record) {
	if r.Epoch != p.reader.newest {
		p.reader.void++
		return
	}
	if p.phase != phaseHolding || !p.own(r) || r.Epoch != p.epoch() {
		return
	}
	sentAt, known := p.lease.sent[r.Sequence]
	if !known {
		return
	}
	delete(p.lease.sent, r.Sequence)
	if end := sentAt.Add(r.Lease); end.After(p.lease.until) {
		p.lease.until = end
	}
}

// leased tells whether an order may be sent, up to the send window from now, to
// a target that ignores fencing numbers. It asks for a lease or its renewal.
func (p *pool) leased() bool {
	if !p.c.reached(p.lease.notBefore) {
		return false
	}
	p.renewLease()
	return !p.c.now.Add(p.c.cfg.SendWindow).After(p.lease.until)
}

func (p *pool) renewLease() {
	if p.lease.until.Sub(p.c.now) >= renewBefore || !p.c.reached(p.lease.retryAt) {
		return
	}
	for sequence, at := range p.lease.sent {
		if p.c.now.Sub(at) >= leaseDuration {
			delete(p.lease.sent, sequence)
		}
	}
	if p.lease.sent == nil {
		p.lease.sent = make(map[uint64]time.Time)
	}
	r := p.c.newRecord(kindLease, p.epoch())
	p.lease.sent[r.Sequence] = p.c.now
	p.lease.retryAt = p.c.now.Add(leaseRetry)
	p.c.wakeBy(p.lease.retryAt)
	p.c.append(p.stream, r)
}
