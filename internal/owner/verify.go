package owner

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// pauseLimit is the gap between two ticks after which this process may
	// have been paused. Whatever it knows or reads then may be as old as the
	// pause, so that it proves nothing about now.
	pauseLimit = 500 * time.Millisecond
	// pauseTick is the time between two ticks of an owner without work.
	pauseTick = 250 * time.Millisecond
)

// noticePause begins a time of distrust after a gap between ticks.
func (o *Owner) noticePause() {
	if o.now.Sub(o.tickedAt) > pauseLimit {
		o.resumedAt = o.now
	}
	o.tickedAt = o.now
}

// watchPause keeps the ticks close together while shards are owned.
func (o *Owner) watchPause() {
	if o.heartbeat != nil && o.heartbeat.index >= 0 {
		return
	}
	o.heartbeat = o.after(pauseTick, func() {
		for _, s := range o.shards {
			if s.owned() {
				o.watchPause()
				return
			}
		}
	})
}

// provenAt notes that the shard was owned at a time: that at which a record was
// first sent which counted. The time of a read proves nothing, since what was
// read may have waited in a buffer.
func (s *shard) provenAt(at time.Time) {
	if at.After(s.readAt) {
		s.readAt = at
	}
}

// trusted tells whether no pause came since the shard was last proven owned. In
// an outage nobody can claim it, as far as this owner can tell.
func (s *shard) trusted() bool { return s.logDown() || !s.readAt.Before(s.o.resumedAt) }

// unproven tells whether a call has to wait until the log proves that the shard
// is still owned: after a pause, or if earlier deliveries of a not-repeatable
// key have to be known.
func (s *shard) unproven(m *structs.Submit) bool {
	if s.proving || s.logDown() {
		return false
	}
	service, _ := s.o.settings.Service(m.Call.Service)
	notRepeatable := m.Call.NotRepeatable || service.NotRepeatable
	return !s.trusted() || notRepeatable && !m.Call.Fresh
}

// proof is what waits for the proof that the shard is owned since a time.
type proof struct {
	since time.Time
	then  func(proven bool)
}

// prove calls then once a record that was sent from now on counted, or with
// false if the log is down. It is never called if a newer claim turns up.
func (s *shard) prove(then func(proven bool)) {
	if s.logDown() {
		then(false)
		return
	}
	s.proofs = append(s.proofs, proof{since: s.o.now, then: then})
	s.check()
}

// check writes the record that proves the ownership to all that wait, one at a
// time.
func (s *shard) check() {
	if s.checking || !s.owned() {
		return
	}
	s.checking = true
	s.app.push(&journal.Check{}, urgent, func() {
		s.checking = false
		s.proven(s.app.oldest)
		if s.owned() && (len(s.proofs) > 0 || len(s.held) > 0) {
			s.check()
		}
	})
}

// proven takes up what waited for a proof since before a time.
func (s *shard) proven(at time.Time) {
	proofs, held := s.proofs, s.held
	s.proofs, s.held = nil, nil
	s.proving = true
	for _, p := range proofs {
		if p.since.After(at) {
			s.proofs = append(s.proofs, p)
			continue
		}
		p.then(true)
	}
	for _, h := range held {
		if h.arrived.After(at) {
			s.held = append(s.held, h)
			continue
		}
		s.o.timers.stop(h.deadline)
		s.o.redeliver(h)
	}
	s.proving = false
}

// disprove gives up the proofs in an outage: what is held is taken up again,
// since repeatable calls of known programs go on.
func (s *shard) disprove() {
	proofs := s.proofs
	s.proofs = nil
	for _, p := range proofs {
		p.then(false)
	}
	for _, h := range s.takeHeld() {
		s.o.redeliver(h)
	}
}

// verify holds a message until the log proves that the shard is owned.
func (s *shard) verify(from structs.InstanceID, msg structs.Message) {
	s.hold(from, msg)
	s.check()
}

// refutable tells whether a refusal by the shard's state must wait for a proof:
// a newer owner may know better. It holds the message then, or refuses it if the
// log is down.
func (s *shard) refutable(from structs.InstanceID, msg structs.Message) bool {
	if s.proving {
		return false
	}
	if s.logDown() {
		s.o.refuseMessage(from, msg, structs.ReasonLogUnavailable, logRetryAfter)
		return true
	}
	s.verify(from, msg)
	return true
}

// byState lists the reasons that follow from what the owner knows.
var byState = []structs.Reason{
	structs.ReasonUnknownProgram, structs.ReasonForeignProgram, structs.ReasonTooOld, structs.ReasonProgramClosed,
	structs.ReasonStaleNumber, structs.ReasonBudget,
}

func isByState(reason structs.Reason) bool { return slices.Contains(byState, reason) }

// deny refuses a call by the shard's state once that is proven to be current.
func (c *call) deny(reason structs.Reason, after time.Duration, then func()) {
	if c.sentRuns > 0 {
		c.refuse(reason, after)
		return
	}
	c.phase = phaseProving
	c.shard.prove(func(proven bool) {
		switch {
		case c.phase != phaseProving:
		case !proven:
			c.refuse(structs.ReasonLogUnavailable, logRetryAfter)
		default:
			c.refuse(reason, after)
			if then != nil {
				then()
			}
		}
	})
}
