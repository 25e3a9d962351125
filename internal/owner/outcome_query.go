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

// outcomeQuery is a query to targets for the outcome of a call.
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
	q := &outcomeQuery{run: run, program: program, key: key, targets: targets, done: done}
	o.outcomeQueries[run] = q
	o.queryNextTarget(q)
}

func (o *Owner) queryNextTarget(q *outcomeQuery) {
	o.timers.stop(q.timer)
	if len(q.targets) == 0 {
		delete(o.outcomeQueries, q.run)
		q.done(false, structs.Outcome{})
		return
	}
	target := q.targets[0]
	q.targets = q.targets[1:]
	o.emit(structs.QueryOutcome{Run: q.run, Target: target, Program: q.program, Key: q.key})
	q.timer = o.after(outcomeQueryTimeout, func() { o.queryNextTarget(q) })
}

func (o *Owner) onOutcomeQueried(e structs.OutcomeQueried) {
	q := o.outcomeQueries[e.Run]
	if q == nil {
		return
	}
	if !e.Found {
		o.queryNextTarget(q)
		return
	}
	o.timers.stop(q.timer)
	delete(o.outcomeQueries, e.Run)
	q.done(true, e.Outcome)
}
