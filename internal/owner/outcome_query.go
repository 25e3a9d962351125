package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// outcomeQueryTimeout limits the wait for one target's reply, maxQueriedTargets
// the targets queried for one call.
const (
	outcomeQueryTimeout = 2 * time.Second
	maxQueriedTargets   = 8
)

// outcomeQuery asks targets whether they ran a call.
type outcomeQuery struct {
	run     structs.RunID
	program structs.ProgramID
	key     string
	targets []structs.Target
	timer   *timer
	done    func(found bool, out structs.Outcome)
}

// queryOutcome queries the targets one after the other until one reports the
// call's outcome. If none does, the call may still run: a request may be in
// flight.
func (o *Owner) queryOutcome(run structs.RunID, program structs.ProgramID, key string, targets []structs.Target,
	done func(found bool, out structs.Outcome),
) {
	if len(targets) > maxQueriedTargets {
		targets = targets[:maxQueriedTargets]
	}
	a := &outcomeQuery{run: run, program: program, key: key, targets: targets, done: done}
	o.outcomeQueries[run] = a
	o.queryNextTarget(a)
}

func (o *Owner) queryNextTarget(a *outcomeQuery) {
	o.timers.stop(a.timer)
	if len(a.targets) == 0 {
		delete(o.outcomeQueries, a.run)
		a.done(false, structs.Outcome{})
		return
	}
	target := a.targets[0]
	a.targets = a.targets[1:]
	o.emit(structs.QueryOutcome{Run: a.run, Target: target, Program: a.program, Key: a.key})
	a.timer = o.after(outcomeQueryTimeout, func() { o.queryNextTarget(a) })
}

func (o *Owner) onOutcomeAsked(e structs.OutcomeQueried) {
	a := o.outcomeQueries[e.Run]
	if a == nil {
		return
	}
	if !e.Found {
		o.queryNextTarget(a)
		return
	}
	o.timers.stop(a.timer)
	delete(o.outcomeQueries, e.Run)
	a.done(true, e.Outcome)
}
