package structs

// Target is one target of a service, from the membership list.
type Target struct {
	ID         TargetID
	Service    ServiceName
	Region     Region
	DataCentre DataCentre
	// Address is the base URL.
	Address string
	Leaving bool
}

// Peer is another instance, from the membership list.
type Peer struct {
	ID         InstanceID
	Region     Region
	DataCentre DataCentre
	// Address is the address for other instances, IP:port.
	Address string
	Leaving bool
}

// Members is the view of the membership. It may be stale: correctness must not depend
// on it.
type Members interface {
	// Self returns this instance.
	Self() Peer
	// Peer returns an instance by id.
	Peer(id InstanceID) (Peer, bool)
	// Peers returns all instances ordered by id, including this one.
	Peers() []Peer
	// Suspected reports whether the instance is unresponsive.
	Suspected(id InstanceID) bool
	// OwnerOf returns the instance that should own a shard: the first in rendezvous
	// order that is live, not leaving and not suspected. It returns false if there is
	// none.
	OwnerOf(shard ShardRef) (InstanceID, bool)
	// Ranked returns all candidates for a shard, best first.
	Ranked(shard ShardRef) []InstanceID
	// DispatcherOf returns the instance that should dispatch for a pool.
	DispatcherOf(pool PoolID) (InstanceID, bool)
	// Targets returns the targets of a service ordered by id.
	Targets(service ServiceName) []Target
}
