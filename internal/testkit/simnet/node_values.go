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
func (v *NodeValues[T]) Put(node *Node, value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byID == nil {
		v.byID = make(map[structs.InstanceID]T)
	}
	v.byID[node.ID] = value
}

// Get is what was kept of a life.
func (v *NodeValues[T]) Get(node *Node) T { return v.ByID(node.ID) }

// ByID is what was kept of the life with an id.
func (v *NodeValues[T]) ByID(id structs.InstanceID) T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byID[id]
}

// All lists what was kept of the instances that live, in the order of their ids.
func (v *NodeValues[T]) All(net *Net) []T {
	var values []T
	for _, n := range net.Nodes() {
		values = append(values, v.Get(n))
	}
	return values
}

// Pick chooses one of a list.
func Pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }
