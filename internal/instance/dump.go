package instance

import "github.com/banyanglade/banyanglade/internal/structs"

// State is the state dump of an instance. It contains no secrets and no request
// or response bodies.
type State struct {
	Instance     structs.Peer
	Incarnation  string
	Ready        bool
	Reason       string
	Draining     bool
	SettingsNext uint64
	Peers        []PeerState
	Callers      int
	Owner        any
	Dispatcher   any
	Orders       any
	Settings     any
}

// PeerState is the state of one peer in a State.
type PeerState struct {
	structs.Peer
	Suspected bool
	Watched   bool
}

// Dump returns the state of all components.
func (i *Instance) Dump() State {
	return State{
		Instance:     i.view.Self(),
		Incarnation:  i.cfg.Incarnation,
		Ready:        i.ready.ready,
		Reason:       i.ready.reason,
		Draining:     i.draining,
		SettingsNext: i.proposer.Next(),
		Peers:        i.dumpPeers(),
		Callers:      i.gateway.InFlight(),
		Owner:        i.owner.Dump(),
		Dispatcher:   i.dispatch.Dump(),
		Orders:       i.orders.Dump(),
		Settings:     i.proposer.Dump(),
	}
}

func (i *Instance) dumpPeers() []PeerState {
	watched := map[structs.InstanceID]bool{}
	for _, id := range i.pendingReplies.watched {
		watched[id] = true
	}
	var peers []PeerState
	for _, p := range i.view.Peers() {
		peers = append(peers, PeerState{Peer: p, Suspected: i.view.Suspected(p.ID), Watched: watched[p.ID]})
	}
	return peers
}
