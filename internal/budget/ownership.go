package budget

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ownership is what the owner of a partition keeps. The mutex of the Keeper
// guards it.
type ownership struct {
	// epoch is that of the newest claim in the store that this ownership goes
	// back to: this instance's own once claimed is set, else that of the
	// instance which handed the partition over.
	epoch   int64
	claimed bool
	// sequence numbers this instance's appends under its epoch.
	sequence int64
	// loss is set while programs may come that an earlier owner knew and this
	// one does not.
	loss *loss
	// losses is how many owners before this one may have handed out their slice,
	// as the claim says.
	losses   int
	accounts map[string]*account
	// dirty are the accounts with a record to be written.
	dirty   map[*account]bool
	writing bool
	// failing tells that a record could not be written for longer than turns
	// wait for it.
	failing bool
}

// lossesOfNew is how many losses a program may have lived through that comes
// without an account.
func (o *ownership) lossesOfNew() int {
	if o.loss == nil {
		return 0
	}
	return o.losses
}

// loss is the loss of a partition's accounts.
type loss struct {
	// owner had the accounts.
	owner structs.InstanceID
	at    time.Time
}

func newOwnership(epoch int64) *ownership {
	return &ownership{
		epoch:    epoch,
		accounts: make(map[string]*account),
		dirty:    make(map[*account]bool),
	}
}

// admit takes a request for room at the owner. The mutex is held.
func (k *Manager) admit(p *partition, r structs.RoomRequest, reply func(answer)) {
	a, ok := p.own.accounts[r.Program]
	if !ok {
		a = newAccount(r.Program, r.Budget, r.Most, p.own.lossesOfNew())
		p.own.accounts[r.Program] = a
	}
	a.touched = time.Now()
	a.most = max(a.most, r.Most)
	a.retention = max(a.retention, r.Retention)
	a.asks = append(a.asks, &ask{lease: r.Lease, most: r.Most, reply: reply})
	k.serveAsks(p, a)
}

// serveAsks answers the asks of an account, in order, as far as it can now.
// The mutex is held.
func (k *Manager) serveAsks(p *partition, a *account) {
	for len(a.asks) > 0 {
		next := a.asks[0]
		switch a.judge(next.most) {
		case granted:
			first := a.untouched()
			a.grant(next)
			k.metrics.granted.Inc(1)
			next.reply(answer{outcome: structs.RoomGranted, target: a.target, first: first})
		case spent:
			k.metrics.spent.Inc(1)
			k.log.Info("budget spent", "program", a.program, "partition", p.number, "budget", a.budget,
				"used", a.used, "most", next.most, "losses", a.losses, "recorded", a.recorded, "epoch", p.own.epoch)
			next.reply(answer{outcome: structs.RoomSpent})
		case awaitSettle:
			return
		case awaitRecord:
			a.wantRecord(next.most)
			k.startWrite(p, a)
			if a.leased == 0 && k.unwritable(p) {
				k.refuseAsks(a, structs.RoomNoRecord, "")
			}
			return
		}
		a.asks = a.asks[1:]
	}
}

// unwritable tells that the store has not taken the last write to a partition
// that this instance owns, so that a turn need not wait for the next one: an
// outage lasts for seconds. The mutex is held.
func (k *Manager) unwritable(p *partition) bool {
	if p.own.claimed {
		return p.own.failing && !k.health.OK()
	}
	return time.Now().Before(p.claimAfter)
}

// refuseAsks answers all asks of an account alike. The mutex is held.
func (k *Manager) refuseAsks(a *account, outcome structs.RoomOutcome, owner structs.InstanceID) {
	for _, waiting := range a.asks {
		if outcome == structs.RoomNoRecord {
			k.metrics.unavailable.Inc(1)
		}
		waiting.reply(answer{outcome: outcome, owner: owner})
	}
	a.asks = nil
}

// receiveSettle ends a lease, or passes the message on to the newest owner.
func (k *Manager) receiveSettle(m *structs.RoomSettle) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Partition < 0 || m.Partition >= len(k.partitions) {
		return
	}
	p := k.partitions[m.Partition]
	if p.own == nil {
		if k.ownerUsable(p) {
			k.peers.Send(p.owner, m)
		}
		return
	}
	k.settle(p, m)
}

// settle ends a lease at the owner. The mutex is held.
func (k *Manager) settle(p *partition, m *structs.RoomSettle) {
	a, ok := p.own.accounts[m.Program]
	if !ok || !a.settle(m.Lease, m.Used) {
		return
	}
	a.touched = time.Now()
	a.noteTarget(m.Target, m.Failed)
	k.serveAsks(p, a)
}

// loseHolder counts the leases of an instance that is gone as used. The mutex
// is held.
func (k *Manager) loseHolder(p *partition, holder structs.InstanceID) {
	for _, a := range p.own.accounts {
		if a.loseHolder(holder) {
			k.serveAsks(p, a)
		}
	}
}

// sweepAccounts forgets the accounts of programs that cannot come back. The
// mutex is held.
func (k *Manager) sweepAccounts(p *partition, now time.Time) {
	k.endLoss(p, now)
	for name, a := range p.own.accounts {
		if a.idle(now) && !p.own.dirty[a] {
			delete(p.own.accounts, name)
		}
	}
	k.forgetLosses(p)
}

// forgetLosses has the partition claimed anew without losses, once no program is
// left that may have used the slice of an owner behind one. Else a partition had
// no slices left after as many losses as there are slices. The mutex is held.
func (k *Manager) forgetLosses(p *partition) {
	if p.own.loss != nil || p.own.losses == 0 || !p.own.claimed {
		return
	}
	for _, a := range p.own.accounts {
		if a.losses > 0 {
			return
		}
	}
	p.own.losses, p.own.claimed = 0, false
	k.startClaim(p)
}

// endLoss ends the charge for a loss once no program that the lost accounts
// held can come back, and the owner that had them is known to have ended: until
// then it might still hand out room without a record. The mutex is held.
func (k *Manager) endLoss(p *partition, now time.Time) {
	l := p.own.loss
	if l == nil || !k.directory.Ended(l.owner) {
		return
	}
	if now.Sub(l.at) > longestRetention(p.own.accounts) {
		p.own.loss = nil
		k.log.Info("loss of accounts is over", "partition", p.number, "epoch", p.own.epoch, "owner", l.owner)
	}
}

// longestRetention is how long any program may come back.
func longestRetention(accounts map[string]*account) time.Duration {
	longest := lostRetention
	for _, a := range accounts {
		longest = max(longest, a.retention)
	}
	return longest
}

// dropOwnership ends this instance's ownership. The mutex is held.
func (k *Manager) dropOwnership(p *partition, owner structs.InstanceID, why string) {
	own := p.own
	p.own = nil
	k.log.Warn("partition lost", "partition", p.number, "epoch", own.epoch, "owner", owner, "reason", why)
	for _, a := range own.accounts {
		k.refuseAsks(a, structs.RoomNotOwner, owner)
	}
}
