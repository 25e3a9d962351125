package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// askTimeout bounds the wait for one target's word; maxAsked the targets asked
// for one call.
const (
	askTimeout = 2 * time.Second
	maxAsked   = 8
)

// ask is a question to targets whether they ran a call.
type ask struct {
	run     structs.RunID
	program structs.ProgramID
	key     string
	targets []structs.Target
	timer   *timer
	done    func(found bool, out structs.Outcome)
}

// ask asks the targets one after the other until one ran the call. That none
// did proves nothing: a request may still be on its way.
func (o *Owner) ask(run structs.RunID, program structs.ProgramID, key string, targets []structs.Target,
	done func(found bool, out structs.Outcome),
) {
	if len(targets) > maxAsked {
		targets = targets[:maxAsked]
	}
	a := &ask{run: run, program: program, key: key, targets: targets, done: done}
	o.asks[run] = a
	o.askNext(a)
}

func (o *Owner) askNext(a *ask) {
	o.timers.stop(a.timer)
	if len(a.targets) == 0 {
		delete(o.asks, a.run)
		a.done(false, structs.Outcome{})
		return
	}
	target := a.targets[0]
	a.targets = a.targets[1:]
	o.emit(structs.QueryOutcome{Run: a.run, Target: target, Program: a.program, Key: a.key})
	a.timer = o.after(askTimeout, func() { o.askNext(a) })
}

func (o *Owner) onOutcomeAsked(e structs.OutcomeQueried) {
	a := o.asks[e.Run]
	if a == nil {
		return
	}
	if !e.Found {
		o.askNext(a)
		return
	}
	o.timers.stop(a.timer)
	delete(o.asks, e.Run)
	a.done(true, e.Outcome)
}
