package budget

import (
	"math/rand/v2"
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// What instances tell each other of who owns a partition, and who watches whom.

// peerUp notes that an instance answers, and tells it what this one owns.
func (k *Manager) peerUp(id structs.InstanceID) {
	k.directory.SetSilent(id, false)
	k.mu.Lock()
	k.resolveProbes(id)
	k.rewatchOwner(id)
	notice := k.ownerNotice()
	k.mu.Unlock()
	if len(notice.Owned) > 0 {
		k.peers.Send(id, notice)
	}
}

// ownerNotice lists what this instance owns. The mutex is held.
func (k *Manager) ownerNotice() *structs.OwnerNotice {
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
	k.directory.SetSilent(id, true)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resolveProbes(id)
	k.rewatchOwner(id)
	for _, p := range k.partitions {
		if p.own != nil {
			k.chargeLeasesOf(p, id)
		}
		if p.own == nil && p.owner == id && k.preferredOwner(p) == k.self.ID {
			k.startClaim(p)
		}
	}
	for lease, pending := range k.pending {
		if pending.owner == id {
			delete(k.pending, lease)
			pending.result <- result{outcome: noReply}
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
			k.redirectPending(p)
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

// redirectPending ends the requests that wait for an answer of a former owner, which may
// be silent, once the new one has told that it claimed the partition. Room that a
// late answer grants is given back. The mutex is held.
func (k *Manager) redirectPending(p *partition) {
	for lease, pending := range k.pending {
		if pending.request.Partition == p.number && pending.owner != p.owner {
			delete(k.pending, lease)
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
func (k *Manager) watchOwners() {
	k.watchVersion = k.directory.Version()
	var watched []structs.InstanceID
	for _, p := range k.partitions {
		if p.owner == "" || p.owner == k.self.ID || slices.Contains(watched, p.owner) {
			continue
		}
		if k.directory.Doubted(p.owner) || k.directory.RankOf(p.key(), k.self.ID) < watchersPerOwner {
			watched = append(watched, p.owner)
		}
	}
	k.peers.Watch(watched)
}

// rewatchIfChanged looks again whom to watch if the list of instances has changed: it takes
// a look at each instance for each partition. The mutex is held.
func (k *Manager) rewatchIfChanged() {
	if k.directory.Version() != k.watchVersion {
		k.watchOwners()
	}
}

// rewatchOwner looks again whom to watch after an instance went silent or came back, if
// it owns a partition. The mutex is held.
func (k *Manager) rewatchOwner(id structs.InstanceID) {
	for _, p := range k.partitions {
		if p.owner == id {
			k.watchOwners()
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
func (k *Manager) announce(previousOwner structs.InstanceID) {
	k.mu.Lock()
	notice := k.ownerNotice()
	k.mu.Unlock()
	k.peers.Broadcast(notice)
	if previousOwner == "" || previousOwner == k.self.ID || k.directory.Ended(previousOwner) {
		return
	}
	others := k.directory.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, p := range others[:min(len(others), maxAnnounceDials)] {
		k.peers.Send(p.ID, notice)
	}
}
