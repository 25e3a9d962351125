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
	s := o.shardRow(structs.ShardOf(m.Call.Program, o.cfg.Shards))
	switch {
	case s.holdAgain(from, m):
		o.send(from, &structs.SubmitAccepted{Request: m.Request})
	case s.owned() && !o.draining && s.unproven(m):
		s.verify(from, m)
	case s.owned() && !o.draining:
		s.submit(from, m)
	case s.owned():
		o.notOwner(from, m, s.successor())
	default:
		s.take(from, m, m.Suspects)
	}
}

// holdAgain takes a repeated Submit of a request that is held already. The later
// one counts: it tells whether another owner had the request in between.
func (s *shard) holdAgain(from structs.InstanceID, again *structs.Submit) bool {
	for _, h := range s.held {
		m, ok := h.msg.(*structs.Submit)
		if !ok || m.Request != again.Request {
			continue
		}
		later := *again
		later.Resubmitted = later.Resubmitted || m.Resubmitted
		h.from, h.msg, h.arrived = from, &later, s.o.now
		return true
	}
	return false
}

// successor is the instance that gateways should ask instead of this one.
func (s *shard) successor() structs.InstanceID {
	if s.tenure == tenureLost {
		return s.winner
	}
	for _, id := range s.o.members.Ranked(s.ref) {
		if id != s.o.cfg.Self.ID && s.usable(id) {
			return id
		}
	}
	return ""
}

// submit takes a call of an owned shard.
func (s *shard) submit(from structs.InstanceID, m *structs.Submit) {
	o := s.o
	key := m.Call.Key
	if key == "" {
		// A resubmission carries the same request id.
		key = journal.KeylessPrefix + string(m.Request)
	}
	p, reason := s.programOf(m.Call)
	if isByState(reason) && s.refutable(from, m) {
		return
	}
	if reason != structs.ReasonNone {
		out := refusal(m.Call, reason, 0, m.Resubmitted || m.NextPiece > 0, s.lookedUp())
		o.send(from, &structs.CallEnd{Request: m.Request, Outcome: out})
		return
	}
	p.touch()
	if p.replayed(from, m, key) {
		return
	}
	service, _ := o.settings.Service(m.Call.Service)
	notRepeatable := m.Call.NotRepeatable || service.NotRepeatable
	// What an earlier owner may have run is not refused as "not run".
	if !p.recovering(key) {
		if reason, after := s.admission(p, m, key); reason != structs.ReasonNone {
			if isByState(reason) && s.refutable(from, m) {
				p.dropIfEmpty()
				return
			}
			elsewhere := m.Resubmitted || m.NextPiece > 0 || p.mayRedo(key) || p.passed(m.Call)
			out := refusal(m.Call, reason, after, elsewhere, s.lookedUp() && p.sees(notRepeatable))
			p.told(m.Call, out)
			o.send(from, &structs.CallEnd{Request: m.Request, Outcome: out})
			p.dropIfEmpty()
			return
		}
	}
	o.send(from, &structs.SubmitAccepted{Request: m.Request})
	c := &call{
		shard: s, prog: p, spec: bounded(m.Call, key), key: key, service: service,
		notRepeatable: notRepeatable,
		redo:          p.mayRedo(key), lookedUp: s.lookedUp(), arrived: o.now, phase: phaseQueued,
	}
	c.attach(from, m)
	p.add(c)
	p.recoverCall(c)
	p.advance()
}

// bounded gives the call a bound of its answer, so that its worst case is known,
// and a key, so that its target can tell a repeat.
func bounded(spec *structs.Call, key string) *structs.Call {
	c := *spec
	c.Key = key
	if c.Kind == structs.CallChat && c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	return &c
}

// programOf finds the live row of a call's program.
func (s *shard) programOf(spec *structs.Call) (*program, structs.Reason) {
	row := s.row(spec.Program)
	if row != nil {
		if !spec.Team.Contains(row.Team) {
			return nil, structs.ReasonForeignProgram
		}
		return s.live(spec.Program, row.Team), structs.ReasonNone
	}
	if p := s.programs[spec.Program]; p != nil {
		if !spec.Team.Contains(p.team) {
			return nil, structs.ReasonForeignProgram
		}
		return p, structs.ReasonNone
	}
	_, created, _ := spec.Program.Parse()
	// What is known of a program is forgotten after the window, so an
	// unknown one that is older may have run.
	window := s.o.settings.Policy(spec.Team).IdempotencyWindow
	if s.o.now.Sub(created) > window {
		return nil, structs.ReasonTooOld
	}
	if !spec.Single {
		return nil, structs.ReasonUnknownProgram
	}
	return s.live(spec.Program, spec.Team), structs.ReasonNone
}

// admission checks what can be checked before the call's turn.
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
	case s.state.Bytes > maxShardBytes:
		return structs.ReasonOverloaded, busyRetryAfter
	case s.logDown() && (spec.NotRepeatable || service.NotRepeatable):
		return structs.ReasonLogUnavailable, logRetryAfter
	case p.stale(spec) && !p.mayRedo(key):
		return structs.ReasonStaleNumber, 0
	}
	return structs.ReasonNone, 0
}

// stale tells whether the call's number was passed and its record is gone.
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
