package owner

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// pauseThreshold is the gap between two ticks after which this process may
	// have been paused. Whatever it knows or reads then may be as old as the
	// pause, so that it proves nothing about now.
	pauseThreshold = 500 * time.Millisecond
	// heartbeatInterval is the time between two ticks of an owner without work.
	heartbeatInterval = 250 * time.Millisecond
)

// detectPause begins a time of distrust after a gap between ticks.
func (o *Owner) detectPause() {
	if o.now.Sub(o.lastTick) > pauseThreshold {
		o.resumedAt = o.now
	}
	o.lastTick = o.now
}

// scheduleHeartbeat keeps the ticks close together while shards are owned.
func (o *Owner) scheduleHeartbeat() {
	if o.heartbeatTimer != nil && o.heartbeatTimer.index >= 0 {
		return
	}
	o.heartbeatTimer = o.after(heartbeatInterval, func() {
		for _, s := range o.shards {
			if s.owned() {
				o.scheduleHeartbeat()
				return
			}
		}
	})
}

// setOwnedAt notes that the shard was owned at a time: that at which a record was
// first sent which counted. The time of a read proves nothing, since what was
// read may have waited in a buffer.
func (s *shard) setOwnedAt(at time.Time) {
	if at.After(s.ownedAt) {
		s.ownedAt = at
	}
}

// verifiedSincePause tells whether no pause came since the shard was last proven owned. In
// an outage nobody can claim it, as far as this owner can tell.
func (s *shard) verifiedSincePause() bool { return s.logDown() || !s.ownedAt.Before(s.o.resumedAt) }

// needsVerification tells whether a call has to wait until the log proves that the shard
// is still owned: after a pause, or if earlier deliveries of a not-repeatable
// key have to be known.
func (s *shard) needsVerification(m *structs.Submit) bool {
	if s.verified || s.logDown() {
		return false
	}
	service, _ := s.o.settings.Service(m.Call.Service)
	notRepeatable := m.Call.NotRepeatable || service.NotRepeatable
	return !s.verifiedSincePause() || notRepeatable && !m.Call.Fresh
}

// ownershipCheck is what waits for the proof that the shard is owned since a time.
type ownershipCheck struct {
	since time.Time
	done  func(verified bool)
}

// verifyOwnership calls then once a record that was sent from now on counted, or with
// false if the log is down. It is never called if a newer claim turns up.
func (s *shard) verifyOwnership(done func(verified bool)) {
	if s.logDown() {
		done(false)
		return
	}
	s.ownershipChecks = append(s.ownershipChecks, ownershipCheck{since: s.o.now, done: done})
	s.appendCheck()
}

// appendCheck writes the record that proves the ownership to all that wait, one at a
// time.
func (s *shard) appendCheck() {
	if s.checkPending || !s.owned() {
		return
	}
	s.checkPending = true
	s.app.push(&journal.Check{}, urgent, func() {
		s.checkPending = false
		s.onOwnershipVerified(s.app.sentAt)
		if s.owned() && (len(s.ownershipChecks) > 0 || len(s.held) > 0) {
			s.appendCheck()
		}
	})
}

// onOwnershipVerified takes up what waited for a proof since before a time.
func (s *shard) onOwnershipVerified(at time.Time) {
	proofs, held := s.ownershipChecks, s.held
	s.ownershipChecks, s.held = nil, nil
	s.verified = true
	for _, p := range proofs {
		if p.since.After(at) {
			s.ownershipChecks = append(s.ownershipChecks, p)
			continue
		}
		p.done(true)
	}
	for _, h := range held {
		if h.arrived.After(at) {
			s.held = append(s.held, h)
			continue
		}
		s.o.timers.stop(h.deadline)
		s.o.redeliver(h)
	}
	s.verified = false
}

// failOwnershipChecks gives up the proofs in an outage: what is held is taken up again,
// since repeatable calls of known programs go on.
func (s *shard) failOwnershipChecks() {
	proofs := s.ownershipChecks
	s.ownershipChecks = nil
	for _, p := range proofs {
		p.done(false)
	}
	for _, h := range s.takeHeld() {
		s.o.redeliver(h)
	}
}

// holdUntilVerified holds a message until the log proves that the shard is owned.
func (s *shard) holdUntilVerified(from structs.InstanceID, msg structs.Message) {
	s.holdMessage(from, msg)
	s.appendCheck()
}

// deferRefusal tells whether a refusal by the shard's state must wait for a proof:
// a newer owner may know better. It holds the message then, or refuses it if the
// log is down.
func (s *shard) deferRefusal(from structs.InstanceID, msg structs.Message) bool {
	if s.verified {
		return false
	}
	if s.logDown() {
		s.o.refuseMessage(from, msg, structs.ReasonLogUnavailable, logRetryAfter)
		return true
	}
	s.holdUntilVerified(from, msg)
	return true
}

// stateReasons lists the reasons that follow from what the owner knows.
var stateReasons = []structs.Reason{
	structs.ReasonUnknownProgram, structs.ReasonForeignProgram, structs.ReasonTooOld, structs.ReasonProgramClosed,
	structs.ReasonStaleNumber, structs.ReasonBudget,
}

func dependsOnState(reason structs.Reason) bool { return slices.Contains(stateReasons, reason) }

// refuseVerified refuses a call by the shard's state once that is proven to be current.
func (c *call) refuseVerified(reason structs.Reason, after time.Duration, done func()) {
	if c.sentRuns > 0 {
		c.refuse(reason, after)
		return
	}
	c.phase = phaseVerifying
	c.shard.verifyOwnership(func(verified bool) {
		switch {
		case c.phase != phaseVerifying:
		case !verified:
			c.refuse(structs.ReasonLogUnavailable, logRetryAfter)
		default:
			c.refuse(reason, after)
			if done != nil {
				done()
			}
		}
	})
}
