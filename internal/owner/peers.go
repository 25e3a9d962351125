package owner

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func (o *Owner) onPeerUp(peer structs.InstanceID) {
	for _, s := range o.sortedShards() {
		if s.tenure == tenureProbing && s.probed == peer {
			s.tenure = tenureNone
			for _, h := range s.takeHeld() {
				o.sendNotOwner(h.from, h.msg, peer)
			}
		}
	}
	o.refreshPools("")
}

// onPeerDown claims the shards that waited for the instance's liveness, and
// lets calls of its callers linger.
func (o *Owner) onPeerDown(peer structs.InstanceID) {
	for _, s := range o.sortedShards() {
		if s.tenure == tenureProbing && s.probed == peer {
			s.startReading(true)
		}
		s.detach(peer)
	}
	o.refreshPools(peer)
	o.scheduleInspect()
}

func (s *shard) detach(gateway structs.InstanceID) {
	for _, p := range s.sortedPrograms() {
		for _, c := range p.sortedCalls() {
			c.detach(gateway)
		}
	}
}

func (c *call) detach(gateway structs.InstanceID) {
	found := false
	for _, w := range c.waiters {
		if w.from == gateway {
			w.detached, found = true, true
		}
	}
	if found {
		c.lingerIfDetached()
	}
}

// onMembers asks new dispatchers, and looks for shards without an owner.
func (o *Owner) onMembers() {
	o.refreshPools("")
	o.scheduleInspect()
}

// scheduleInspect looks for shards without an owner after a while: a suspicion is
// often false, and a shard that gets a call is claimed at once anyway.
func (o *Owner) scheduleInspect() {
	if o.draining || o.inspectTimer != nil && o.inspectTimer.index >= 0 {
		return
	}
	o.inspectTimer = o.after(o.cfg.RecoveryWait, o.inspect)
}

// inspect reads each shard that became this instance's to own, for work that
// an earlier owner left: programs to close, caches to release, runs to resolve.
func (o *Owner) inspect() {
	if o.draining {
		return
	}
	for id := range o.cfg.Shards {
		shardID := structs.ShardID(id)
		owner, ok := o.members.OwnerOf(o.refOf(shardID))
		if !ok || owner != o.cfg.Self.ID {
			delete(o.inspected, shardID)
			continue
		}
		if o.inspected[shardID] {
			continue
		}
		o.inspected[shardID] = true
		if s := o.shardRow(shardID); s.tenure == tenureNone {
			s.startReading(false)
		}
	}
}

// onDrain stops taking calls: what was not sent goes to other instances, what
// runs is let end.
func (o *Owner) onDrain() {
	o.draining = true
	for _, s := range o.sortedShards() {
		next := s.successor()
		for _, h := range s.takeHeld() {
			o.sendNotOwner(h.from, h.msg, next)
		}
		if s.owned() {
			s.dropUnsent(next)
			s.settleChunks()
		}
	}
}

// dropUnsent hands the calls that were not sent back to their gateways.
func (s *shard) dropUnsent(next structs.InstanceID) {
	for _, p := range s.sortedPrograms() {
		for _, c := range p.sortedCalls() {
			c.redirectWaiters(next)
		}
	}
}

// redirectWaiters drops a call that no run may be on its way for; another owner may
// run it. An outcome that waits to count is answered.
func (c *call) redirectWaiters(next structs.InstanceID) {
	switch c.phase {
	case phaseRunning, phaseQuerying, phaseEnded:
		return
	case phaseRecording:
		c.sendOutcome(c.outcome)
		c.end()
		return
	}
	if c.sentRuns > 0 {
		// A run of it broke, so that no other owner may call it "not run".
		c.refuse(structs.ReasonOwnerLost, busyRetryAfter)
		return
	}
	c.abandon()
	for _, w := range slices.Clone(c.waiters) {
		c.removeWaiter(w)
		c.shard.o.send(w.from, &structs.NotOwner{Request: w.request, Owner: next})
	}
	c.end()
}

// cancelRuns stops the program's running calls.
func (p *program) cancelRuns() {
	for _, c := range p.sortedCalls() {
		c.cancel(structs.ReasonCancelled)
	}
}

// onLogDown refuses at once what cannot go on without the log; repeatable
// calls go on within the reserved chunk.
func (s *shard) onLogDown() {
	s.failOwnershipChecks()
	for _, p := range s.sortedPrograms() {
		for _, c := range p.sortedCalls() {
			switch c.phase {
			case phaseConfirm:
				c.onConfirmTimeout()
			case phaseReserve, phaseIntent:
				c.refuse(structs.ReasonLogUnavailable, logRetryAfter)
			case phaseQueued, phasePermit:
				if c.notRepeatable {
					c.refuse(structs.ReasonLogUnavailable, logRetryAfter)
				}
			case phaseRecording:
				c.sendOutcome(c.outcome)
				c.end()
			}
		}
	}
}
