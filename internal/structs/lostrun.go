package structs

import (
	"slices"
	"time"
)

// Kinds of the messages about lost runs.
const (
	KindLostRunsNotice MessageKind = 46
	KindLostRunsReply  MessageKind = 47
	KindLostRunsAlarm  MessageKind = 48
)

// LostRunState is what is known of a run that its target has not completed. A state
// replaces those before it.
type LostRunState uint8

const (
	// LostRunOpen: the run may be in progress, or its target may have ended under it.
	LostRunOpen LostRunState = 1
	// LostRunHarmless: the target serves, so that only the connection was lost.
	LostRunHarmless LostRunState = 2
	// LostRunTargetEnded: the target ended under the run.
	LostRunTargetEnded LostRunState = 3
	// LostRunOver: a later run completed the work, so that the work does not end targets.
	LostRunOver LostRunState = 4
)

// LostRun is a run that its target has not completed.
type LostRun struct {
	// ID identifies the run over all instances.
	ID string
	// Target is the incarnation of the target.
	Target string
	State  LostRunState
}

// LostRuns are the runs of one piece of work, each once.
type LostRuns []LostRun

// Merge adds runs and returns the result. Of two states of a run it keeps the later one.
func (r LostRuns) Merge(others LostRuns) LostRuns {
	for _, other := range others {
		known := slices.IndexFunc(r, func(run LostRun) bool { return run.ID == other.ID })
		if known < 0 {
			r = append(r, other)
			continue
		}
		r[known].State = max(r[known].State, other.State)
	}
	return r
}

// Targets returns the targets of the runs in one of the given states, each once.
func (r LostRuns) Targets(states ...LostRunState) []string {
	var targets []string
	for _, run := range r {
		if slices.Contains(states, run.State) && !slices.Contains(targets, run.Target) {
			targets = append(targets, run.Target)
		}
	}
	return targets
}

// Without returns the runs except one.
func (r LostRuns) Without(id string) LostRuns {
	return slices.DeleteFunc(slices.Clone(r), func(run LostRun) bool { return run.ID == id })
}

// Finish returns the runs as they are once a run has completed the work.
func (r LostRuns) Finish() LostRuns {
	finished := slices.Clone(r)
	for i := range finished {
		finished[i].State = LostRunOver
	}
	return finished
}

// LostRunsNotice tells the receiver of lost runs of a piece of work, and asks for those
// that it knows. Runs may be empty.
type LostRunsNotice struct {
	Number uint64
	Work   string
	Runs   LostRuns
	// Lifetime is how long the runs are kept after the last notice of any.
	Lifetime time.Duration
}

// LostRunsReply replies to a LostRunsNotice with all runs that the sender knows.
type LostRunsReply struct {
	Number uint64
	Runs   LostRuns
}

// LostRunsAlarm tells the receiver that the sender knows lost runs, for which it has to be
// asked within a time.
type LostRunsAlarm struct{ Duration time.Duration }

// Kind implements Message.
func (*LostRunsNotice) Kind() MessageKind { return KindLostRunsNotice }
func (*LostRunsReply) Kind() MessageKind  { return KindLostRunsReply }
func (*LostRunsAlarm) Kind() MessageKind  { return KindLostRunsAlarm }
