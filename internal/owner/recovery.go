package owner

import (
	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// recovery is a not-repeatable run of an earlier owner whose outcome is not
// known. It is never run again. Its lane waits until the earlier owner's
// outcome was read, or until that owner can send nothing more.
type recovery struct {
	prog  *program
	run   *journal.OpenRun
	timer *timer
}

// recover takes up what earlier owners left open.
func (s *shard) recover() {
	for _, id := range journal.SortedKeys(s.state.Programs) {
		row := s.state.Programs[id]
		p := s.liveProgram(id, row.Team)
		for _, run := range row.OpenRuns() {
			// A run of this instance from an earlier tenure may still go on.
			if run.NotRepeatable && run.Epoch < s.epoch && !p.running(run) {
				p.recoverRun(run)
			}
		}
		if row.Closed || row.Single {
			p.onNoCalls()
		}
	}
}

// running tells whether a live call made the run.
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

// awaitRecovery lets a call wait for the run that an earlier owner has of it.
func (p *program) awaitRecovery(c *call) {
	if p.recovering(c.key) {
		c.phase = phaseRecovery
	}
}

// recovering tells whether an earlier owner may have run the call of a key.
func (p *program) recovering(key string) bool {
	for _, r := range p.recovery {
		if r.run.Key == key {
			return true
		}
	}
	return false
}

// onPreviousOwnerRecord takes a fact that an earlier owner recorded late.
func (s *shard) onPreviousOwnerRecord(rec journal.Record) {
	switch b := rec.Body.(type) {
	case *journal.Started:
		// The earlier owner's target may hold cache of a closed program.
		if p := s.programs[b.Program]; p != nil {
			p.startRelease()
		}
	case *journal.Done:
		s.onOutcomeLearned(b.Program, b.Run)
	case *journal.Abandoned:
		s.onOutcomeLearned(b.Program, b.Run)
	}
}

func (s *shard) onOutcomeLearned(id structs.ProgramID, run structs.RunID) {
	p := s.programs[id]
	if p == nil {
		return
	}
	if r := p.recovery[run]; r != nil {
		r.resolve()
		return
	}
	// The lane's last number may have grown: a call that waited for its
	// predecessor can start.
	p.advance()
}

// expire runs when the earlier owner can send nothing more.
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

// recordOutcome records the outcome that the target told, or that it is unknown, so
// that every retry hears the same.
func (r *recovery) recordOutcome(found bool, out structs.Outcome) {
	p := r.prog
	if p.recovery[r.run.Run] != r || !p.shard.owned() {
		return
	}
	cost := r.run.Hold
	if found {
		out.Kind = structs.OutcomeAnswered
		cost.Tokens = out.Usage.Tokens()
		r.logEvent("outcome of an earlier owner's run found at its target")
	} else {
		out = unknown(structs.ReasonOwnerLost)
		r.logEvent("outcome of an earlier owner's run stays unknown")
	}
	p.shard.app.push(&journal.Done{
		CallID: r.run.CallID, Service: r.run.Service, Target: r.run.Target, NotRepeatable: true,
		Cost: cost, Outcome: out, HistoryCount: r.run.HistoryCount, HistoryDigest: r.run.HistoryDigest,
	}, urgent, nil)
	r.resolve()
}

// resolve frees the lane. Calls that waited for the run get its outcome, or
// their turn if the run was abandoned.
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
