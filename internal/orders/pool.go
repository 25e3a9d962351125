package orders

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// phase is this instance's progress towards control of a pool.
type phase string

// Phases of a pool.
const (
	// phaseReading: reading the stream up to its end.
	phaseReading phase = "reading"
	// phaseClaiming: the claim has not been read back yet.
	phaseClaiming phase = "claiming"
	// phaseHolding: this instance is the controller as far as it has read.
	phaseHolding phase = "holding"
	// phaseSuperseded: a newer claim was read or a target rejected the epoch;
	// the stream is read again after a backoff.
	phaseSuperseded phase = "superseded"
)

// pool is the state of a pool that is assigned to this instance.
type pool struct {
	c       *Controller
	id      structs.PoolID
	stream  string
	service structs.Service
	phase   phase
	// since is when the phase began.
	since time.Time

	streamState streamState
	claim       claim
	lease       lease
	// backoffUntil is when a superseded instance may read and claim again.
	backoffUntil time.Time
	// lastLoad is when the latest order that loads from the weight store was
	// sent.
	lastLoad time.Time
	// targets are the targets that are not leaving, sorted by ID.
	targets []*target
	err     string
}

// newPool returns a pool that starts to read its stream.
func newPool(c *Controller, id structs.PoolID) *pool {
	p := &pool{c: c, id: id, stream: id.Stream()}
	p.resync("")
	return p
}

func (p *pool) setPhase(next phase) { p.phase, p.since = next, p.c.now }

// stop ends control of the pool. The NotAfter times of orders in flight still
// bound when they are sent.
func (p *pool) stop() { p.c.emit(structs.LogStop{Stream: p.stream}) }

// setService applies the service's settings. If the desired state changed, it
// is compared with the states of the targets at once.
func (p *pool) setService(service structs.Service) {
	changed := service.Orders != p.service.Orders
	p.service = service
	if !changed {
		return
	}
	for _, t := range p.targets {
		t.desiredChanged()
	}
}

// setTargets updates the targets. A target whose address changed counts as new.
func (p *pool) setTargets(listed []structs.Target) {
	var targets []*target
	for _, info := range listed {
		if info.Leaving {
			continue
		}
		targets = append(targets, p.targetFor(info))
	}
	p.targets = targets
}

func (p *pool) targetFor(info structs.Target) *target {
	for _, t := range p.targets {
		if t.info.ID == info.ID && t.info.Address == info.Address {
			t.info = info
			return t
		}
	}
	return newTarget(p.c, info)
}

// advance does the work that is due in the current phase.
func (p *pool) advance() {
	switch p.phase {
	case phaseSuperseded:
		if p.c.due(p.backoffUntil) {
			p.resync(p.err)
		}
	case phaseClaiming:
		p.appendClaim()
	case phaseHolding:
		for _, t := range p.targets {
			t.advance()
		}
		p.sendOrders()
	}
}

// stepDown ends control of the pool by this instance until a backoff has
// passed.
func (p *pool) stepDown(reason string) {
	p.err = reason
	p.setPhase(phaseSuperseded)
	p.backoffUntil = p.c.now.Add(supersededBackoff)
	p.claim, p.lease = claim{}, lease{}
	for _, t := range p.targets {
		t.reset()
	}
	p.c.emit(structs.LogStop{Stream: p.stream})
}
