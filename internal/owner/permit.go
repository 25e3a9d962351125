package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// pool is a pool whose dispatcher grants permits to this instance.
type pool struct {
	id         structs.PoolID
	dispatcher structs.InstanceID
	// calls are the calls that wait for or hold a permit.
	calls map[structs.RunID]*call
}

func (o *Owner) poolOf(service structs.ServiceName) *pool {
	id := structs.PoolID{Service: service, Region: o.cfg.Self.Region}
	p := o.pools[id]
	if p == nil {
		p = &pool{id: id, calls: make(map[structs.RunID]*call)}
		p.dispatcher, _ = o.members.DispatcherOf(id)
		o.pools[id] = p
	}
	return p
}

// awaitPermit queues the call at its pool's dispatcher.
func (c *call) awaitPermit() {
	if c.run == "" {
		c.run = c.shard.o.newRun()
	}
	c.phase = phasePermit
	c.joinPool()
	c.requestPermit()
}

func (c *call) joinPool() {
	o := c.shard.o
	c.pool = o.poolOf(c.spec.Service)
	c.permit = c.run
	if c.notRepeatable && c.attempt > 0 {
		// The Intent names the run id, so it stays. The dispatcher considers the
		// permit with that id finished.
		c.permit = o.newRun()
	}
	c.pool.calls[c.permit] = c
	o.runs[c.run], o.runs[c.permit] = c, c
}

// ref identifies the call at its dispatcher.
func (c *call) ref() structs.CallRef {
	return structs.CallRef{Program: c.spec.Program, Run: c.permit}
}

// callOfPermit returns the call that a dispatcher's message refers to, nil if the
// message is stale.
func (o *Owner) callOfPermit(from structs.InstanceID, ref structs.CallRef) *call {
	c := o.runs[ref.Run]
	if c == nil || c.pool == nil || c.permit != ref.Run || c.pool.dispatcher != from {
		return nil
	}
	return c
}

// requestPermit sends the permit request and repeats it until it is queued.
// Afterwards it refreshes the request at a longer interval, in case the
// dispatcher has lost it.
func (c *call) requestPermit() {
	o := c.shard.o
	o.timers.stop(c.timer)
	if c.pool.dispatcher == "" {
		c.pool.dispatcher, _ = o.members.DispatcherOf(c.pool.id)
	}
	if c.pool.dispatcher != "" {
		o.send(c.pool.dispatcher, c.permitRequest())
	}
	wait := permitResendInterval
	if c.permitQueued {
		wait = permitRefreshInterval
	}
	if c.phase == phasePermit {
		c.timer = o.after(wait, c.requestPermit)
	}
}

func (c *call) permitRequest() *structs.PermitRequest {
	o, p := c.shard.o, c.prog
	policy := p.policy()
	r := &structs.PermitRequest{
		Pool: c.pool.id, Ref: c.ref(), Team: p.team,
		Priority: policy.Priority, Weight: policy.Weight,
		Remaining: c.deadline().Sub(o.now), Waited: o.now.Sub(c.arrived),
		NotRepeatable: c.notRepeatable, Attempt: c.attempt, Avoid: c.avoid,
		PromptTokens: c.spec.PromptTokens, MaxTokens: c.spec.MaxTokens,
		SharedKey: c.spec.SharedKey, SharedTokens: c.spec.SharedTokens,
	}
	if c.phase == phaseRunning {
		r.Running = c.target.ID
	}
	c.addProgram(r, policy.Deadline)
	return r
}

// addProgram sets the fields by which the dispatcher orders programs.
func (c *call) addProgram(r *structs.PermitRequest, deadline time.Duration) {
	row := c.prog.row()
	created := c.arrived
	if row != nil {
		created = time.UnixMilli(row.CreatedMS)
		r.Served = time.Duration(row.ServedNS)
		r.Turns = row.Turns
		for _, id := range journal.SortedKeys(row.Placements) {
			pl := row.Placements[id]
			if pl.Service == c.spec.Service {
				r.Hints = append(r.Hints, structs.CacheHint{Target: id, Tokens: pl.Tokens})
			}
		}
	}
	r.Age = max(0, c.shard.o.now.Sub(created))
	if deadline > 0 {
		r.HasDeadline, r.Slack = true, deadline-r.Age
	}
}

func (o *Owner) onPermitQueued(from structs.InstanceID, m *structs.PermitQueued) {
	c := o.callOfPermit(from, m.Ref)
	if c == nil || c.phase != phasePermit {
		return
	}
	c.permitQueued = true
	o.timers.stop(c.timer)
	c.timer = o.after(permitRefreshInterval, c.requestPermit)
}

// onPermitGrant runs the call, or returns the permit if it is not needed.
func (o *Owner) onPermitGrant(from structs.InstanceID, m *structs.PermitGrant) {
	c := o.callOfPermit(from, m.Ref)
	if c != nil && c.phase == phasePermit {
		c.target = m.Target
		c.sendOrConfirm()
		return
	}
	if c != nil && c.target.ID == m.Target.ID {
		// A repeated grant of the permit in use.
		return
	}
	o.send(from, &structs.PermitFinish{
		Pool: m.Pool, Ref: m.Ref, Target: m.Target.ID, Failure: structs.RunNotSent,
	})
}

func (o *Owner) onPermitRefuse(from structs.InstanceID, m *structs.PermitRefuse) {
	c := o.callOfPermit(from, m.Ref)
	if c == nil || c.phase != phasePermit {
		return
	}
	c.refuse(m.Reason, m.RetryAfter)
}

// withdrawPermit cancels a permit request, or returns a permit that no run used.
func (c *call) withdrawPermit() {
	if c.pool == nil {
		return
	}
	ref := c.ref()
	switch c.phase {
	case phasePermit:
		c.sendToDispatcher(&structs.PermitCancel{Pool: c.pool.id, Ref: ref})
	case phaseConfirm:
		c.sendToDispatcher(&structs.PermitFinish{
			Pool: c.pool.id, Ref: ref, Target: c.target.ID, Failure: structs.RunNotSent,
		})
	}
	c.dropPermit()
}

// dropPermit removes the permit from the tables.
func (c *call) dropPermit() {
	if c.pool == nil {
		return
	}
	delete(c.pool.calls, c.permit)
	delete(c.shard.o.runs, c.permit)
	delete(c.shard.o.runs, c.run)
	if len(c.pool.calls) == 0 {
		delete(c.shard.o.pools, c.pool.id)
	}
	c.pool = nil
	c.permitQueued = false
}

func (c *call) sendToDispatcher(msg structs.Message) {
	if c.pool.dispatcher != "" {
		c.shard.o.send(c.pool.dispatcher, msg)
	}
}

// finishPermit returns the permit after a run ended.
func (c *call) finishPermit(e structs.RunEnded) {
	if c.pool == nil {
		return
	}
	c.sendToDispatcher(&structs.PermitFinish{
		Pool: c.pool.id, Ref: c.ref(),
		Target: c.target.ID, Failure: e.Failure, Usage: e.Outcome.Usage, Took: e.Took,
		FirstToken: e.FirstToken, CacheTokens: c.cacheTokens(e.Outcome), Pausing: c.prog.pausing(c),
	})
	c.dropPermit()
}

// pausing reports whether the program has no call other than c.
func (p *program) pausing(c *call) bool {
	return len(p.calls) == 1 && p.calls[c.key] == c && !p.closing
}

// refreshPools requests every permit again from dispatchers that changed,
// including permits in use. The requests at the failed instance may be lost.
func (o *Owner) refreshPools(failed structs.InstanceID) {
	for _, id := range o.sortedPools() {
		p := o.pools[id]
		current, _ := o.members.DispatcherOf(id)
		if current == p.dispatcher && current != failed {
			continue
		}
		p.dispatcher = current
		for _, run := range journal.SortedKeys(p.calls) {
			p.calls[run].permitQueued = false
			p.calls[run].reregister()
		}
	}
}

func (c *call) reregister() {
	switch c.phase {
	case phasePermit:
		c.requestPermit()
	case phaseRunning:
		c.sendToDispatcher(c.permitRequest())
	}
}

func (o *Owner) sortedPools() []structs.PoolID {
	ids := make([]structs.PoolID, 0, len(o.pools))
	for id := range o.pools {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b structs.PoolID) int { return cmp.Compare(a.Service, b.Service) })
	return ids
}
