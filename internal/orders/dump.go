package orders

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// State is the part of the state dump about orders.
type State struct {
	// Pools are the pools assigned to this instance.
	Pools []PoolState
}

// PoolState is the state of one pool in the dump.
type PoolState struct {
	Service structs.ServiceName
	Phase   string
	Since   time.Time
	// Controller is the instance with the newest claim that was read, Epoch its
	// epoch.
	Controller structs.InstanceID
	Epoch      structs.Epoch
	// LeaseNotBefore is when any lease of a predecessor has expired, LeaseUntil
	// the end of this instance's lease; zero if unset.
	LeaseNotBefore time.Time
	LeaseUntil     time.Time
	Desired        structs.Orders
	Targets        []TargetState
	// Garbage counts malformed records, Void those without effect.
	Garbage int
	Void    int
	Error   string
}

// TargetState is the state of one target in the dump.
type TargetState struct {
	Target structs.TargetID
	// Known indicates that Actual was read after the last failure.
	Known  bool
	Actual wire.OrderState
	// Checks reports whether the target is trusted to reject old fencing
	// numbers.
	Checks bool
	// Order is the order in progress, nil if none.
	Order *wire.Order
	// Waiting indicates that a command to the target is in flight.
	Waiting  bool
	Failures int
	Error    string
}

// Dump returns the state of all pools.
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
