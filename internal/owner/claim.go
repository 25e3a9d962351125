package owner

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// claimOrRedirect handles a message for a shard that this instance does not own.
// It starts a claim and holds the message, or replies with the preferred owner.
func (s *shard) claimOrRedirect(from structs.InstanceID, msg structs.Message, suspects []structs.InstanceID) {
	switch s.tenure {
	case tenureProbing, tenureLocating, tenureReplaying, tenureClaiming:
		if s.logDown() {
			s.o.refuseMessage(from, msg, structs.ReasonLogUnavailable, logRetryAfter)
			return
		}
		s.holdMessage(from, msg)
		return
	}
	owner, isNext := s.candidate(suspects)
	switch {
	case s.o.draining:
		s.o.sendNotOwner(from, msg, owner)
	case s.tenure == tenureLost && s.truncated:
		s.o.sendNotOwner(from, msg, owner)
	case owner == s.o.cfg.Self.ID:
		s.holdMessage(from, msg)
		s.startClaim()
	case isNext && s.tenure == tenureNone:
		s.holdMessage(from, msg)
		s.tenure, s.probed = tenureProbing, owner
		s.o.emit(structs.ProbePeer{To: owner})
	default:
		s.o.sendNotOwner(from, msg, owner)
	}
}

// candidate returns the instance that should own the shard, and whether this
// instance is next in rank if the suspects are down.
func (s *shard) candidate(suspects []structs.InstanceID) (structs.InstanceID, bool) {
	self := s.o.cfg.Self.ID
	if s.recentlyLost() && !slices.Contains(suspects, s.newOwner) {
		return s.newOwner, false
	}
	owner, ok := s.o.members.OwnerOf(s.ref)
	if !ok {
		return "", false
	}
	if owner == self || !slices.Contains(suspects, owner) {
		return owner, false
	}
	for _, id := range s.o.members.Ranked(s.ref) {
		if !s.usable(id) || slices.Contains(suspects, id) && id != self {
			continue
		}
		return owner, id == self
	}
	return owner, false
}

func (s *shard) usable(id structs.InstanceID) bool {
	peer, ok := s.o.members.Peer(id)
	return ok && !peer.Leaving && !s.o.members.Suspected(id)
}

// recentlyLost reports whether another instance claimed the shard a short time
// ago. It keeps two instances with different membership views from claiming a
// shard in turn.
func (s *shard) recentlyLost() bool {
	if s.newOwner == "" || s.newOwner == s.o.cfg.Self.ID || !s.usable(s.newOwner) {
		return false
	}
	return s.o.now.Sub(s.lostAt) < lostShardBackoff
}

func (s *shard) holdMessage(from structs.InstanceID, msg structs.Message) {
	if len(s.held) >= maxHeldMessages {
		s.o.refuseMessage(from, msg, structs.ReasonOverloaded, busyRetryAfter)
		return
	}
	h := &heldMessage{from: from, msg: msg, arrived: s.o.now}
	h.deadline = s.o.after(remainingOf(msg)-responseMargin, func() { s.expireHeld(h) })
	s.held = append(s.held, h)
	if m, ok := msg.(*structs.Submit); ok {
		s.o.send(from, &structs.SubmitAccepted{Request: m.Request})
	}
}

func (s *shard) expireHeld(h *heldMessage) {
	if i := slices.Index(s.held, h); i >= 0 {
		s.held = slices.Delete(s.held, i, i+1)
		s.o.refuseMessage(h.from, h.msg, structs.ReasonDeadline, 0)
	}
}

// startReading reads the stream. The shard is claimed afterwards if wanted is
// set, if messages are held or if the shard has pending work.
func (s *shard) startReading(wanted bool) {
	s.reset()
	s.claimWanted = wanted
	s.tenure = tenureLocating
	s.o.emit(structs.LogTailEnd{Stream: s.stream})
	s.startLogTimer()
}

// startClaim starts to claim the shard. A lost shard whose calls still run has
// been read up to date, so it is claimed at once.
func (s *shard) startClaim() {
	if s.tenure == tenureLost {
		s.claim()
		return
	}
	s.startReading(true)
}

// startLogTimer refuses the held messages if the log does not respond in time.
func (s *shard) startLogTimer() {
	s.o.timers.stop(s.logTimer)
	s.logTimer = s.o.after(confirmTimeout, func() {
		switch s.tenure {
		case tenureLocating, tenureReplaying, tenureClaiming:
			s.readDown = true
			s.refuseHeld(structs.ReasonLogUnavailable)
			s.startLogTimer()
		}
	})
}

func (s *shard) refuseHeld(reason structs.Reason) {
	for _, h := range s.takeHeld() {
		s.o.refuseMessage(h.from, h.msg, reason, logRetryAfter)
	}
}

func (s *shard) takeHeld() []*heldMessage {
	held := s.held
	s.held = nil
	for _, h := range held {
		s.o.timers.stop(h.deadline)
	}
	return held
}

// claim appends a claim for the next epoch. This instance owns the shard only if
// its claim is read back as the first of that epoch.
func (s *shard) claim() {
	s.tenure = tenureClaiming
	s.app.push(&journal.Claim{Instance: s.o.cfg.Self.ID}, urgent, nil)
	s.startLogTimer()
}

// onCaughtUp is called when the stream has been replayed to its end.
func (s *shard) onCaughtUp() {
	s.o.timers.stop(s.logTimer)
	if s.o.draining || !s.claimWanted && len(s.held) == 0 && !s.hasPendingWork() {
		s.unload()
		return
	}
	s.claim()
}

// onClaimWon is called when this instance's claim was read back as the first of
// its epoch.
func (s *shard) onClaimWon(epoch structs.Epoch) {
	s.o.timers.stop(s.logTimer)
	s.tenure, s.epoch = tenureOwned, epoch
	s.claimedAt, s.snapshotAt = s.o.now, s.o.now
	s.scheduleSnapshot()
	s.schedulePurge()
	s.newOwner = ""
	s.logEvent("shard claimed", "")
	s.o.scheduleHeartbeat()
	s.recover()
	s.onOwnershipVerified(s.app.sentAt)
	for _, h := range s.takeHeld() {
		s.o.redeliver(h)
	}
}

// onShardLost is called when another instance's claim was read. Calls that were
// not sent are dropped. Runs in progress are awaited and recorded as unfenced
// facts.
func (s *shard) onShardLost(newOwner structs.InstanceID) {
	wasOwned := s.tenure == tenureOwned
	s.tenure = tenureLost
	s.newOwner, s.lostAt = newOwner, s.o.now
	s.o.timers.stop(s.logTimer)
	s.app.dropFenced()
	for _, h := range s.takeHeld() {
		s.o.sendNotOwner(h.from, h.msg, newOwner)
	}
	if wasOwned {
		s.logEvent("shard lost to a newer claim", newOwner)
		s.dropUnsent(newOwner)
	}
	s.resetPending()
	s.unloadIfDone()
}

// resetPending drops all state that waits for fenced records, which are void now.
func (s *shard) resetPending() {
	s.snapshotting, s.checkPending, s.ownershipChecks = false, false, nil
	s.pendingGrants = make(map[string]bool)
	s.pendingGrantAmounts = make(map[structs.Team]journal.Amount)
	for _, a := range s.accounts {
		s.o.timers.stop(a.timer)
		a.request = nil
	}
	for _, p := range s.programs {
		p.pending, p.reserving, p.closing = journal.Amount{}, false, false
		for _, r := range p.recovery {
			s.o.timers.stop(r.timer)
			p.laneOf(r.run.Lane).blocked = 0
		}
		p.recovery = make(map[structs.RunID]*recovery)
		p.gapSkips, p.unknownNumbers = nil, nil
	}
}

// unloadIfDone unloads a lost shard once nothing of it is in flight.
func (s *shard) unloadIfDone() {
	if s.tenure != tenureLost || s.calls > 0 || s.app.unfencedCount() > 0 {
		return
	}
	if s.settleChunks() {
		return
	}
	s.unload()
}

func (s *shard) unload() {
	s.o.emit(structs.LogStop{Stream: s.stream})
	for _, h := range s.takeHeld() {
		s.o.sendNotOwner(h.from, h.msg, s.newOwner)
	}
	for _, p := range s.sortedPrograms() {
		p.stop()
	}
	s.reset()
	s.tenure = tenureNone
}
