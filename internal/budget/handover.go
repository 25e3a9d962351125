package budget

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// handoverTimeout bounds the wait for a successor's reply on shutdown. A round trip
// takes a few milliseconds.
const handoverTimeout = 500 * time.Millisecond

// Leave hands all partitions over to other instances. The Manager still reserves tokens
// for the turns of this instance at other owners.
func (m *Manager) Leave(ctx context.Context) {
	m.leaving.Store(true)
	m.directory.SetLeaving(m.self.ID)
	m.announceLeaving()
	for _, p := range m.partitions {
		m.handOver(ctx, p)
	}
}

// announceLeaving notifies the connected instances and the likely successors that this
// instance shuts down. Others are redirected when they send a request. Connecting to
// each of hundreds of instances would take longer than the grace period of a small
// machine.
func (m *Manager) announceLeaving() {
	m.peers.Broadcast(new(structs.Leaving))
	for _, id := range m.successors() {
		m.peers.Send(id, new(structs.Leaving))
	}
}

// successors lists the instances that would claim the partitions of this one.
func (m *Manager) successors() []structs.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var successors []structs.InstanceID
	for _, p := range m.partitions {
		if p.own == nil {
			continue
		}
		for _, id := range m.directory.TopN(p.key(), watchersPerOwner) {
			if id != m.self.ID && !slices.Contains(successors, id) {
				successors = append(successors, id)
			}
		}
	}
	return successors
}

// handOver hands a partition to the first instance that accepts it. The next one is
// tried only after an explicit refusal: without a reply the first may own the
// partition.
func (m *Manager) handOver(ctx context.Context, p *partition) {
	for _, successor := range m.directory.Ranked(p.key()) {
		if successor == m.self.ID {
			continue
		}
		accepted, known := m.handOverTo(ctx, p, successor)
		if accepted || !known {
			return
		}
	}
}

// evacuate hands the partitions over while the store rejects this instance but serves
// another one: an owner must be able to write records.
func (m *Manager) evacuate(ctx context.Context) {
	for _, p := range m.partitions {
		m.mu.Lock()
		owned := p.own != nil
		m.mu.Unlock()
		if !owned {
			continue
		}
		successor, ok := m.findSuccessor(ctx, p)
		if !ok {
			return
		}
		m.handOverTo(ctx, p, successor)
	}
}

// findSuccessor asks a random instance whether it would accept a partition.
func (m *Manager) findSuccessor(ctx context.Context, p *partition) (structs.InstanceID, bool) {
	others := m.directory.Others()
	if len(others) == 0 {
		return "", false
	}
	candidate := others[rand.IntN(len(others))].ID
	replies := make(chan bool, 1)
	m.mu.Lock()
	offer := &structs.PartitionHandover{Number: m.nextNumber(), Partition: p.number, Offer: true}
	m.handovers[offer.Number] = replies
	m.mu.Unlock()
	m.peers.Send(candidate, offer)
	willing, known := m.awaitHandover(ctx, offer.Number, replies)
	return candidate, willing && known
}

// handOverTo hands a partition to one instance. It returns whether that accepted it,
// and whether the outcome is known.
func (m *Manager) handOverTo(ctx context.Context, p *partition, successor structs.InstanceID) (accepted, known bool) {
	m.mu.Lock()
	own := p.own
	if own == nil {
		m.mu.Unlock()
		return true, true
	}
	message := m.exportPartition(p)
	replies := make(chan bool, 1)
	m.handovers[message.Number] = replies
	// From here on this instance allocates nothing.
	p.own = nil
	m.setOwner(p, successor, own.epoch)
	for _, a := range own.accounts {
		m.refuseWaiters(a, structs.ReservationNotOwner, successor)
	}
	m.mu.Unlock()
	m.peers.Send(successor, message)
	accepted, known = m.awaitHandover(ctx, message.Number, replies)
	if accepted {
		m.metrics.handovers.Inc(1)
	}
	m.log.Info("partition handed over", "partition", p.number, "epoch", own.epoch, "successor", successor,
		"accounts", len(own.accounts), "taken", accepted, "known", known)
	if known && !accepted {
		m.resumeOwnership(p, own)
	}
	return accepted, known
}

// exportPartition returns the message that hands a partition over. The mutex is held.
func (m *Manager) exportPartition(p *partition) *structs.PartitionHandover {
	now := time.Now()
	message := &structs.PartitionHandover{
		Number: m.nextNumber(), Partition: p.number, Epoch: p.own.epoch, Crashes: p.own.crashes,
	}
	if c := p.own.crash; c != nil {
		message.CrashedOwner, message.CrashedOwners = c.last, slices.Clone(c.owners)
		message.SinceCrash = now.Sub(c.lastGrant)
	}
	for _, a := range p.own.accounts {
		message.Accounts = append(message.Accounts, a.export(now, m.lifetimes.Retention))
	}
	return message
}

func (m *Manager) awaitHandover(ctx context.Context, number uint64, replies chan bool) (accepted, known bool) {
	timer := time.NewTimer(handoverTimeout)
	defer timer.Stop()
	defer func() {
		m.mu.Lock()
		delete(m.handovers, number)
		m.mu.Unlock()
	}()
	select {
	case accepted = <-replies:
		return accepted, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, false
}

// resumeOwnership takes a partition back after the successor refused it.
func (m *Manager) resumeOwnership(p *partition, own *ownership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.own != nil || p.epoch > own.epoch {
		return
	}
	p.own = own
	m.setOwner(p, m.self.ID, own.epoch)
	for a := range own.dirty {
		m.scheduleWrite(p, a)
	}
}

func (m *Manager) receiveHandoverReply(msg *structs.HandoverReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if replies, ok := m.handovers[msg.Number]; ok {
		replies <- msg.Accepted
		delete(m.handovers, msg.Number)
	}
}

// receiveHandover takes a partition over, unless this instance is leaving or knows a
// newer owner.
func (m *Manager) receiveHandover(from structs.InstanceID, msg *structs.PartitionHandover) {
	if msg.Offer {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.spawn(func() { m.replyToOffer(from, msg) })
		return
	}
	accepted := m.acceptHandover(from, msg)
	m.peers.Send(from, &structs.HandoverReply{Number: msg.Number, Accepted: accepted})
	if accepted {
		// The other instances are redirected by the former owner.
		m.mu.Lock()
		notice := m.ownerNotice()
		m.mu.Unlock()
		m.peers.Broadcast(notice)
	}
}

// replyToOffer replies whether this instance would accept a partition, which it would
// if the store serves it that partition.
func (m *Manager) replyToOffer(from structs.InstanceID, msg *structs.PartitionHandover) {
	willing := !m.leaving.Load() && m.health.OK() && msg.Partition >= 0 && msg.Partition < len(m.partitions)
	if willing {
		_, err := m.read(m.partitions[msg.Partition])
		willing = err == nil
	}
	m.peers.Send(from, &structs.HandoverReply{Number: msg.Number, Accepted: willing})
}

func (m *Manager) acceptHandover(from structs.InstanceID, msg *structs.PartitionHandover) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving.Load() || msg.Partition < 0 || msg.Partition >= len(m.partitions) {
		return false
	}
	p := m.partitions[msg.Partition]
	if p.own != nil || p.epoch > msg.Epoch {
		return false
	}
	now := time.Now()
	p.own = newOwnership(msg.Epoch)
	p.own.crashes = reportedCrashes(msg.Crashes, msg.CrashedOwner != "")
	if msg.CrashedOwner != "" {
		p.own.crash = &crash{
			last: msg.CrashedOwner, owners: slices.Clone(msg.CrashedOwners), lastGrant: now.Add(-msg.SinceCrash),
		}
		if !m.directory.Ended(msg.CrashedOwner) {
			p.own.crash.add(msg.CrashedOwner)
		}
	}
	for _, a := range msg.Accounts {
		p.own.accounts[a.Program] = importAccount(a, now, m.lifetimes.Turn)
	}
	m.setOwner(p, m.self.ID, msg.Epoch)
	m.log.Info("partition taken over", "partition", p.number, "epoch", msg.Epoch, "from", from,
		"accounts", len(msg.Accounts))
	m.startClaim(p)
	return true
}
