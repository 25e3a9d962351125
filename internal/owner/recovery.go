package owner

import (
	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// recovery is a not-repeatable run of a previous owner whose outcome is unknown.
// The call does not run again. Its lane is blocked until the previous owner's
// outcome was read, or until that owner can no longer send.
type recovery struct {
	prog  *program
	run   *journal.OpenRun
	timer *timer
}

// recover resolves the state that previous owners left open.
func (s *shard) recover() {
	for _, id := range journal.SortedKeys(s.state.Programs) {
		row := s.state.Programs[id]
		p := s.liveProgram(id, row.Team)
		for _, run := range row.OpenRuns() {
			// A run of this instance from an earlier tenure may still be in
			// progress.
			if run.NotRepeatable && run.Epoch < s.epoch && !p.running(run) {
				p.recoverRun(run)
			}
		}
		if row.Closed || row.Single {
			p.onNoCalls()
		}
	}
}

// running reports whether a live call made the run.
func (p *program) running(run *journal.OpenRun) bool {
	c := p.calls[run.Key]
	return c != nil && c.run == run.Run
}

func (p *program) recoverRun(run *journal.OpenRun) {
	r := &recovery{prog: p, run: run}
	p.recovery[run.Run] = r
	p.laneOf(run.Lane).blocked++
	r.timer = p.shard.o.after(p.shard.o.cfg.RecoveryWait, r.expire)
}

// awaitRecovery makes the call wait for a previous owner's run of its key.
func (p *program) awaitRecovery(c *call) {
	if p.recovering(c.key) {
		c.phase = phaseRecovery
	}
}

// recovering reports whether a previous owner may have run the call of a key.
func (p *program) recovering(key string) bool {
	for _, r := range p.recovery {
		if r.run.Key == key {
			return true
		}
	}
	return false
}

// onPreviousOwnerRecord handles a fact that a previous owner recorded late.
func (s *shard) onPreviousOwnerRecord(rec journal.Record) {
	switch b := rec.Body.(type) {
	case *journal.Started:
		// The previous owner's target may hold cache of a closed program.
		if p := s.programs[b.Program]; p != nil {
			p.startRelease()
		}
	case *journal.Done:
		s.onOutcomeRead(b.Program, b.Run)
	case *journal.Abandoned:
		s.onOutcomeRead(b.Program, b.Run)
	}
}

func (s *shard) onOutcomeRead(id structs.ProgramID, run structs.RunID) {
	p := s.programs[id]
	if p == nil {
		return
	}
	if r := p.recovery[run]; r != nil {
		r.resolve()
		return
	}
	// The lane's last number may have advanced, so a call that waited for its
	// predecessor can start.
	p.advance()
}

// expire is called when the previous owner can no longer send.
func (r *recovery) expire() {
	o := r.prog.shard.o
	service, _ := o.settings.Service(r.run.Service)
	if !service.AskByKey {
		r.recordOutcome(false, structs.Outcome{})
		return
	}
	targets := o.members.Targets(r.run.Service)
	if t, ok := o.findTarget(r.run.Service, r.run.Target); ok {
		targets = []structs.Target{t}
	}
	o.queryOutcome(r.run.Run, r.run.Program, r.run.Key, targets, r.recordOutcome)
}

// recordOutcome records the outcome that the target reported, or an unknown
// outcome, so that every retry receives the same one.
func (r *recovery) recordOutcome(found bool, out structs.Outcome) {
	p := r.prog
	if p.recovery[r.run.Run] != r || !p.shard.owned() {
		return
	}
	cost := r.run.Hold
	if found {
		out.Kind = structs.OutcomeAnswered
		cost.Tokens = out.Usage.Tokens()
		r.logEvent("outcome of a previous owner's run found at its target")
	} else {
		out = unknown(structs.ReasonOwnerLost)
		r.logEvent("outcome of a previous owner's run remains unknown")
	}
	p.shard.app.push(&journal.Done{
		CallID: r.run.CallID, Service: r.run.Service, Target: r.run.Target, NotRepeatable: true,
		Cost: cost, Outcome: out, HistoryCount: r.run.HistoryCount, HistoryDigest: r.run.HistoryDigest,
	}, urgent, nil)
	r.resolve()
}

// resolve unblocks the lane. Calls that waited for the run get its outcome, or
// run themselves if the run was abandoned.
func (r *recovery) resolve() {
	p := r.prog
	p.shard.o.timers.stop(r.timer)
	delete(p.recovery, r.run.Run)
	p.laneOf(r.run.Lane).blocked--
	for _, c := range p.sortedCalls() {
		if c.phase != phaseRecovery || c.key != r.run.Key {
			continue
		}
		if !c.completeFromRecord() {
			c.phase = phaseQueued
		}
	}
	p.advance()
	p.checkNoCalls()
}

func (p *program) checkNoCalls() {
	if len(p.calls) == 0 {
		p.onNoCalls()
	}
}
