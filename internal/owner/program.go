package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// program is the live state of a program. Its durable state is in the shard's
// journal state. A single call has none before its first record.
type program struct {
	shard *shard
	id    structs.ProgramID
	team  structs.Team
	lanes map[structs.Lane]*lane
	calls map[string]*call
	// held is the amount of the chunk that running calls may use. pending is the
	// sum of reservations and Intents that are not committed yet.
	held    journal.Amount
	pending journal.Amount
	// reserving indicates that a reservation is not committed yet.
	reserving bool
	// closing indicates that a Closed record is not committed yet.
	closing bool
	// waiters holds the requests that wait for Open or Closed to commit.
	waiters        []*programWaiter
	idleTimer      *timer
	releaseTimer   *timer
	releaseBackoff time.Duration
	recovery       map[structs.RunID]*recovery
	// gapSkips holds, by lane, the number that may start behind missing ones in
	// this epoch; see maySkipGap.
	gapSkips map[structs.Lane]uint64
	// unknownNumbers holds, by lane, the highest number that was reported as
	// unknown without a record. The lane may continue behind it.
	unknownNumbers map[structs.Lane]uint64
}

// programWaiter is a gateway that waits for a program operation.
type programWaiter struct {
	request structs.RequestID
	from    structs.InstanceID
	timer   *timer
}

// liveProgram returns the live state of a program and creates it if missing.
func (s *shard) liveProgram(id structs.ProgramID, team structs.Team) *program {
	p := s.programs[id]
	if p != nil {
		return p
	}
	p = &program{
		shard: s, id: id, team: team, lanes: make(map[structs.Lane]*lane),
		calls: make(map[string]*call), recovery: make(map[structs.RunID]*recovery),
	}
	s.programs[id] = p
	p.startIdleTimer()
	return p
}

func (p *program) row() *journal.Program { return p.shard.row(p.id) }

func (p *program) policy() structs.Policy { return p.shard.o.settings.Policy(p.team) }

// closedFor reports whether the program refuses the call because it is closed.
func (p *program) closedFor(spec *structs.Call) bool {
	if p.closing {
		return true
	}
	row := p.row()
	return row != nil && (row.Closed || row.Single && !spec.Single)
}

func (p *program) addCall(c *call) {
	p.calls[c.key] = c
	p.shard.calls++
	p.laneOf(c.spec.Lane).insert(c)
	p.shard.o.timers.stop(p.idleTimer)
}

// end removes a call from all tables and advances its lane.
func (c *call) end() {
	if c.phase == phaseEnded {
		return
	}
	o, p := c.shard.o, c.prog
	c.releaseHold()
	c.withdrawPermit()
	c.phase = phaseEnded
	o.timers.stop(c.timer)
	o.timers.stop(c.lingerTimer)
	delete(o.runs, c.run)
	if p.calls[c.key] == c {
		delete(p.calls, c.key)
	}
	c.shard.calls--
	c.lane.remove(c)
	if len(p.calls) == 0 {
		p.onNoCalls()
	}
	if c.shard.tenure == tenureLost {
		c.shard.unloadIfDone()
		return
	}
	if o.draining && c.shard.owned() {
		c.shard.settleChunks()
	}
	p.reserveAhead(c.worstCase())
	p.advance()
}

// onNoCalls is called when the program has no live calls.
func (p *program) onNoCalls() {
	if !p.shard.owned() {
		return
	}
	p.startIdleTimer()
	row := p.row()
	if row != nil && row.Single && len(p.recovery) == 0 {
		p.close(structs.ReasonNone)
	}
	p.startRelease()
	p.dropIfEmpty()
}

// dropIfEmpty drops live state without durable state or waiting requests.
func (p *program) dropIfEmpty() {
	if p.row() == nil && len(p.calls) == 0 && len(p.waiters) == 0 {
		p.stop()
		delete(p.shard.programs, p.id)
	}
}

func (p *program) stop() {
	t := &p.shard.o.timers
	t.stop(p.idleTimer)
	t.stop(p.releaseTimer)
	for _, w := range p.waiters {
		t.stop(w.timer)
	}
	for _, id := range journal.SortedKeys(p.recovery) {
		t.stop(p.recovery[id].timer)
	}
}

// reasonIdle is the reason of a program closed by the idle timeout.
const reasonIdle structs.Reason = "idle"

// startIdleTimer closes the program after the policy's idle timeout.
func (p *program) startIdleTimer() {
	o := p.shard.o
	o.timers.stop(p.idleTimer)
	if d := p.policy().IdleTimeout; d > 0 {
		p.idleTimer = o.after(d, p.onIdleTimeout)
	}
}

// resetIdleTimer restarts the idle timer on any request of the program, refused
// ones included.
func (p *program) resetIdleTimer() {
	if len(p.calls) == 0 {
		p.startIdleTimer()
	}
}

// onIdleTimeout closes the program unless the log is unavailable. Calls may be
// refused in an outage, so the caller may be active without having live calls.
func (p *program) onIdleTimeout() {
	if p.shard.logDown() {
		p.startIdleTimer()
		return
	}
	if len(p.calls) == 0 && p.shard.owned() {
		p.close(reasonIdle)
	}
}

// close ends the program. New calls and those that were not sent are refused, and
// its cache is released once no call runs.
func (p *program) close(reason structs.Reason) {
	row := p.row()
	if p.closing || row != nil && row.Closed {
		return
	}
	p.closing = true
	p.logEvent("program closed", reason)
	p.shard.o.timers.stop(p.idleTimer)
	for _, c := range p.sortedCalls() {
		if !c.mayHaveRun() && c.phase != phaseEnded {
			c.refuse(structs.ReasonProgramClosed, 0)
		}
	}
	if p.row() == nil {
		return
	}
	u := urgency(len(p.waiters) > 0)
	p.shard.app.push(&journal.Closed{Program: p.id, Reason: reason, Targets: p.cacheTargets()}, u, p.onClosed)
}

func (p *program) onClosed() {
	p.replyToWaiters()
	p.notifyDispatchers()
	p.startRelease()
}

func (p *program) sortedCalls() []*call {
	list := make([]*call, 0, len(p.calls))
	for _, key := range journal.SortedKeys(p.calls) {
		list = append(list, p.calls[key])
	}
	return list
}

func (o *Owner) onProgramRequest(from structs.InstanceID, m *structs.ProgramRequest) {
	region, _, err := m.Program.Parse()
	if err != nil || region != o.cfg.Self.Region {
		o.refuseMessage(from, m, structs.ReasonUnknownProgram, 0)
		return
	}
	s := o.ensureShard(structs.ShardOf(m.Program, o.cfg.Shards))
	switch {
	case s.owned() && !o.draining:
		s.handleProgramOp(from, m)
	case s.owned():
		o.sendNotOwner(from, m, s.successor())
	default:
		s.claimOrRedirect(from, m, m.Suspects)
	}
}

// handleProgramOp performs an operation on a program of an owned shard.
func (s *shard) handleProgramOp(from structs.InstanceID, m *structs.ProgramRequest) {
	row := s.row(m.Program)
	if m.Op == structs.ProgramOpen && row == nil {
		s.open(from, m)
		return
	}
	if (row == nil || row.Closed || !m.Team.Contains(row.Team)) && s.deferRefusal(from, m) {
		return
	}
	if row == nil {
		s.o.refuseMessage(from, m, structs.ReasonUnknownProgram, 0)
		return
	}
	if !m.Team.Contains(row.Team) {
		s.o.refuseMessage(from, m, structs.ReasonForeignProgram, 0)
		return
	}
	p := s.liveProgram(m.Program, row.Team)
	if row.Closed || m.Op == structs.ProgramOpen || m.Op == structs.ProgramShow {
		p.reply(from, m.Request)
		return
	}
	p.addWaiter(from, m)
	if m.Op == structs.ProgramCancel {
		p.cancelRuns()
	}
	p.close(structs.ReasonNone)
}

// open journals a program and replies once the record is committed.
func (s *shard) open(from structs.InstanceID, m *structs.ProgramRequest) {
	_, created, _ := m.Program.Parse()
	switch {
	case s.logDown():
		s.o.refuseMessage(from, m, structs.ReasonLogUnavailable, logRetryAfter)
		return
	case s.o.now.Sub(created) > s.o.settings.Policy(m.Team).IdempotencyWindow:
		s.o.refuseMessage(from, m, structs.ReasonTooOld, 0)
		return
	case len(s.state.Programs) >= maxShardPrograms || s.app.full():
		s.o.refuseMessage(from, m, structs.ReasonOverloaded, busyRetryAfter)
		return
	}
	p := s.liveProgram(m.Program, m.Team)
	p.addWaiter(from, m)
	if len(p.waiters) == 1 {
		s.app.push(&journal.Open{Program: m.Program, Team: m.Team}, urgent, p.replyToWaiters)
	}
}

// addWaiter adds a gateway that receives a reply when the program's record is
// committed, or an unknown outcome on timeout.
func (p *program) addWaiter(from structs.InstanceID, m *structs.ProgramRequest) {
	w := &programWaiter{request: m.Request, from: from}
	w.timer = p.shard.o.after(min(confirmTimeout, m.Remaining), func() {
		for i, other := range p.waiters {
			if other == w {
				p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			}
		}
		out := unknown(structs.ReasonLogUnavailable)
		out.RetryAfter = logRetryAfter
		p.shard.o.send(from, &structs.ProgramReply{Request: m.Request, Outcome: out})
	})
	p.waiters = append(p.waiters, w)
}

func (p *program) replyToWaiters() {
	waiters := p.waiters
	p.waiters = nil
	for _, w := range waiters {
		p.shard.o.timers.stop(w.timer)
		p.reply(w.from, w.request)
	}
}

func (p *program) reply(to structs.InstanceID, request structs.RequestID) {
	p.shard.o.send(to, &structs.ProgramReply{
		Request: request, Outcome: structs.Outcome{Kind: structs.OutcomeAnswered}, Info: p.info(),
	})
}
