package owner

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// view is one owner's view of membership and settings. It follows the cluster
// without delay, except that a paused instance still looks live.
type view struct {
	cluster *cluster
	self    structs.InstanceID
}

func (v view) Self() structs.Peer { return structs.Peer{ID: v.self, Region: testRegion} }

func (v view) Peer(id structs.InstanceID) (structs.Peer, bool) {
	return structs.Peer{ID: id, Region: testRegion}, v.cluster.nodes[id] != nil
}

// Peers has the size of a typical region, which determines the rate of appends.
func (v view) Peers() []structs.Peer { return make([]structs.Peer, 12) }

func (v view) Suspected(id structs.InstanceID) bool { return !v.cluster.live(id) }

func (v view) OwnerOf(structs.ShardRef) (structs.InstanceID, bool) {
	for _, id := range v.cluster.ids {
		if v.cluster.live(id) {
			return id, true
		}
	}
	return "", false
}

func (v view) Ranked(structs.ShardRef) []structs.InstanceID { return slices.Clone(v.cluster.ids) }

func (v view) DispatcherOf(structs.PoolID) (structs.InstanceID, bool) {
	return testDispatcher, true
}

func (v view) Targets(service structs.ServiceName) []structs.Target {
	if v.cluster.noTargets {
		return nil
	}
	return []structs.Target{
		{ID: structs.TargetID(service) + "-1", Service: service}, {ID: structs.TargetID(service) + "-2", Service: service},
	}
}

func (v view) Policy(structs.Team) structs.Policy { return v.cluster.policy }

func (v view) Services() []structs.Service {
	var list []structs.Service
	for _, name := range []structs.ServiceName{testChat, testFiling} {
		s, _ := v.Service(name)
		list = append(list, s)
	}
	return list
}

func (v view) Service(name structs.ServiceName) (structs.Service, bool) {
	switch name {
	case testChat:
		return structs.DefaultService(name, structs.ServiceEngine), true
	case testFiling:
		s := structs.DefaultService(name, structs.ServicePlain)
		s.AskByKey = v.cluster.supportsOutcomeQuery
		return s, true
	default:
		return structs.Service{}, false
	}
}
