package simnet

import (
	"math/rand/v2"
	"sync"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// NodeValues holds what a test keeps of each life of an instance. It is safe for
// concurrent use; the zero value is empty.
type NodeValues[T any] struct {
	mu   sync.Mutex
	byID map[structs.InstanceID]T
}

// Put keeps something of a life.
func (l *NodeValues[T]) Put(node *Node, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID == nil {
		l.byID = make(map[structs.InstanceID]T)
	}
	l.byID[node.ID] = value
}

// Get is what was kept of a life.
func (l *NodeValues[T]) Get(node *Node) T { return l.ByID(node.ID) }

// ByID is what was kept of the life with an id.
func (l *NodeValues[T]) ByID(id structs.InstanceID) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// All lists what was kept of the instances that live, in the order of their ids.
func (l *NodeValues[T]) All(net *Net) []T {
	var all []T
	for _, n := range net.Nodes() {
		all = append(all, l.Get(n))
	}
	return all
}

// Pick chooses one of a list.
func Pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }
