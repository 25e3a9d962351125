package orders

import (
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// kinds are the kinds of orders in the order in which they are given: a version
// or an adapter belongs to a model, and a role needs all of them.
var kinds = []string{wire.OrderLoadModel, wire.OrderSetVersion, wire.OrderLoadAdapter, wire.OrderSetRole}

// desiredOf gives the desired value for a kind of order, empty if none.
func desiredOf(o structs.Orders, kind string) string {
	switch kind {
	case wire.OrderLoadModel:
		return o.Model
	case wire.OrderSetVersion:
		return o.Version
	case wire.OrderLoadAdapter:
		return o.Adapter
	default:
		return o.Role
	}
}

// valueOf gives a target's value for a kind of order.
func valueOf(s wire.OrderState, kind string) string {
	switch kind {
	case wire.OrderLoadModel:
		return s.Model
	case wire.OrderSetVersion:
		return s.Version
	case wire.OrderLoadAdapter:
		return s.Adapter
	default:
		return s.Role
	}
}

// loads tells whether an order draws on the weight store.
func loads(kind string) bool { return kind != wire.OrderSetRole }

// difference gives the first order that a target in a state needs.
func difference(o structs.Orders, s wire.OrderState) (wire.Order, bool) {
	for _, kind := range kinds {
		want := desiredOf(o, kind)
		if want != "" && want != valueOf(s, kind) {
			return wire.Order{Kind: kind, Value: want}, true
		}
	}
	return wire.Order{}, false
}

// giveOrders sends the orders that are due, in order of the targets. A target
// that fails holds up no other.
func (p *pool) giveOrders() {
	free := max(1, p.service.Orders.Parallel) - p.changing()
	for _, t := range p.targets {
		order, needed := p.due(t)
		if !needed {
			continue
		}
		if free <= 0 {
			return
		}
		if !p.mayOrder(t, order) {
			continue
		}
		free--
		order.Fencing = uint64(p.epoch())
		if loads(order.Kind) {
			p.lastLoad = p.c.now
		}
		t.send(order)
	}
}

// changing counts the targets that change.
func (p *pool) changing() int {
	n := 0
	for _, t := range p.targets {
		if t.order != nil {
			n++
		}
	}
	return n
}

// due gives the order that a target needs now: only right behind a state that
// was read, and one at a time.
func (p *pool) due(t *target) (wire.Order, bool) {
	if t.asked != 0 || t.order != nil || !t.known {
		return wire.Order{}, false
	}
	order, differs := difference(p.service.Orders, t.state)
	if !differs {
		t.err, t.failures = "", 0
		return wire.Order{}, false
	}
	return order, p.c.reached(t.retryAt)
}

// mayOrder keeps the rate of loads, and the lease for a target that ignores
// fencing numbers.
func (p *pool) mayOrder(t *target, order wire.Order) bool {
	if loads(order.Kind) && !p.mayLoad() {
		return false
	}
	return p.checks(t) || p.leased()
}

// mayLoad spares the weight store.
func (p *pool) mayLoad() bool {
	interval := p.service.Orders.Interval
	return interval == 0 || p.c.reached(p.lastLoad.Add(interval))
}

// checks tells whether a target refuses old fencing numbers: the setting and
// the target itself must say so.
func (p *pool) checks(t *target) bool { return p.service.ChecksFencing && t.state.ChecksFencing }

// orderSent takes in the answer to an order.
func (p *pool) orderSent(t *target, ev structs.OrderSent) {
	if ev.ID != t.asked {
		return
	}
	if ev.Result == structs.OrderFenced {
		p.supersede("target " + clip(string(t.info.ID)) + " refused the epoch as old")
		return
	}
	t.sent(ev)
}
