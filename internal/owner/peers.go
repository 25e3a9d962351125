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

// onPeerDown claims the shards that waited for a probe of the peer, and detaches
// its callers.
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

// onMembersListed updates the dispatchers and looks for shards without an owner.
func (o *Owner) onMembersListed() {
	o.refreshPools("")
	o.scheduleInspect()
}

// scheduleInspect delays the inspection, since a suspicion is often false and a
// shard that receives a call is claimed at once anyway.
func (o *Owner) scheduleInspect() {
	if o.draining || o.inspectTimer != nil && o.inspectTimer.index >= 0 {
		return
	}
	o.inspectTimer = o.after(o.cfg.RecoveryWait, o.inspect)
}

// inspect reads each shard that this instance should own now, for work that a
// previous owner left: programs to close, caches to release, runs to resolve.
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
		if s := o.ensureShard(shardID); s.tenure == tenureNone {
			s.startReading(false)
		}
	}
}

// onDrain stops accepting calls. Calls that were not sent are redirected to other
// instances, and runs in progress may finish.
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

// dropUnsent redirects the callers of all calls that were not sent.
func (s *shard) dropUnsent(next structs.InstanceID) {
	for _, p := range s.sortedPrograms() {
		for _, c := range p.sortedCalls() {
			c.redirectWaiters(next)
		}
	}
}

// redirectWaiters drops a call that was not sent and redirects its gateways to
// the next owner. If the outcome is being recorded it is sent at once.
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
		// An earlier run of the call failed, so no other owner may report it as
		// "not run".
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

// cancelRuns cancels the program's running calls.
func (p *program) cancelRuns() {
	for _, c := range p.sortedCalls() {
		c.cancel(structs.ReasonCancelled)
	}
}

// onLogDown refuses the calls that need the log. Repeatable calls continue within
// the reserved chunk.
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
