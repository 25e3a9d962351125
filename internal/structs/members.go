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
	// Address is the peer address, IP:port.
	Address string
	Leaving bool
}

// Members is the view of the membership that decides what is fast, never what
// is safe.
type Members interface {
	// Self is this instance.
	Self() Peer
	// Peer finds an instance by id.
	Peer(id InstanceID) (Peer, bool)
	// Peers lists the instances in order of id, this one included.
	Peers() []Peer
	// Suspected tells whether the instance does not answer.
	Suspected(id InstanceID) bool
	// OwnerOf gives the instance that should own a shard: the first by
	// rendezvous hashing that is live, not leaving and not suspected. False
	// if there is none.
	OwnerOf(shard ShardRef) (InstanceID, bool)
	// Ranked lists all candidates of a shard, best first.
	Ranked(shard ShardRef) []InstanceID
	// DispatcherOf gives the instance that should queue for a pool.
	DispatcherOf(pool PoolID) (InstanceID, bool)
	// Targets lists a service's targets in order of id.
	Targets(service ServiceName) []Target
}
