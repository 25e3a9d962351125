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
func (s *sharedState) update(core *instance.Instance) {
	peers, generation := core.Peers()
	if generation == s.generation {
		return
	}
	byID := make(map[structs.InstanceID]structs.Peer, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation = generation
	s.peers = byID
}

// peer returns an instance by id.
func (s *sharedState) peer(id structs.InstanceID) (structs.Peer, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.peers[id]
	return p, ok
}

func (s *sharedState) setReady(ready structs.Ready) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
}

func (s *sharedState) readiness() structs.Ready {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ready
}
