package owner

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// pauseThreshold is the gap between two ticks after which this process may
	// have been paused. What it knows or reads then may be as old as the pause,
	// so it does not verify ownership.
	pauseThreshold = 500 * time.Millisecond
	// heartbeatInterval is the time between two ticks of an owner without work.
	heartbeatInterval = 250 * time.Millisecond
)

// detectPause records a possible pause of this process.
func (o *Owner) detectPause() {
	if o.now.Sub(o.lastTick) > pauseThreshold {
		o.resumedAt = o.now
	}
	o.lastTick = o.now
}

// scheduleHeartbeat keeps ticks frequent while shards are owned, so that pauses
// can be detected.
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

// setOwnedAt records that the shard was owned at a time. Only the time at which a
// committed record was first sent may be passed. The time of a read does not
// qualify, since the data may have waited in a buffer.
func (s *shard) setOwnedAt(at time.Time) {
	if at.After(s.ownedAt) {
		s.ownedAt = at
	}
}

// verifiedSincePause reports whether ownership was verified since the last pause.
// During a log outage no instance can claim the shard, as far as this owner can
// observe.
func (s *shard) verifiedSincePause() bool { return s.logDown() || !s.ownedAt.Before(s.o.resumedAt) }

// needsVerification reports whether a call must wait until the log confirms
// ownership: after a pause, or if earlier deliveries of a not-repeatable key must
// be known.
func (s *shard) needsVerification(m *structs.Submit) bool {
	if s.verified || s.logDown() {
		return false
	}
	service, _ := s.o.settings.Service(m.Call.Service)
	notRepeatable := m.Call.NotRepeatable || service.NotRepeatable
	return !s.verifiedSincePause() || notRepeatable && !m.Call.Fresh
}

// ownershipCheck is a callback that waits for a verification that the shard was
// owned at or after a time.
type ownershipCheck struct {
	since time.Time
	done  func(verified bool)
}

// verifyOwnership calls done once a record sent from now on is committed, or with
// false if the log is unavailable. done is never called if a newer claim is read.
func (s *shard) verifyOwnership(done func(verified bool)) {
	if s.logDown() {
		done(false)
		return
	}
	s.ownershipChecks = append(s.ownershipChecks, ownershipCheck{since: s.o.now, done: done})
	s.appendCheck()
}

// appendCheck appends one Check record at a time, on behalf of all waiting
// checks.
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

// onOwnershipVerified completes the checks and redelivers the held messages that
// are not newer than at.
func (s *shard) onOwnershipVerified(at time.Time) {
	checks, held := s.ownershipChecks, s.held
	s.ownershipChecks, s.held = nil, nil
	s.verified = true
	for _, check := range checks {
		if check.since.After(at) {
			s.ownershipChecks = append(s.ownershipChecks, check)
			continue
		}
		check.done(true)
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

// failOwnershipChecks fails the pending checks in an outage. Held messages are
// redelivered, since repeatable calls of known programs continue.
func (s *shard) failOwnershipChecks() {
	checks := s.ownershipChecks
	s.ownershipChecks = nil
	for _, check := range checks {
		check.done(false)
	}
	for _, h := range s.takeHeld() {
		s.o.redeliver(h)
	}
}

// holdUntilVerified holds a message until the log confirms ownership.
func (s *shard) holdUntilVerified(from structs.InstanceID, msg structs.Message) {
	s.holdMessage(from, msg)
	s.appendCheck()
}

// deferRefusal reports whether a refusal that depends on the shard's state is
// deferred. A newer owner may have other state, so the message is held until
// ownership is verified, or refused with RetryAfter if the log is unavailable.
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

// stateReasons lists the refusal reasons that depend on the shard's state.
var stateReasons = []structs.Reason{
	structs.ReasonUnknownProgram, structs.ReasonForeignProgram, structs.ReasonTooOld, structs.ReasonProgramClosed,
	structs.ReasonStaleNumber, structs.ReasonBudget,
}

func dependsOnState(reason structs.Reason) bool { return slices.Contains(stateReasons, reason) }

// refuseVerified refuses a call based on the shard's state once ownership is
// verified.
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
