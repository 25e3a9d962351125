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
	// LostRunClosed: an instance closed the connection before the target had responded. The
	// target served after that, but may work on and end under the run.
	LostRunClosed LostRunState = 5
)

// lostRunOrder are the states in the order in which they replace each other.
var lostRunOrder = []LostRunState{LostRunOpen, LostRunClosed, LostRunHarmless, LostRunTargetEnded, LostRunOver}

// Later returns the one of two states that replaces the other.
func (s LostRunState) Later(other LostRunState) LostRunState {
	if slices.Index(lostRunOrder, other) > slices.Index(lostRunOrder, s) {
		return other
	}
	return s
}

// Run is a run that its target has not completed, as an instance knows it.
type Run struct {
	// ID identifies the run over all instances.
	ID string
	// Target is the incarnation of the target.
	Target string
	State  LostRunState
	// MayEndUntil is how long the target may still end under the run.
	MayEndUntil time.Time
	// InProgressAt is the instance at which the run is in progress as far as is known.
	// While that instance responds, the run is not lost. It is empty if that does not
	// matter.
	InProgressAt InstanceID
}

// Undecided reports whether the target may end, or have ended, under the run.
func (r Run) Undecided() bool { return r.State == LostRunOpen || r.State == LostRunClosed }

// Checked returns the run after a check of its target that began at a time. A target that
// serves before the run is over may still end under it.
func (r Run) Checked(found LostRunState, at time.Time) Run {
	if found == LostRunHarmless && at.Before(r.MayEndUntil) {
		found = LostRunClosed
	}
	r.State = r.State.Later(found)
	return r
}

// Runs are the runs of one piece of work, each once.
type Runs []Run

// Merge adds runs and returns the result. Of two states of a run it keeps the later one, and
// of two times at which it is over the earlier one: each message adds its latency to it.
func (r Runs) Merge(others Runs) Runs {
	for _, other := range others {
		known := slices.IndexFunc(r, func(run Run) bool { return run.ID == other.ID })
		if known < 0 {
			r = append(r, other)
			continue
		}
		if r[known].State != r[known].State.Later(other.State) || other.InProgressAt == "" {
			r[known].InProgressAt = other.InProgressAt
		}
		r[known].State = r[known].State.Later(other.State)
		if other.MayEndUntil.Before(r[known].MayEndUntil) {
			r[known].MayEndUntil = other.MayEndUntil
		}
	}
	return r
}

// Outgoing returns the runs for a message that is sent at a time.
func (r Runs) Outgoing(at time.Time) LostRuns {
	sent := make(LostRuns, 0, len(r))
	for _, run := range r {
		sent = append(sent, LostRun{ID: run.ID, Target: run.Target, State: run.State,
			MayEndFor: max(run.MayEndUntil.Sub(at), 0), InProgressAt: run.InProgressAt})
	}
	return sent
}

// Incoming returns the runs of a message that was received at a time.
func (r LostRuns) Incoming(at time.Time) Runs {
	received := make(Runs, 0, len(r))
	for _, run := range r {
		received = append(received, Run{ID: run.ID, Target: run.Target, State: run.State,
			MayEndUntil: at.Add(run.MayEndFor), InProgressAt: run.InProgressAt})
	}
	return received
}

// Targets returns the targets of the runs in one of the given states, each once.
func (r Runs) Targets(states ...LostRunState) []string {
	var targets []string
	for _, run := range r {
		if slices.Contains(states, run.State) && !slices.Contains(targets, run.Target) {
			targets = append(targets, run.Target)
		}
	}
	return targets
}

// Completed reports whether a run completed the work.
func (r Runs) Completed() bool {
	return slices.ContainsFunc(r, func(run Run) bool { return run.State == LostRunOver })
}

// Without returns the runs except one.
func (r Runs) Without(id string) Runs {
	return slices.DeleteFunc(slices.Clone(r), func(run Run) bool { return run.ID == id })
}

// Finish returns the runs as they are once a run has completed the work.
func (r Runs) Finish() Runs {
	finished := slices.Clone(r)
	for i := range finished {
		finished[i].State = LostRunOver
	}
	return finished
}

// LostRun is a Run in messages.
type LostRun struct {
	ID     string
	Target string
	State  LostRunState
	// MayEndFor is how long after the message the target may still end under the run.
	MayEndFor time.Duration
	// InProgressAt is that of Run.
	InProgressAt InstanceID
}

// LostRuns are Runs in messages.
type LostRuns []LostRun

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
