package dispatch

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// ownerDownTimeout is how long the waiting calls of an owner that is down
	// are retained unless they are sent again.
	ownerDownTimeout = 5 * time.Second
	// permitGrace is added to the service timeout before a permit that was
	// never returned is revoked.
	permitGrace = 5 * time.Second
	// unavailableRetryAfter is the RetryAfter delay of a call that was refused
	// because it has no target or its owner is down.
	unavailableRetryAfter = time.Second
)

// handleRequest queues a new call, registers a running one, or replies to a
// duplicate.
func (d *Dispatcher) handleRequest(now time.Time, from structs.InstanceID, m *structs.PermitRequest) {
	p := d.poolFor(now, m.Pool)
	p.usedAt = now
	known := d.calls[m.Ref.Run]
	switch {
	case known != nil && (known.target != nil || m.Running == ""):
		d.handleDuplicate(now, from, known, m)
	case m.Running != "":
		if known != nil {
			d.removeCall(known)
		}
		d.registerRunning(now, from, p, m)
	case d.ended.contains(m.Ref.Run):
		return
	default:
		d.enqueue(now, from, p, m)
	}
}

// handleDuplicate replies to a repeated request: a waiting call stays queued,
// and the grant of a granted one is sent again unless the owner knows it.
func (d *Dispatcher) handleDuplicate(now time.Time, from structs.InstanceID, c *call, m *structs.PermitRequest) {
	c.owner, c.ownerDown = from, false
	if c.waiting() {
		d.armDeadline(now, c)
		d.send(from, &structs.PermitQueued{Ref: m.Ref})
		return
	}
	if m.Running == "" {
		d.send(from, &structs.PermitGrant{Pool: m.Pool, Ref: m.Ref, Target: c.target.info})
	}
}

// registerRunning takes over a call that already runs at a target under a
// permit of an earlier dispatcher.
func (d *Dispatcher) registerRunning(now time.Time, from structs.InstanceID, p *pool, m *structs.PermitRequest) {
	t := p.target(m.Running)
	if t == nil {
		return
	}
	c := d.newCall(now, from, p, m)
	d.calls[m.Ref.Run] = c
	d.assignPermit(now, c, t)
}

func (d *Dispatcher) newCall(now time.Time, from structs.InstanceID, p *pool, m *structs.PermitRequest) *call {
	c := &call{pool: p, owner: from, request: m, arrived: now, timerIndex: noTimer}
	if m.Remaining > 0 {
		c.deadline = now.Add(m.Remaining)
	}
	p.applyHints(now, m)
	prog := p.program(now, m.Ref.Program, m.Team)
	waited := prog.waited + m.Waited
	c.order = policy.Call{
		Run: m.Ref.Run, Team: m.Team, Priority: m.Priority,
		Arrived: now.Sub(d.epoch), Served: m.Served,
		Elapsed: max(m.Served, m.Age-waited),
		Slack:   m.Slack, HasDeadline: m.HasDeadline,
	}
	p.rank(c)
	return c
}

func (d *Dispatcher) enqueue(now time.Time, from structs.InstanceID, p *pool, m *structs.PermitRequest) {
	if !p.budget.Allow(m.Attempt) {
		d.refuse(from, m, structs.ReasonOverloaded, policy.RetryBudgetRetryAfter)
		return
	}
	c := d.newCall(now, from, p, m)
	if verdict := d.admit(now, p, c); !verdict.Admit {
		d.refuse(from, m, verdict.Reason, verdict.RetryAfter)
		return
	}
	if m.SharedKey != "" {
		p.sharedKeys[m.SharedKey] = struct{}{}
	}
	p.programReturned(now, c)
	p.joinShares(c)
	d.calls[m.Ref.Run] = c
	p.queue.add(c)
	d.armDeadline(now, c)
	d.send(from, &structs.PermitQueued{Ref: m.Ref})
}

func (d *Dispatcher) admit(now time.Time, p *pool, c *call) policy.CallVerdict {
	m := c.request
	return policy.AdmitCall(p.service.Rules, policy.QueueState{
		Waiting: p.queue.size, Limit: p.service.QueueLimit,
		TeamWaiting: p.queue.teamSize(m.Team), TeamLimit: d.settings.Policy(m.Team).MaxQueued,
		Wait: d.expectedWait(now, c), CallTime: p.estimates.CallTime,
		Remaining: m.Remaining, FirstCall: m.Turns == 0 && m.Served == 0,
	})
}

// expectedWait estimates the time until a call that waits, or is about to, gets
// its permit.
func (d *Dispatcher) expectedWait(now time.Time, c *call) time.Duration {
	return d.expectedWaitBehind(now, c, c.pool.queue.countAhead(c))
}

// expectedWaitBehind estimates the wait of a call that has the given number of
// calls ahead of it.
func (d *Dispatcher) expectedWaitBehind(now time.Time, c *call, ahead int) time.Duration {
	p := c.pool
	if ahead == 0 {
		return 0
	}
	position := time.Duration(ahead) * p.grantInterval
	return p.latenessOf(c.class).ExpectedWait(now.Sub(d.epoch), c.key, position)
}

// joinShares starts fair-share accounting of the call's team if the team had no
// waiting calls in the class.
func (p *pool) joinShares(c *call) {
	teams := p.queue.backloggedTeams(c.class)
	for _, team := range teams {
		if team == c.request.Team {
			return
		}
	}
	p.shares.Join(c.request.Team, p.shares.Floor(teams))
}

func (d *Dispatcher) refuse(to structs.InstanceID, m *structs.PermitRequest, reason structs.Reason, retryAfter time.Duration) {
	d.send(to, &structs.PermitRefuse{Pool: m.Pool, Ref: m.Ref, Reason: reason, RetryAfter: retryAfter})
}

// refuseWaiting removes a waiting call and refuses it.
func (d *Dispatcher) refuseWaiting(c *call, reason structs.Reason, retryAfter time.Duration) {
	d.removeCall(c)
	d.refuse(c.owner, c.request, reason, retryAfter)
}

// removeCall removes a call from the queue or from its target.
func (d *Dispatcher) removeCall(c *call) {
	d.setTimer(c, time.Time{})
	delete(d.calls, c.run())
	if c.waiting() {
		c.pool.queue.remove(c)
		c.pool.programs[c.program()].waiting--
		return
	}
	c.target.remove(c)
	c.pool.endRun(c)
}

// armDeadline sets the timer of a waiting call.
func (d *Dispatcher) armDeadline(now time.Time, c *call) {
	at := c.latestStart()
	if c.ownerDown {
		at = earliest(at, now.Add(ownerDownTimeout))
	}
	d.setTimer(c, at)
}

// latestStart is the latest time at which the call can start and still meet its
// deadline, zero if it has no deadline.
func (c *call) latestStart() time.Time {
	if c.deadline.IsZero() {
		return time.Time{}
	}
	return c.deadline.Add(-min(c.pool.estimates.CallTime, c.request.Remaining/2))
}

// handleCancel removes a waiting call, or returns a permit that was not used.
func (d *Dispatcher) handleCancel(_ time.Time, m *structs.PermitCancel) {
	if c := d.calls[m.Ref.Run]; c != nil {
		d.removeCall(c)
	}
	d.ended.add(m.Ref.Run)
}

// handlePeerDown starts the owner-down timeout of the waiting calls of a peer.
func (d *Dispatcher) handlePeerDown(now time.Time, peer structs.InstanceID) {
	for _, p := range d.pools {
		p.queue.forEach(func(c *call) {
			if c.owner == peer && !c.ownerDown {
				c.ownerDown = true
				d.armDeadline(now, c)
			}
		})
	}
}

// expireCalls ends the calls whose timer has expired.
func (d *Dispatcher) expireCalls(now time.Time) {
	for len(d.timers) > 0 && !d.timers[0].timerAt.After(now) {
		c := d.timers[0]
		switch {
		case !c.waiting():
			d.removeCall(c)
			d.ended.add(c.run())
		case c.ownerDown:
			d.refuseWaiting(c, structs.ReasonOwnerUnavailable, unavailableRetryAfter)
		default:
			d.refuseWaiting(c, structs.ReasonDeadline, d.expectedWait(now, c))
		}
	}
}

// refuseUnmeetable refuses the waiting calls that are no longer expected to
// start in time, rather than let them wait for their deadline.
func (d *Dispatcher) refuseUnmeetable(now time.Time, p *pool) {
	if !p.service.Rules.Admission {
		return
	}
	refused := 0
	for i, c := range p.queue.top(p.queue.size, func(*teamQueue) bool { return false }) {
		wait, latest := d.expectedWaitBehind(now, c, i-refused), c.latestStart()
		if !latest.IsZero() && now.Add(wait).After(latest) {
			d.refuseWaiting(c, structs.ReasonOverloaded, wait)
			refused++
		}
	}
}
