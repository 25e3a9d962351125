package budget

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// handoverTimeout is how long an instance that leaves waits for a successor's
// answer; a round trip takes a few milliseconds.
const handoverTimeout = 500 * time.Millisecond

// Leave hands all partitions over to other instances. The Keeper goes on
// asking other owners for this instance's turns.
func (k *Manager) Leave(ctx context.Context) {
	k.leaving.Store(true)
	k.directory.SetLeaving(k.self.ID)
	k.tellLeaving()
	for _, p := range k.partitions {
		k.handOver(ctx, p)
	}
}

// tellLeaving tells those who may ask this instance, or would claim what it owns, that
// it leaves. An instance that is not told and asks is sent on. To tell all would take
// a connection to each: a small machine needs its grace period for that where there
// are hundreds.
func (k *Manager) tellLeaving() {
	k.peers.Broadcast(new(structs.Leaving))
	for _, id := range k.successors() {
		k.peers.Send(id, new(structs.Leaving))
	}
}

// successors lists the instances that would claim the partitions of this one.
func (k *Manager) successors() []structs.InstanceID {
	k.mu.Lock()
	defer k.mu.Unlock()
	var successors []structs.InstanceID
	for _, p := range k.partitions {
		if p.own == nil {
			continue
		}
		for _, id := range k.directory.TopN(p.key(), standbys) {
			if id != k.self.ID && !slices.Contains(successors, id) {
				successors = append(successors, id)
			}
		}
	}
	return successors
}

// handOver gives a partition to the first instance that takes it. Only an
// explicit refusal lets the next one be asked: an answer that does not come
// may mean that the first has the partition.
func (k *Manager) handOver(ctx context.Context, p *partition) {
	for _, successor := range k.directory.Ranked(p.key()) {
		if successor == k.self.ID {
			continue
		}
		taken, known := k.handOverTo(ctx, p, successor)
		if taken || !known {
			return
		}
	}
}

// relieve hands the partitions over while the store refuses this instance, if
// another one reaches it: an owner has to write records.
func (k *Manager) relieve(ctx context.Context) {
	for _, p := range k.partitions {
		k.mu.Lock()
		owned := p.own != nil
		k.mu.Unlock()
		if !owned {
			continue
		}
		successor, ok := k.findSuccessor(ctx, p)
		if !ok {
			return
		}
		k.handOverTo(ctx, p, successor)
	}
}

// findSuccessor asks one instance, another one each time, whether it would take
// a partition.
func (k *Manager) findSuccessor(ctx context.Context, p *partition) (structs.InstanceID, bool) {
	others := k.directory.Others()
	if len(others) == 0 {
		return "", false
	}
	asked := others[rand.IntN(len(others))].ID
	answers := make(chan bool, 1)
	k.mu.Lock()
	offer := &structs.PartitionHandover{Number: k.nextNumber(), Partition: p.number, Offer: true}
	k.handovers[offer.Number] = answers
	k.mu.Unlock()
	k.peers.Send(asked, offer)
	would, known := k.awaitHandover(ctx, offer.Number, answers)
	return asked, would && known
}

// handOverTo gives a partition to one instance. It returns whether that has
// taken it, and whether this is known.
func (k *Manager) handOverTo(ctx context.Context, p *partition, successor structs.InstanceID) (taken, known bool) {
	k.mu.Lock()
	own := p.own
	if own == nil {
		k.mu.Unlock()
		return true, true
	}
	message := k.exportPartition(p)
	answers := make(chan bool, 1)
	k.handovers[message.Number] = answers
	// From here on this instance hands out no room.
	p.own = nil
	k.setOwner(p, successor, own.epoch)
	for _, a := range own.accounts {
		k.refuseAsks(a, structs.RoomNotOwner, successor)
	}
	k.mu.Unlock()
	k.peers.Send(successor, message)
	taken, known = k.awaitHandover(ctx, message.Number, answers)
	if taken {
		k.metrics.handovers.Inc(1)
	}
	k.log.Info("partition handed over", "partition", p.number, "epoch", own.epoch, "successor", successor,
		"accounts", len(own.accounts), "taken", taken, "known", known)
	if known && !taken {
		k.takeBack(p, own)
	}
	return taken, known
}

// exportPartition makes the message that hands a partition over. The mutex is
// held.
func (k *Manager) exportPartition(p *partition) *structs.PartitionHandover {
	now := time.Now()
	message := &structs.PartitionHandover{
		Number: k.nextNumber(), Partition: p.number, Epoch: p.own.epoch, Losses: p.own.losses,
	}
	if l := p.own.loss; l != nil {
		message.LostBy, message.LostFor = l.owner, now.Sub(l.at)
	}
	for _, a := range p.own.accounts {
		message.Accounts = append(message.Accounts, a.export(now))
	}
	return message
}

func (k *Manager) awaitHandover(ctx context.Context, number uint64, answers chan bool) (taken, known bool) {
	timer := time.NewTimer(handoverTimeout)
	defer timer.Stop()
	defer func() {
		k.mu.Lock()
		delete(k.handovers, number)
		k.mu.Unlock()
	}()
	select {
	case taken = <-answers:
		return taken, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, false
}

// takeBack resumes an ownership that the successor has refused.
func (k *Manager) takeBack(p *partition, own *ownership) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.own != nil || p.epoch > own.epoch {
		return
	}
	p.own = own
	k.setOwner(p, k.self.ID, own.epoch)
	for a := range own.dirty {
		k.startWrite(p, a)
	}
}

func (k *Manager) receiveHandoverReply(m *structs.HandoverReply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if answers, ok := k.handovers[m.Number]; ok {
		answers <- m.Accepted
		delete(k.handovers, m.Number)
	}
}

// receiveHandover takes a partition over, unless this instance leaves or knows
// of a newer owner.
func (k *Manager) receiveHandover(from structs.InstanceID, m *structs.PartitionHandover) {
	if m.Offer {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.spawn(func() { k.answerOffer(from, m) })
		return
	}
	accepted := k.takeOver(from, m)
	k.peers.Send(from, &structs.HandoverReply{Number: m.Number, Accepted: accepted})
	if accepted {
		// Who asks the former owner is sent on by it.
		k.mu.Lock()
		notice := k.ownNotice()
		k.mu.Unlock()
		k.peers.Broadcast(notice)
	}
}

// answerOffer tells whether this instance would take a partition over: whether the
// store serves it the partition. What others say of the store is no sign of that.
func (k *Manager) answerOffer(from structs.InstanceID, m *structs.PartitionHandover) {
	would := !k.leaving.Load() && k.health.OK() && m.Partition >= 0 && m.Partition < len(k.partitions)
	if would {
		_, err := k.read(k.partitions[m.Partition])
		would = err == nil
	}
	k.peers.Send(from, &structs.HandoverReply{Number: m.Number, Accepted: would})
}

func (k *Manager) takeOver(from structs.InstanceID, m *structs.PartitionHandover) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving.Load() || m.Partition < 0 || m.Partition >= len(k.partitions) {
		return false
	}
	p := k.partitions[m.Partition]
	if p.own != nil || p.epoch > m.Epoch {
		return false
	}
	now := time.Now()
	p.own = newOwnership(m.Epoch)
	p.own.losses = lossesKnown(m.Losses, m.LostBy != "")
	if m.LostBy != "" {
		p.own.loss = &loss{owner: m.LostBy, at: now.Add(-m.LostFor)}
	}
	for _, a := range m.Accounts {
		p.own.accounts[a.Program] = imported(a, now)
	}
	k.setOwner(p, k.self.ID, m.Epoch)
	k.log.Info("partition taken over", "partition", p.number, "epoch", m.Epoch, "from", from,
		"accounts", len(m.Accounts))
	k.startClaim(p)
	return true
}
