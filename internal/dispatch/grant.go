package dispatch

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxCandidates is the number of waiting calls looked at in one pass.
	maxCandidates = 64
	// maxPrefillBacklog is the granted prefill up to which a target takes more:
	// what is queued inside an engine is out of the order's reach.
	maxPrefillBacklog = 10 * time.Millisecond
	// grantIntervalWeight is the weight of a new sample of the grant interval.
	grantIntervalWeight = 0.05
)

// grantWaiting grants the best waiting calls as long as targets take them.
func (d *Dispatcher) grantWaiting(now time.Time, p *pool) {
	p.wakeAt = time.Time{}
	for p.queue.size > 0 {
		if !p.hasServingTarget() {
			d.refuseAll(p)
			return
		}
		if !p.hasOpenTarget(now) || !d.grantPass(now, p) {
			break
		}
	}
	if p.queue.size == 0 {
		p.lastGrant = time.Time{}
		return
	}
	p.scheduleWake(now)
}

// grantPass looks once at the best waiting calls, in order, and tells whether
// it granted all of them. A call that waits for a target lets others pass.
func (d *Dispatcher) grantPass(now time.Time, p *pool) bool {
	for _, t := range p.targets {
		t.awaitedPrefill = 0
	}
	best := p.candidates()
	granted := 0
	for _, c := range best {
		options := p.placementOptions(now, c)
		choice := policy.Place(p.service.Rules, options, p.lastPlaced)
		if choice.Index < 0 {
			continue
		}
		t := p.targets[choice.Index]
		if choice.Wait {
			t.awaitedPrefill += options[choice.Index].Prefill
			continue
		}
		p.lastPlaced = choice.Index
		d.grant(now, c, t, options[choice.Index])
		granted++
		if !p.hasOpenTarget(now) {
			return false
		}
	}
	return granted == len(best) && granted > 0
}

// candidates gives the calls to look at first.
func (p *pool) candidates() []*call {
	floors := make(map[int]time.Duration)
	for _, l := range p.queue.teamQueues {
		if _, ok := floors[l.class]; !ok {
			floors[l.class] = p.shares.Floor(p.queue.backloggedTeams(l.class))
		}
	}
	return p.queue.top(maxCandidates, func(l *teamQueue) bool {
		return p.shares.ExceedsBurst(p.service.Rules, l.team, floors[l.class])
	})
}

func (p *pool) hasServingTarget() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return !t.unlisted && !t.info.Leaving })
}

func (p *pool) hasOpenTarget(now time.Time) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return p.accepts(now, t) })
}

// accepts tells whether a target takes a call now. Without late binding it always
// does, and calls queue at the target.
func (p *pool) accepts(now time.Time, t *target) bool {
	if !t.eligible() {
		return false
	}
	if !p.service.Rules.LateBinding {
		return true
	}
	return t.load() < t.health.EffectiveSlots(p.service.Slots) && t.backlog(now) <= maxPrefillBacklog
}

// refuseAll answers the waiting calls of a pool that has no target.
func (d *Dispatcher) refuseAll(p *pool) {
	var waiting []*call
	p.queue.forEach(func(c *call) { waiting = append(waiting, c) })
	for _, c := range waiting {
		d.refuseWaiting(c, structs.ReasonNoTarget, unavailableRetryAfter)
	}
}

// placementOptions lists what each target of the pool means for a call. The list is
// valid until the next use.
func (p *pool) placementOptions(now time.Time, c *call) []policy.Option {
	options := p.optionBuffer[:0]
	for _, t := range p.targets {
		options = append(options, p.placementOption(now, c, t))
	}
	p.optionBuffer = options
	if slices.ContainsFunc(options, func(o policy.Option) bool { return !o.Excluded && !o.Avoided }) {
		for i := range options {
			options[i].Excluded = options[i].Excluded || options[i].Avoided
		}
	}
	return options
}

func (p *pool) placementOption(now time.Time, c *call, t *target) policy.Option {
	if !t.eligible() {
		return policy.Option{Excluded: true}
	}
	m := c.request
	cached := t.cache.cachedTokens(m)
	uncached := max(0, m.PromptTokens-cached)
	option := policy.Option{
		Open: p.accepts(now, t), Avoided: slices.Contains(m.Avoid, t.info.ID),
		Running: t.load(), Backlog: t.backlog(now) + t.awaitedPrefill,
		Prefill: time.Duration(uncached) * p.estimates.PrefillPerToken,
		Cached:  cached, Slowness: t.health.Slowness,
	}
	if slots := t.health.EffectiveSlots(p.service.Slots); p.service.Rules.LateBinding && t.load() >= slots {
		option.Delay = p.estimates.CallTime / time.Duration(max(1, slots))
	}
	if p.service.Rules.EvictionTerm && p.service.Rules.Placement == policy.PlaceCost {
		option.Eviction = p.evictionCost(now, t, uncached)
	}
	return option
}

// grant gives a waiting call a permit at a target.
func (d *Dispatcher) grant(now time.Time, c *call, t *target, option policy.Option) {
	p := c.pool
	p.queue.remove(c)
	prog := p.programs[c.program()]
	prog.waiting--
	prog.waited += now.Sub(c.arrived)
	c.prefill, c.prefillAhead = option.Prefill, t.backlog(now)
	p.observeGrant(now)
	p.latenessOf(c.class).ObserveGrant(now.Sub(d.epoch), c.key, !p.queue.hasClass(c.class))
	d.assignPermit(now, c, t)
	d.send(c.owner, &structs.PermitGrant{Pool: p.id, Ref: c.request.Ref, Target: t.info})
}

// assignPermit books a permit of a call at a target.
func (d *Dispatcher) assignPermit(now time.Time, c *call, t *target) {
	p := c.pool
	c.target = t
	t.add(c)
	t.prefillUntil = laterOf(now, t.prefillUntil).Add(c.prefill)
	p.startRun(now, c)
	p.shares.Add(c.request.Team, p.estimates.CallTime, c.request.Weight)
	d.setTimer(c, now.Add(p.service.Timeout+permitGrace))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observeGrant learns the interval of grants while calls wait.
func (p *pool) observeGrant(now time.Time) {
	if !p.lastGrant.IsZero() {
		p.grantInterval += time.Duration(grantIntervalWeight * float64(now.Sub(p.lastGrant)-p.grantInterval))
	}
	p.lastGrant = now
}

// scheduleWake sets the time at which the next target has done enough prefill.
func (p *pool) scheduleWake(now time.Time) {
	for _, t := range p.targets {
		if t.eligible() && t.load() < t.health.EffectiveSlots(p.service.Slots) && t.backlog(now) > maxPrefillBacklog {
			p.wakeAt = earliest(p.wakeAt, t.prefillUntil.Add(-maxPrefillBacklog))
		}
	}
}
