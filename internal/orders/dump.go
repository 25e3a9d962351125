package orders

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// State is the part of the state dump about orders.
type State struct {
	// Pools are those that this instance should control.
	Pools []PoolState
}

// PoolState is one pool in the dump.
type PoolState struct {
	Service structs.ServiceName
	Phase   string
	Since   time.Time
	// Controller is the instance whose claim is the newest read, Epoch its
	// epoch.
	Controller structs.InstanceID
	Epoch      structs.Epoch
	// LeaseNotBefore is the end of what a predecessor may hold, LeaseUntil
	// the end of the own lease; zero if there is none.
	LeaseNotBefore time.Time
	LeaseUntil     time.Time
	Desired        structs.Orders
	Targets        []TargetState
	// Garbage and Void count records that were malformed or had no effect.
	Garbage int
	Void    int
	Error   string
}

// TargetState is one target in the dump.
type TargetState struct {
	Target structs.TargetID
	// Known tells that Actual was read since the last failure.
	Known  bool
	Actual wire.OrderState
	// Checks tells whether the target is trusted to refuse old fencing
	// numbers.
	Checks bool
	// Order is the order under way, nil if none.
	Order *wire.Order
	// Waiting tells that the adapter's answer is awaited.
	Waiting  bool
	Failures int
	Error    string
}

// Dump gives the state of all pools.
func (c *Controller) Dump() State {
	var s State
	for _, p := range c.pools {
		s.Pools = append(s.Pools, p.dump())
	}
	return s
}

func (p *pool) dump() PoolState {
	s := PoolState{
		Service: p.id.Service, Phase: string(p.phase), Since: p.since,
		Controller: p.streamState.controller, Epoch: p.streamState.newestEpoch,
		LeaseNotBefore: p.lease.notBefore, LeaseUntil: p.lease.validUntil,
		Desired: p.service.Orders, Garbage: p.streamState.malformed, Void: p.streamState.void, Error: p.err,
	}
	for _, t := range p.targets {
		row := TargetState{
			Target: t.info.ID, Known: t.stateKnown, Actual: t.state, Checks: p.checksFencing(t),
			Waiting: t.pendingID != 0, Failures: t.failures, Error: t.err,
		}
		if t.order != nil {
			order := t.order.Order
			row.Order = &order
		}
		s.Targets = append(s.Targets, row)
	}
	return s
}
