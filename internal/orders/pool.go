package orders

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// phase tells how far this instance is with the control of a pool.
type phase string

// Phases of a pool.
const (
	// phaseReading: reading up to the end of the stream.
	phaseReading phase = "reading"
	// phaseClaiming: the claim is not read back yet.
	phaseClaiming phase = "claiming"
	// phaseHolding: this instance is the controller as far as it has read.
	phaseHolding phase = "holding"
	// phaseSuperseded: a newer claim was read or a target refused the epoch;
	// the stream is read again after a while.
	phaseSuperseded phase = "superseded"
)

// pool is the row of a pool that this instance should control.
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
	// lastLoad is when the last order to load was sent; see canLoad.
	lastLoad time.Time
	// targets are those that do not leave, in order of id.
	targets []*target
	err     string
}

// newPool makes the row and begins to read its stream.
func newPool(c *Controller, id structs.PoolID) *pool {
	p := &pool{c: c, id: id, stream: id.Stream()}
	p.resync("")
	return p
}

// setPhase changes the phase.
func (p *pool) setPhase(next phase) { p.phase, p.since = next, p.c.now }

// stop ends the control: the row is dropped. Orders on their way are bounded by
// the time that they carry.
func (p *pool) stop() { p.c.emit(structs.LogStop{Stream: p.stream}) }

// setService takes over the service's settings. A changed desired state is
// compared with the targets' at once.
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

// setTargets takes over the targets that do not leave. A target at another
// address is a new one.
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

// advance does what is due.
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

// stepDown ends the control of this instance for a while.
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
