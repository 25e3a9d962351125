package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

func (o *Owner) onSubmit(from structs.InstanceID, m *structs.Submit) {
	if c := o.requests[m.Request]; c != nil {
		o.send(from, &structs.SubmitAccepted{Request: m.Request})
		c.reattach(from, m)
		return
	}
	if m.Remaining <= 0 {
		o.refuseSubmit(from, m, structs.ReasonDeadline, 0)
		return
	}
	region, _, err := m.Call.Program.Parse()
	if err != nil || region != o.cfg.Self.Region {
		o.refuseSubmit(from, m, structs.ReasonUnknownProgram, 0)
		return
	}
	s := o.ensureShard(structs.ShardOf(m.Call.Program, o.cfg.Shards))
	switch {
	case s.updateHeld(from, m):
		o.send(from, &structs.SubmitAccepted{Request: m.Request})
	case s.owned() && !o.draining && s.needsVerification(m):
		s.holdUntilVerified(from, m)
	case s.owned() && !o.draining:
		s.submit(from, m)
	case s.owned():
		o.sendNotOwner(from, m, s.successor())
	default:
		s.claimOrRedirect(from, m, m.Suspects)
	}
}

// updateHeld handles a repeated Submit of a held request. The later one replaces
// the earlier, since it indicates whether another owner had the request in
// between.
func (s *shard) updateHeld(from structs.InstanceID, repeated *structs.Submit) bool {
	for _, h := range s.held {
		m, ok := h.msg.(*structs.Submit)
		if !ok || m.Request != repeated.Request {
			continue
		}
		updated := *repeated
		updated.Resubmitted = updated.Resubmitted || m.Resubmitted
		h.from, h.msg, h.arrived = from, &updated, s.o.now
		return true
	}
	return false
}

// successor returns the instance to which gateways are redirected.
func (s *shard) successor() structs.InstanceID {
	if s.tenure == tenureLost {
		return s.newOwner
	}
	for _, id := range s.o.members.Ranked(s.ref) {
		if id != s.o.cfg.Self.ID && s.usable(id) {
			return id
		}
	}
	return ""
}

// submit accepts or refuses a call of an owned shard.
func (s *shard) submit(from structs.InstanceID, m *structs.Submit) {
	o := s.o
	key := m.Call.Key
	if key == "" {
		// A resubmission carries the same request id.
		key = journal.GeneratedKeyPrefix + string(m.Request)
	}
	p, reason := s.programOf(m.Call)
	if dependsOnState(reason) && s.deferRefusal(from, m) {
		return
	}
	if reason != structs.ReasonNone {
		out := refusal(m.Call, reason, 0, m.Resubmitted || m.NextPiece > 0, s.hasAllDeliveries())
		o.send(from, &structs.CallEnd{Request: m.Request, Outcome: out})
		return
	}
	p.resetIdleTimer()
	if p.handleKnownKey(from, m, key) {
		return
	}
	service, _ := o.settings.Service(m.Call.Service)
	notRepeatable := m.Call.NotRepeatable || service.NotRepeatable
	// A call that a previous owner may have run is not refused as "not run".
	if !p.recovering(key) {
		if reason, after := s.admission(p, m, key); reason != structs.ReasonNone {
			if dependsOnState(reason) && s.deferRefusal(from, m) {
				p.dropIfEmpty()
				return
			}
			maybeElsewhere := m.Resubmitted || m.NextPiece > 0 || p.mayRerun(key) || p.wasSkipped(m.Call)
			out := refusal(m.Call, reason, after, maybeElsewhere, s.hasAllDeliveries() && p.hasAllRuns(notRepeatable))
			p.recordUnknown(m.Call, out)
			o.send(from, &structs.CallEnd{Request: m.Request, Outcome: out})
			p.dropIfEmpty()
			return
		}
	}
	o.send(from, &structs.SubmitAccepted{Request: m.Request})
	c := &call{
		shard: s, prog: p, spec: withDefaults(m.Call, key), key: key, service: service,
		notRepeatable: notRepeatable,
		rerun:         p.mayRerun(key), keyLookedUp: s.hasAllDeliveries(), arrived: o.now, phase: phaseQueued,
	}
	c.attach(from, m)
	p.addCall(c)
	p.awaitRecovery(c)
	p.advance()
}

// withDefaults sets a token limit, so that the worst case is known, and the key,
// so that the target can recognize a repeated call.
func withDefaults(spec *structs.Call, key string) *structs.Call {
	c := *spec
	c.Key = key
	if c.Kind == structs.CallChat && c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	return &c
}

// programOf returns the live state of a call's program.
func (s *shard) programOf(spec *structs.Call) (*program, structs.Reason) {
	row := s.row(spec.Program)
	if row != nil {
		if !spec.Team.Contains(row.Team) {
			return nil, structs.ReasonForeignProgram
		}
		return s.liveProgram(spec.Program, row.Team), structs.ReasonNone
	}
	if p := s.programs[spec.Program]; p != nil {
		if !spec.Team.Contains(p.team) {
			return nil, structs.ReasonForeignProgram
		}
		return p, structs.ReasonNone
	}
	_, created, _ := spec.Program.Parse()
	// Programs are purged after the window, so an unknown program older than that
	// may have run.
	window := s.o.settings.Policy(spec.Team).IdempotencyWindow
	if s.o.now.Sub(created) > window {
		return nil, structs.ReasonTooOld
	}
	if !spec.Single {
		return nil, structs.ReasonUnknownProgram
	}
	return s.liveProgram(spec.Program, spec.Team), structs.ReasonNone
}

// admission performs the checks that do not depend on the call's turn in the
// lane.
func (s *shard) admission(p *program, m *structs.Submit, key string) (structs.Reason, time.Duration) {
	spec := m.Call
	service, ok := s.o.settings.Service(spec.Service)
	switch {
	case !ok:
		return structs.ReasonUnknownService, 0
	case p.closedFor(spec):
		return structs.ReasonProgramClosed, 0
	case len(p.calls) >= maxProgramCalls || s.calls >= maxShardCalls || s.app.full():
		return structs.ReasonOverloaded, busyRetryAfter
	case len(s.state.Programs) >= maxShardPrograms && p.row() == nil:
		return structs.ReasonOverloaded, busyRetryAfter
	case s.state.Bytes > maxShardResponseBytes:
		return structs.ReasonOverloaded, busyRetryAfter
	case s.logDown() && (spec.NotRepeatable || service.NotRepeatable):
		return structs.ReasonLogUnavailable, logRetryAfter
	case p.stale(spec) && !p.mayRerun(key):
		return structs.ReasonStaleNumber, 0
	}
	return structs.ReasonNone, 0
}

// stale reports whether the lane has already passed the call's number.
func (p *program) stale(spec *structs.Call) bool {
	if spec.Number == 0 {
		return false
	}
	if l := p.lanes[spec.Lane]; l != nil && l.current != nil && spec.Number <= l.current.spec.Number {
		return true
	}
	row := p.row()
	if row == nil {
		return false
	}
	l := row.Lanes[spec.Lane]
	return l != nil && spec.Number <= l.Last
}
