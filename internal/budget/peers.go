package budget

import (
	"math/rand/v2"
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// What instances tell each other of who owns a partition, and who watches whom.

// peerUp notes that an instance answers, and tells it what this one owns.
func (m *Manager) peerUp(id structs.InstanceID) {
	m.directory.SetSilent(id, false)
	m.mu.Lock()
	m.resolveProbes(id)
	m.rewatchOwner(id)
	notice := m.ownerNotice()
	m.mu.Unlock()
	if len(notice.Owned) > 0 {
		m.peers.Send(id, notice)
	}
}

// ownerNotice lists what this instance owns. The mutex is held.
func (m *Manager) ownerNotice() *structs.OwnerNotice {
	notice := new(structs.OwnerNotice)
	for _, p := range m.partitions {
		if p.own != nil {
			notice.Owned = append(notice.Owned, structs.OwnedPartition{Partition: p.number, Epoch: p.own.epoch})
		}
	}
	return notice
}

// peerDown notes that an instance does not answer: its turns count at their
// most, its partitions get another owner, and what was asked of it is asked
// again elsewhere.
func (m *Manager) peerDown(id structs.InstanceID) {
	m.directory.SetSilent(id, true)
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

// receiveNotice takes over who owns partitions.
func (m *Manager) receiveNotice(from structs.InstanceID, notice *structs.OwnerNotice) {
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

// setOwner notes who owns a partition. The mutex is held.
func (m *Manager) setOwner(p *partition, owner structs.InstanceID, epoch int64) {
	changed := p.owner != owner
	p.owner, p.epoch = owner, max(p.epoch, epoch)
	if changed {
		m.watchOwners()
	}
}

// redirectPending ends the requests that wait for an answer of a former owner, which may
// be silent, once the new one has told that it claimed the partition. Room that a
// late answer grants is given back. The mutex is held.
func (m *Manager) redirectPending(p *partition) {
	for lease, pending := range m.pending {
		if pending.request.Partition == p.number && pending.owner != p.owner {
			delete(m.pending, lease)
			pending.result <- result{outcome: structs.RoomNotOwner, owner: p.owner}
		}
	}
}

// watchersPerOwner is how many instances watch the owner of a partition: those that
// would claim it, in rendezvous order. They tell all others who claimed. The
// others notice a silent owner when they ask it. If all watched, heartbeats would
// grow with instances times owners. Small deployments have all watch.
const watchersPerOwner = 16

// watchOwners has the other owners watched whose partitions this instance would
// claim, so that a silent one is noticed before a turn waits for it, and those that
// did not answer, so that their return is noticed. The mutex is held.
func (m *Manager) watchOwners() {
	m.watchVersion = m.directory.Version()
	var watched []structs.InstanceID
	for _, p := range m.partitions {
		if p.owner == "" || p.owner == m.self.ID || slices.Contains(watched, p.owner) {
			continue
		}
		if m.directory.Doubted(p.owner) || m.directory.RankOf(p.key(), m.self.ID) < watchersPerOwner {
			watched = append(watched, p.owner)
		}
	}
	m.peers.Watch(watched)
}

// rewatchIfChanged looks again whom to watch if the list of instances has changed: it takes
// a look at each instance for each partition. The mutex is held.
func (m *Manager) rewatchIfChanged() {
	if m.directory.Version() != m.watchVersion {
		m.watchOwners()
	}
}

// rewatchOwner looks again whom to watch after an instance went silent or came back, if
// it owns a partition. The mutex is held.
func (m *Manager) rewatchOwner(id structs.InstanceID) {
	for _, p := range m.partitions {
		if p.owner == id {
			m.watchOwners()
			return
		}
	}
}

// maxAnnounceDials bounds the instances that are told of a claim without a connection to
// them: a dial to each of hundreds takes a small machine seconds. The others notice the
// silent owner when they ask it.
const maxAnnounceDials = 128

// announce tells others what this instance owns: those that are connected and, if they
// may wait for a silent former owner, others too. When all instances start together
// nobody waits.
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
