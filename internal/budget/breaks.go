package budget

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ReportTargetFailures sends the targets that broke connections to the owners of
// partitions, which pass them on with their replies. It implements serve.Notices.
func (m *Manager) ReportTargetFailures() {
	notice := &structs.TargetFailureNotice{Failures: m.breaks.TargetFailures(time.Now())}
	for _, owner := range m.otherOwners() {
		m.peers.Send(owner, notice)
	}
}

// otherOwners lists the other available instances that own partitions.
func (m *Manager) otherOwners() []structs.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var owners []structs.InstanceID
	seen := make(map[structs.InstanceID]bool)
	for _, p := range m.partitions {
		if p.own != nil || !m.ownerUsable(p) || seen[p.owner] {
			continue
		}
		seen[p.owner] = true
		owners = append(owners, p.owner)
	}
	return owners
}
