package simnet

import (
	"math/rand/v2"
	"sync"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// NodeValues holds a test's value for each node, that is each incarnation of an
// instance. It is safe for concurrent use; the zero value is empty.
type NodeValues[T any] struct {
	mu   sync.Mutex
	byID map[structs.InstanceID]T
}

// Put sets the value of a node.
func (v *NodeValues[T]) Put(node *Node, value T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byID == nil {
		v.byID = make(map[structs.InstanceID]T)
	}
	v.byID[node.ID] = value
}

// Get returns the value of a node.
func (v *NodeValues[T]) Get(node *Node) T { return v.ByID(node.ID) }

// ByID returns the value of the node with an id.
func (v *NodeValues[T]) ByID(id structs.InstanceID) T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byID[id]
}

// All returns the values of the running nodes in the order of their ids.
func (v *NodeValues[T]) All(net *Net) []T {
	var values []T
	for _, n := range net.Nodes() {
		values = append(values, v.Get(n))
	}
	return values
}

// Pick returns a random element of a list.
func Pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }
