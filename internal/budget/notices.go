package budget

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ReportTargetBreaks tells the owners of partitions which targets broke connections.
// They pass it on with their replies. It implements serve.Notices.
func (k *Manager) ReportTargetBreaks() {
	notice := &structs.TargetNotice{Breaks: k.breaks.Breaks(time.Now())}
	for _, owner := range k.otherOwners() {
		k.peers.Send(owner, notice)
	}
}

// otherOwners lists the other instances that own partitions and answer.
func (k *Manager) otherOwners() []structs.InstanceID {
	k.mu.Lock()
	defer k.mu.Unlock()
	var owners []structs.InstanceID
	seen := make(map[structs.InstanceID]bool)
	for _, p := range k.partitions {
		if p.own != nil || !k.ownerUsable(p) || seen[p.owner] {
			continue
		}
		seen[p.owner] = true
		owners = append(owners, p.owner)
	}
	return owners
}
