package budget

import (
	"math/rand/v2"
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// What instances tell each other of who owns a partition, and who watches whom.

// peerUp notes that an instance answers, and tells it what this one owns.
func (k *Manager) peerUp(id structs.InstanceID) {
	k.directory.SetUnresponsive(id, false)
	k.mu.Lock()
	k.confirmed(id)
	k.rewatch(id)
	notice := k.ownNotice()
	k.mu.Unlock()
	if len(notice.Owned) > 0 {
		k.peers.Send(id, notice)
	}
}

// ownNotice lists what this instance owns. The mutex is held.
func (k *Manager) ownNotice() *structs.OwnerNotice {
	notice := new(structs.OwnerNotice)
	for _, p := range k.partitions {
		if p.own != nil {
			notice.Owned = append(notice.Owned, structs.OwnedPartition{Partition: p.number, Epoch: p.own.epoch})
		}
	}
	return notice
}

// peerDown notes that an instance does not answer: its turns count at their
// most, its partitions get another owner, and what was asked of it is asked
// again elsewhere.
func (k *Manager) peerDown(id structs.InstanceID) {
	k.directory.SetUnresponsive(id, true)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed(id)
	k.rewatch(id)
	for _, p := range k.partitions {
		if p.own != nil {
			k.loseHolder(p, id)
		}
		if p.own == nil && p.owner == id && k.firstChoice(p) == k.self.ID {
			k.startClaim(p)
		}
	}
	for lease, pending := range k.pending {
		if pending.asked == id {
			delete(k.pending, lease)
			pending.answer <- answer{outcome: lost}
		}
	}
}

// receiveNotice takes over who owns partitions.
func (k *Manager) receiveNotice(from structs.InstanceID, notice *structs.OwnerNotice) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, owned := range notice.Owned {
		if owned.Partition < 0 || owned.Partition >= len(k.partitions) {
			continue
		}
		p := k.partitions[owned.Partition]
		if owned.Epoch < p.epoch {
			continue
		}
		if p.own != nil && owned.Epoch > p.own.epoch {
			k.dropOwnership(p, from, "another instance owns it")
		}
		if p.own == nil {
			k.setOwner(p, from, owned.Epoch)
			k.redirect(p)
		}
	}
}

// setOwner notes who owns a partition. The mutex is held.
func (k *Manager) setOwner(p *partition, owner structs.InstanceID, epoch int64) {
	changed := p.owner != owner
	p.owner, p.epoch = owner, max(p.epoch, epoch)
	if changed {
		k.watchOwners()
	}
}

// redirect ends the requests that wait for an answer of a former owner, which may
// be silent, once the new one has told that it claimed the partition. Room that a
// late answer grants is given back. The mutex is held.
func (k *Manager) redirect(p *partition) {
	for lease, pending := range k.pending {
		if pending.request.Partition == p.number && pending.asked != p.owner {
			delete(k.pending, lease)
			pending.answer <- answer{outcome: structs.RoomNotOwner, owner: p.owner}
		}
	}
}

// standbys is how many instances watch the owner of a partition: those that
// would claim it, in rendezvous order. They tell all others who claimed. The
// others notice a silent owner when they ask it. If all watched, heartbeats would
// grow with instances times owners. Small deployments have all watch.
const standbys = 16

// watchOwners has the other owners watched whose partitions this instance would
// claim, so that a silent one is noticed before a turn waits for it, and those that
// did not answer, so that their return is noticed. The mutex is held.
func (k *Manager) watchOwners() {
	k.watchedAt = k.directory.Version()
	var watched []structs.InstanceID
	for _, p := range k.partitions {
		if p.owner == "" || p.owner == k.self.ID || slices.Contains(watched, p.owner) {
			continue
		}
		if k.directory.Suspected(p.owner) || k.directory.Rank(p.key(), k.self.ID) < standbys {
			watched = append(watched, p.owner)
		}
	}
	k.peers.Watch(watched)
}

// watchChanged looks again whom to watch if the list of instances has changed: it takes
// a look at each instance for each partition. The mutex is held.
func (k *Manager) watchChanged() {
	if k.directory.Version() != k.watchedAt {
		k.watchOwners()
	}
}

// rewatch looks again whom to watch after an instance went silent or came back, if
// it owns a partition. The mutex is held.
func (k *Manager) rewatch(id structs.InstanceID) {
	for _, p := range k.partitions {
		if p.owner == id {
			k.watchOwners()
			return
		}
	}
}

// announceMost bounds the instances that are told of a claim without a connection to
// them: a dial to each of hundreds takes a small machine seconds. The others notice the
// silent owner when they ask it.
const announceMost = 128

// announce tells others what this instance owns: those that are connected and, if they
// may wait for a silent former owner, others too. When all instances start together
// nobody waits.
func (k *Manager) announce(former structs.InstanceID) {
	k.mu.Lock()
	notice := k.ownNotice()
	k.mu.Unlock()
	k.peers.Broadcast(notice)
	if former == "" || former == k.self.ID || k.directory.Ended(former) {
		return
	}
	others := k.directory.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, p := range others[:min(len(others), announceMost)] {
		k.peers.Send(p.ID, notice)
	}
}
