package node

import (
	"sync"

	"github.com/banyanglade/banyanglade/internal/instance"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// sharedState holds copies of the core's peers and readiness that the adapters read
// from their own goroutines. The loop updates it.
type sharedState struct {
	mu         sync.RWMutex
	generation uint64
	peers      map[structs.InstanceID]structs.Peer
	ready      structs.Ready
}

func newSharedState() *sharedState {
	return &sharedState{
		peers: map[structs.InstanceID]structs.Peer{},
		ready: structs.Ready{Reason: "starting"},
	}
}

// update copies the peers if they changed.
func (m *sharedState) update(core *instance.Instance) {
	peers, generation := core.Peers()
	if generation == m.generation {
		return
	}
	byID := make(map[structs.InstanceID]structs.Peer, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation = generation
	m.peers = byID
}

// peer returns an instance by id.
func (m *sharedState) peer(id structs.InstanceID) (structs.Peer, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p, ok := m.peers[id]
	return p, ok
}

func (m *sharedState) setReady(ready structs.Ready) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ready = ready
}

func (m *sharedState) readiness() structs.Ready {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ready
}
