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
	// crash is set while programs may come that an earlier owner knew and this
	// one does not.
	crash *crash
	// crashes is how many owners before this one may have handed out their slice,
	// as the claim says.
	crashes  int
	accounts map[string]*account
	// dirty are the accounts with a record to be written.
	dirty   map[*account]bool
	writing bool
	// writeFailing tells that a record could not be written for longer than turns
	// wait for it.
	writeFailing bool
}

// initialCrashes is how many losses a program may have lived through that comes
// without an account.
func (o *ownership) initialCrashes() int {
	if o.crash == nil {
		return 0
	}
	return o.crashes
}

// crash is the loss of a partition's accounts.
type crash struct {
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
func (m *Manager) admit(p *partition, r structs.RoomRequest, reply func(result)) {
	a, ok := p.own.accounts[r.Program]
	if !ok {
		a = newAccount(r.Program, r.Budget, r.Most, p.own.initialCrashes())
		p.own.accounts[r.Program] = a
	}
	a.lastUsed = time.Now()
	a.maxTurn = max(a.maxTurn, r.Most)
	a.retention = max(a.retention, r.Retention)
	a.waiters = append(a.waiters, &waiter{lease: r.Lease, maxTokens: r.Most, reply: reply})
	m.serveWaiters(p, a)
}

// serveWaiters answers the asks of an account, in order, as far as it can now.
// The mutex is held.
func (m *Manager) serveWaiters(p *partition, a *account) {
	for len(a.waiters) > 0 {
		next := a.waiters[0]
		switch a.decide(next.maxTokens) {
		case granted:
			first := a.unused()
			a.grant(next)
			m.metrics.granted.Inc(1)
			next.reply(result{outcome: structs.RoomGranted, target: a.lastTarget, first: first})
		case exhausted:
			m.metrics.exhausted.Inc(1)
			m.log.Info("budget spent", "program", a.program, "partition", p.number, "budget", a.budget,
				"used", a.used, "most", next.maxTokens, "losses", a.crashes, "recorded", a.recorded, "epoch", p.own.epoch)
			next.reply(result{outcome: structs.RoomSpent})
		case awaitSettle:
			return
		case awaitRecord:
			a.requestRecord(next.maxTokens)
			m.scheduleWrite(p, a)
			if a.leased == 0 && m.unwritable(p) {
				m.refuseWaiters(a, structs.RoomNoRecord, "")
			}
			return
		}
		a.waiters = a.waiters[1:]
	}
}

// unwritable tells that the store has not taken the last write to a partition
// that this instance owns, so that a turn need not wait for the next one: an
// outage lasts for seconds. The mutex is held.
func (m *Manager) unwritable(p *partition) bool {
	if p.own.claimed {
		return p.own.writeFailing && !m.health.OK()
	}
	return time.Now().Before(p.claimAfter)
}

// refuseWaiters answers all asks of an account alike. The mutex is held.
func (m *Manager) refuseWaiters(a *account, outcome structs.RoomOutcome, owner structs.InstanceID) {
	for _, waiting := range a.waiters {
		if outcome == structs.RoomNoRecord {
			m.metrics.unavailable.Inc(1)
		}
		waiting.reply(result{outcome: outcome, owner: owner})
	}
	a.waiters = nil
}

// receiveSettle ends a lease, or passes the message on to the newest owner.
func (m *Manager) receiveSettle(msg *structs.RoomSettle) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.Partition < 0 || msg.Partition >= len(m.partitions) {
		return
	}
	p := m.partitions[msg.Partition]
	if p.own == nil {
		if m.ownerUsable(p) {
			m.peers.Send(p.owner, msg)
		}
		return
	}
	m.settle(p, msg)
}

// settle ends a lease at the owner. The mutex is held.
func (m *Manager) settle(p *partition, msg *structs.RoomSettle) {
	a, ok := p.own.accounts[msg.Program]
	if !ok || !a.settle(msg.Lease, msg.Used) {
		return
	}
	a.lastUsed = time.Now()
	a.updateTarget(msg.Target, msg.Failed)
	m.serveWaiters(p, a)
}

// chargeLeasesOf counts the leases of an instance that is gone as used. The mutex
// is held.
func (m *Manager) chargeLeasesOf(p *partition, holder structs.InstanceID) {
	for _, a := range p.own.accounts {
		if a.chargeLeasesOf(holder) {
			m.serveWaiters(p, a)
		}
	}
}

// sweepAccounts forgets the accounts of programs that cannot come back. The
// mutex is held.
func (m *Manager) sweepAccounts(p *partition, now time.Time) {
	m.expireCrash(p, now)
	for name, a := range p.own.accounts {
		if a.expired(now) && !p.own.dirty[a] {
			delete(p.own.accounts, name)
		}
	}
	m.resetCrashes(p)
}

// resetCrashes has the partition claimed anew without losses, once no program is
// left that may have used the slice of an owner behind one. Else a partition had
// no slices left after as many losses as there are slices. The mutex is held.
func (m *Manager) resetCrashes(p *partition) {
	if p.own.crash != nil || p.own.crashes == 0 || !p.own.claimed {
		return
	}
	for _, a := range p.own.accounts {
		if a.crashes > 0 {
			return
		}
	}
	p.own.crashes, p.own.claimed = 0, false
	m.startClaim(p)
}

// expireCrash ends the charge for a loss once no program that the lost accounts
// held can come back, and the owner that had them is known to have ended: until
// then it might still hand out room without a record. The mutex is held.
func (m *Manager) expireCrash(p *partition, now time.Time) {
	l := p.own.crash
	if l == nil || !m.directory.Ended(l.owner) {
		return
	}
	if now.Sub(l.at) > longestRetention(p.own.accounts) {
		p.own.crash = nil
		m.log.Info("loss of accounts is over", "partition", p.number, "epoch", p.own.epoch, "owner", l.owner)
	}
}

// longestRetention is how long any program may come back.
func longestRetention(accounts map[string]*account) time.Duration {
	longest := defaultRetention
	for _, a := range accounts {
		longest = max(longest, a.retention)
	}
	return longest
}

// dropOwnership ends this instance's ownership. The mutex is held.
func (m *Manager) dropOwnership(p *partition, owner structs.InstanceID, reason string) {
	own := p.own
	p.own = nil
	m.log.Warn("partition lost", "partition", p.number, "epoch", own.epoch, "owner", owner, "reason", reason)
	for _, a := range own.accounts {
		m.refuseWaiters(a, structs.RoomNotOwner, owner)
	}
}
