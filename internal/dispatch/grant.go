package dispatch

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxCandidates is the number of waiting calls considered in one pass.
	maxCandidates = 64
	// maxPrefillBacklog is the granted prefill above which a target gets no
	// further calls. Work queued inside an engine can no longer be reordered.
	maxPrefillBacklog = 10 * time.Millisecond
	// grantIntervalWeight is the weight of a new sample in the moving average
	// of the grant interval.
	grantIntervalWeight = 0.05
)

// grantWaiting grants permits to the best waiting calls until no target accepts
// more.
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

// grantPass considers the best waiting calls once, in order, and reports
// whether all of them got a permit. A call that waits for a particular target
// does not block those behind it.
func (d *Dispatcher) grantPass(now time.Time, p *pool) bool {
	for _, t := range p.targets {
		t.awaitedPrefill = 0
	}
	calls := p.candidates()
	granted := 0
	for _, c := range calls {
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
	return granted == len(calls) && granted > 0
}

// candidates returns the waiting calls to consider next, best first.
func (p *pool) candidates() []*call {
	floors := make(map[int]time.Duration)
	for _, tq := range p.queue.teamQueues {
		if _, ok := floors[tq.class]; !ok {
			floors[tq.class] = p.shares.Floor(p.queue.backloggedTeams(tq.class))
		}
	}
	return p.queue.top(maxCandidates, func(tq *teamQueue) bool {
		return p.shares.ExceedsBurst(p.service.Rules, tq.team, floors[tq.class])
	})
}

func (p *pool) hasServingTarget() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return !t.unlisted && !t.info.Leaving })
}

func (p *pool) hasOpenTarget(now time.Time) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return p.accepts(now, t) })
}

// accepts reports whether a target takes another call now. Without late binding
// every eligible target does, and calls queue at the target.
func (p *pool) accepts(now time.Time, t *target) bool {
	if !t.eligible() {
		return false
	}
	if !p.service.Rules.LateBinding {
		return true
	}
	return t.load() < t.health.EffectiveSlots(p.service.Slots) && t.backlog(now) <= maxPrefillBacklog
}

// refuseAll refuses the waiting calls of a pool without targets.
func (d *Dispatcher) refuseAll(p *pool) {
	var waiting []*call
	p.queue.forEach(func(c *call) { waiting = append(waiting, c) })
	for _, c := range waiting {
		d.refuseWaiting(c, structs.ReasonNoTarget, unavailableRetryAfter)
	}
}

// placementOptions returns the placement option of each target for a call. The
// slice is reused by the next call of the method.
func (p *pool) placementOptions(now time.Time, c *call) []policy.PlacementOption {
	options := p.optionBuffer[:0]
	for _, t := range p.targets {
		options = append(options, p.placementOption(now, c, t))
	}
	p.optionBuffer = options
	if slices.ContainsFunc(options, func(o policy.PlacementOption) bool { return !o.Excluded && !o.Avoided }) {
		for i := range options {
			options[i].Excluded = options[i].Excluded || options[i].Avoided
		}
	}
	return options
}

func (p *pool) placementOption(now time.Time, c *call, t *target) policy.PlacementOption {
	if !t.eligible() {
		return policy.PlacementOption{Excluded: true}
	}
	m := c.request
	cached := t.cache.cachedTokens(m)
	uncached := max(0, m.PromptTokens-cached)
	option := policy.PlacementOption{
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
func (d *Dispatcher) grant(now time.Time, c *call, t *target, option policy.PlacementOption) {
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

// assignPermit records that a call holds a permit at a target.
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

// observeGrant updates the average interval between grants.
func (p *pool) observeGrant(now time.Time) {
	if !p.lastGrant.IsZero() {
		p.grantInterval += time.Duration(grantIntervalWeight * float64(now.Sub(p.lastGrant)-p.grantInterval))
	}
	p.lastGrant = now
}

// scheduleWake sets wakeAt to when the first target has worked off enough
// prefill to accept a call.
func (p *pool) scheduleWake(now time.Time) {
	for _, t := range p.targets {
		if t.eligible() && t.load() < t.health.EffectiveSlots(p.service.Slots) && t.backlog(now) > maxPrefillBacklog {
			p.wakeAt = earliest(p.wakeAt, t.prefillUntil.Add(-maxPrefillBacklog))
		}
	}
}
