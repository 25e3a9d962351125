package budget

import (
	"math/rand/v2"
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Ownership notices between instances, and which instances watch each other.

// peerUp marks an instance as available and notifies it of the partitions owned here.
func (m *Manager) peerUp(id structs.InstanceID) {
	m.directory.SetUnresponsive(id, false)
	m.mu.Lock()
	m.resolveProbes(id)
	m.rewatchOwner(id)
	notice := m.ownerNotice()
	m.mu.Unlock()
	if len(notice.Owned) > 0 {
		m.peers.Send(id, notice)
	}
}

// ownerNotice lists the partitions owned here. The mutex is held.
func (m *Manager) ownerNotice() *structs.OwnerNotice {
	notice := new(structs.OwnerNotice)
	for _, p := range m.partitions {
		if p.own != nil {
			notice.Owned = append(notice.Owned, structs.OwnedPartition{Partition: p.number, Epoch: p.own.epoch})
		}
	}
	return notice
}

// peerDown marks an instance as unavailable: its leases are charged, its partitions
// are claimed if this instance ranks first, and requests to it are sent elsewhere.
func (m *Manager) peerDown(id structs.InstanceID) {
	m.directory.SetUnresponsive(id, true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resolveProbes(id)
	m.rewatchOwner(id)
	for _, p := range m.partitions {
		if p.own != nil {
			m.chargeLeasesOf(p, id)
		}
		if p.own == nil && p.owner == id && m.preferredOwner(p) == m.self.ID {
			m.startClaim(p)
		}
	}
	for lease, pending := range m.pending {
		if pending.owner == id {
			delete(m.pending, lease)
			pending.result <- result{outcome: noReply}
		}
	}
}

// receiveOwnerNotice updates the owners of partitions.
func (m *Manager) receiveOwnerNotice(from structs.InstanceID, notice *structs.OwnerNotice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, owned := range notice.Owned {
		if owned.Partition < 0 || owned.Partition >= len(m.partitions) {
			continue
		}
		p := m.partitions[owned.Partition]
		if owned.Epoch < p.epoch {
			continue
		}
		if p.own != nil && owned.Epoch > p.own.epoch {
			m.dropOwnership(p, from, "another instance owns it")
		}
		if p.own == nil {
			m.setOwner(p, from, owned.Epoch)
			m.redirectPending(p)
		}
	}
}

// setOwner sets the known owner of a partition. The mutex is held.
func (m *Manager) setOwner(p *partition, owner structs.InstanceID, epoch int64) {
	changed := p.owner != owner
	p.owner, p.epoch = owner, max(p.epoch, epoch)
	if changed {
		m.watchOwners()
	}
}

// redirectPending ends the requests to former owners of a partition, which may be
// unresponsive, once the new owner is known. Tokens granted by a late reply are
// returned. The mutex is held.
func (m *Manager) redirectPending(p *partition) {
	for lease, pending := range m.pending {
		if pending.request.Partition == p.number && pending.owner != p.owner {
			delete(m.pending, lease)
			pending.result <- result{outcome: structs.ReservationNotOwner, owner: p.owner}
		}
	}
}

// watchersPerOwner is how many instances watch the owner of a partition: the first in
// rendezvous order, which would claim it and notify the others. The rest detect an
// unresponsive owner when they send it a request. The bound keeps heartbeats from
// growing with instances times owners.
const watchersPerOwner = 16

// watchOwners watches the owners whose partitions this instance would claim, to detect
// a crash before a turn waits for it, and unresponsive owners, to detect their
// recovery. The mutex is held.
func (m *Manager) watchOwners() {
	m.watchVersion = m.directory.Version()
	var watched []structs.InstanceID
	for _, p := range m.partitions {
		if p.owner == "" || p.owner == m.self.ID || slices.Contains(watched, p.owner) {
			continue
		}
		if m.directory.Suspected(p.owner) || m.directory.Rank(p.key(), m.self.ID) < watchersPerOwner {
			watched = append(watched, p.owner)
		}
	}
	m.peers.Watch(watched)
}

// rewatchIfChanged recomputes the watched instances if the list of instances has
// changed. The mutex is held.
func (m *Manager) rewatchIfChanged() {
	if m.directory.Version() != m.watchVersion {
		m.watchOwners()
	}
}

// rewatchOwner recomputes the watched instances after the availability of an owner
// changed. The mutex is held.
func (m *Manager) rewatchOwner(id structs.InstanceID) {
	for _, p := range m.partitions {
		if p.owner == id {
			m.watchOwners()
			return
		}
	}
}

// maxAnnounceDials bounds the instances that are notified of a claim without an
// existing connection: dialling hundreds takes seconds on a small machine. The others
// detect the unresponsive owner when they send it a request.
const maxAnnounceDials = 128

// announce notifies other instances of the partitions owned here: those that are
// connected and, if they may wait for an unresponsive previous owner, a random
// selection of others.
func (m *Manager) announce(previousOwner structs.InstanceID) {
	m.mu.Lock()
	notice := m.ownerNotice()
	m.mu.Unlock()
	m.peers.Broadcast(notice)
	if previousOwner == "" || previousOwner == m.self.ID || m.directory.Ended(previousOwner) {
		return
	}
	others := m.directory.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, p := range others[:min(len(others), maxAnnounceDials)] {
		m.peers.Send(p.ID, notice)
	}
}
