package orders

import (
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// orderKinds lists the kinds of orders in the sequence in which they are sent:
// a version or an adapter belongs to a model, and a role needs all of them.
var orderKinds = []string{wire.OrderLoadModel, wire.OrderSetVersion, wire.OrderLoadAdapter, wire.OrderSetRole}

// desiredValue returns the desired value for a kind of order, empty if none.
func desiredValue(o structs.Orders, kind string) string {
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

// actualValue returns a target's value for a kind of order.
func actualValue(s wire.OrderState, kind string) string {
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

// usesWeightStore reports whether an order loads from the weight store.
func usesWeightStore(kind string) bool { return kind != wire.OrderSetRole }

// nextOrder returns the first order that a target needs to reach the desired
// state.
func nextOrder(o structs.Orders, s wire.OrderState) (wire.Order, bool) {
	for _, kind := range orderKinds {
		want := desiredValue(o, kind)
		if want != "" && want != actualValue(s, kind) {
			return wire.Order{Kind: kind, Value: want}, true
		}
	}
	return wire.Order{}, false
}

// sendOrders sends the orders that are due. A failing target does not block the
// others.
func (p *pool) sendOrders() {
	available := max(1, p.service.Orders.Parallel) - p.inProgress()
	for _, t := range p.targets {
		order, needed := p.dueOrder(t)
		if !needed {
			continue
		}
		if available <= 0 {
			return
		}
		if !p.canSend(t, order) {
			continue
		}
		available--
		order.Fencing = uint64(p.epoch())
		if usesWeightStore(order.Kind) {
			p.lastLoad = p.c.now
		}
		t.send(order)
	}
}

// inProgress returns the number of targets with an order in progress.
func (p *pool) inProgress() int {
	n := 0
	for _, t := range p.targets {
		if t.order != nil {
			n++
		}
	}
	return n
}

// dueOrder returns the order that a target needs now. The state must have been
// read since the last failure, and no command or order may be in progress.
func (p *pool) dueOrder(t *target) (wire.Order, bool) {
	if t.pendingID != 0 || t.order != nil || !t.stateKnown {
		return wire.Order{}, false
	}
	order, differs := nextOrder(p.service.Orders, t.state)
	if !differs {
		t.err, t.failures = "", 0
		return wire.Order{}, false
	}
	return order, p.c.due(t.retryAt)
}

// canSend enforces the rate of loads, and the lease for targets that ignore
// fencing numbers.
func (p *pool) canSend(t *target, order wire.Order) bool {
	if usesWeightStore(order.Kind) && !p.canLoad() {
		return false
	}
	return p.checksFencing(t) || p.ensureLease()
}

// canLoad limits the load on the weight store.
func (p *pool) canLoad() bool {
	interval := p.service.Orders.Interval
	return interval == 0 || p.c.due(p.lastLoad.Add(interval))
}

// checksFencing reports whether a target rejects old fencing numbers: both the
// setting and the target itself must say so.
func (p *pool) checksFencing(t *target) bool { return p.service.ChecksFencing && t.state.ChecksFencing }

// handleOrderSent processes the result of an order.
func (p *pool) handleOrderSent(t *target, ev structs.OrderSent) {
	if ev.ID != t.pendingID {
		return
	}
	if ev.Result == structs.OrderFenced {
		p.stepDown("target " + truncate(string(t.info.ID)) + " refused the epoch as old")
		return
	}
	t.handleReply(ev)
}
