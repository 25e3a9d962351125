package budget

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ownership is the state of an owned partition. It is guarded by the mutex of the
// Manager.
type ownership struct {
	// epoch is that of the newest claim behind this ownership: this instance's own if
	// claimed is set, else that of the instance which handed the partition over.
	epoch   int64
	claimed bool
	// sequence numbers the appends of this instance under its epoch.
	sequence int64
	// lifetimes are those in the claim.
	lifetimes Lifetimes
	// crash is set while programs that a crashed owner knew may still return.
	crash *crash
	// crashes is how many earlier owners may have allocated their slice, as recorded
	// in the claim.
	crashes  int
	accounts map[string]*account
	// dirty are the accounts with a record to be written.
	dirty   map[*account]bool
	writing bool
	// writeFailing indicates that writing a record took longer than turns wait.
	writeFailing bool
}

// initialCrashes is the crash count of a program without an account.
func (o *ownership) initialCrashes() int {
	if o.crash == nil {
		return 0
	}
	return o.crashes
}

func newOwnership(epoch int64) *ownership {
	return &ownership{
		epoch:    epoch,
		accounts: make(map[string]*account),
		dirty:    make(map[*account]bool),
	}
}

// admit handles a reservation request at the owner. The mutex is held.
func (m *Manager) admit(p *partition, r structs.ReservationRequest, reply func(result)) {
	a, ok := p.own.accounts[r.Program]
	if !ok {
		if m.maxAccounts > 0 && m.accounts() >= m.maxAccounts {
			m.metrics.full.Inc(1)
			reply(result{outcome: structs.ReservationAccountsFull})
			return
		}
		a = newAccount(r.Program, r.Budget, r.MaxTokens, p.own.initialCrashes())
		p.own.accounts[r.Program] = a
	}
	now := time.Now()
	turnTime := m.lifetimes.Turn
	if r.TimeLeft > 0 {
		turnTime = r.TimeLeft
	}
	a.recordTurnEnd(now)
	a.maxTurn = max(a.maxTurn, r.MaxTokens)
	a.retention = max(a.retention, r.Retention)
	a.waiters = append(a.waiters, &waiter{lease: r.Lease, maxTokens: r.MaxTokens, end: now.Add(turnTime), reply: reply})
	m.serveWaiters(p, a)
}

// accounts returns the number of accounts. The mutex is held.
func (m *Manager) accounts() int {
	n := 0
	for _, p := range m.partitions {
		if p.own != nil {
			n += len(p.own.accounts)
		}
	}
	return n
}

// serveWaiters replies to the waiters of an account, in order, as far as possible now.
// The mutex is held.
func (m *Manager) serveWaiters(p *partition, a *account) {
	for len(a.waiters) > 0 {
		next := a.waiters[0]
		switch a.decide(next.maxTokens) {
		case granted:
			first := a.unused()
			a.grant(next)
			m.metrics.granted.Inc(1)
			next.reply(result{outcome: structs.ReservationGranted, target: a.lastTarget, first: first})
		case exhausted:
			m.metrics.exhausted.Inc(1)
			m.log.Info("budget spent", "program", a.program, "partition", p.number, "budget", a.budget,
				"used", a.used, "most", next.maxTokens, "losses", a.crashes, "recorded", a.recorded, "epoch", p.own.epoch)
			next.reply(result{outcome: structs.ReservationOverBudget})
		case awaitSettle:
			return
		case awaitRecord:
			a.requestRecord(next.maxTokens)
			m.scheduleWrite(p, a)
			if a.leased == 0 && m.unwritable(p) {
				m.refuseWaiters(a, structs.ReservationNotRecorded, "")
			}
			return
		}
		a.waiters = a.waiters[1:]
	}
}

// unwritable reports whether the last write to an owned partition failed, so that turns
// should not wait for another one: outages last for seconds. The mutex is held.
func (m *Manager) unwritable(p *partition) bool {
	if p.own.claimed {
		return p.own.writeFailing && !m.health.OK()
	}
	return time.Now().Before(p.claimAfter)
}

// refuseWaiters sends the same refusal to all waiters of an account. The mutex is
// held.
func (m *Manager) refuseWaiters(a *account, outcome structs.ReservationOutcome, owner structs.InstanceID) {
	for _, waiting := range a.waiters {
		if outcome == structs.ReservationNotRecorded {
			m.metrics.unavailable.Inc(1)
		}
		waiting.reply(result{outcome: outcome, owner: owner})
	}
	a.waiters = nil
}

// receiveSettle settles a lease, or forwards the message to the newest owner.
func (m *Manager) receiveSettle(msg *structs.ReservationSettle) {
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
func (m *Manager) settle(p *partition, msg *structs.ReservationSettle) {
	a, ok := p.own.accounts[msg.Program]
	if !ok || !a.settle(msg.Lease, msg.Used) {
		return
	}
	a.recordTurnEnd(time.Now())
	a.updateTarget(msg.Target, msg.Failed)
	m.serveWaiters(p, a)
	if a.forgettable() && !p.own.dirty[a] {
		delete(p.own.accounts, msg.Program)
	}
}

// chargeLeasesOf counts the leases of an unavailable instance as used. The mutex is
// held.
func (m *Manager) chargeLeasesOf(p *partition, holder structs.InstanceID) {
	for _, a := range p.own.accounts {
		if a.chargeLeasesOf(holder) {
			m.serveWaiters(p, a)
		}
	}
}

// sweepAccounts drops the accounts of expired programs. The mutex is held.
func (m *Manager) sweepAccounts(p *partition, now time.Time) {
	m.expireCrash(p, now)
	for name, a := range p.own.accounts {
		if a.expired(now, m.lifetimes.Retention) && !p.own.dirty[a] {
			delete(p.own.accounts, name)
		}
	}
	m.resetCrashes(p)
}

// resetCrashes claims the partition anew with a crash count of 0, once no program is
// left that may have used the slice of a crashed owner. Otherwise the slices would run
// out for good. The mutex is held.
func (m *Manager) resetCrashes(p *partition) {
	if p.own.crash != nil || p.own.crashes == 0 || !m.mayReclaim(p) {
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

// mayReclaim reports whether an owned partition may be claimed anew now, which would fence
// a write in progress. The mutex is held.
func (m *Manager) mayReclaim(p *partition) bool {
	return p.own.claimed && !p.own.writing && !m.leaving.Load()
}

// expireCrash ends the charge for crashes once no program of the lost accounts can return
// and their owners are known to have ended. The mutex is held.
func (m *Manager) expireCrash(p *partition, now time.Time) {
	c := p.own.crash
	if c == nil {
		return
	}
	c.removeEnded(m.directory.Ended, now)
	if c.expired(now, m.lifetimes) {
		p.own.crash = nil
		m.log.Info("charge for lost accounts ended", "partition", p.number, "epoch", p.own.epoch)
	}
}

// extendClaim claims the partition anew if a later owner would not know how long programs
// may return. The mutex is held.
func (m *Manager) extendClaim(p *partition) {
	if !m.mayReclaim(p) || p.own.lifetimes.merge(m.lifetimes) == p.own.lifetimes {
		return
	}
	p.own.claimed = false
	m.startClaim(p)
}

// dropOwnership ends this instance's ownership. The mutex is held.
func (m *Manager) dropOwnership(p *partition, owner structs.InstanceID, reason string) {
	own := p.own
	p.own = nil
	m.log.Warn("partition lost", "partition", p.number, "epoch", own.epoch, "owner", owner, "reason", reason)
	for _, a := range own.accounts {
		m.refuseWaiters(a, structs.ReservationNotOwner, owner)
	}
}
