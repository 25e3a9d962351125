package members

import (
	"strconv"

	"github.com/banyanglade/banyanglade/internal/rendezvous"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// OwnerOf returns the instance that should own a shard, or false if no instance is
// available.
func (v *View) OwnerOf(shard structs.ShardRef) (structs.InstanceID, bool) {
	return v.firstUsable(v.Ranked(shard))
}

// DispatcherOf returns the instance that should run the queue of a pool, or false
// if no instance is available.
func (v *View) DispatcherOf(pool structs.PoolID) (structs.InstanceID, bool) {
	key := "pool/" + string(pool.Region) + "/" + string(pool.Service)
	return v.firstUsable(v.rank(pool.Region, key))
}

// Ranked returns all instances of a shard's region ordered by rendezvous hashing,
// highest score first, including leaving and suspected ones.
func (v *View) Ranked(shard structs.ShardRef) []structs.InstanceID {
	key := "shard/" + string(shard.Region) + "/" + strconv.Itoa(int(shard.Shard))
	return v.rank(shard.Region, key)
}

func (v *View) firstUsable(ids []structs.InstanceID) (structs.InstanceID, bool) {
	for _, id := range ids {
		if v.byID[id].Leaving || v.Suspected(id) {
			continue
		}
		return id, true
	}
	return "", false
}

// rank orders the instances of a region by rendezvous hashing, so that a change of
// one instance moves only the keys assigned to it.
func (v *View) rank(region structs.Region, key string) []structs.InstanceID {
	if ids, ok := v.ranked[key]; ok {
		return ids
	}
	var all []rendezvous.Candidate[structs.InstanceID]
	for _, p := range v.peers {
		if p.Region != region {
			continue
		}
		all = append(all, rendezvous.Candidate[structs.InstanceID]{ID: p.ID, Score: rendezvous.Score(key, string(p.ID))})
	}
	ids := rendezvous.Order(all)
	v.ranked[key] = ids
	return ids
}
