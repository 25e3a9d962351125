package serve

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// isolationPrefix precedes the service in the id under which instances tell each other of
// runs that should have their target to themselves.
const isolationPrefix = "isolated/"

// isolationOf returns the id of a service's isolated runs.
func (x *transfer) isolationOf() Work {
	id := isolationPrefix + x.service
	return Work{ID: id, Key: id, Lifetime: x.route.Timeout, InMemory: true}
}

// isolateRun keeps requests under which several targets have ended apart: one of them is
// the cause, and the others would be refused with it if they shared its last target. It
// returns false if such a request of another instance runs at the target. Another target
// has to be chosen then, once: there may be more of these requests than targets.
func (x *transfer) isolateRun(target *targets.Target, ended int) bool {
	if ended < targets.IsolationThreshold {
		return true
	}
	run := structs.Run{ID: x.runID, Target: target.Incarnation(), State: structs.LostRunOpen}
	known, _ := x.server.lostRuns.Exchange(x.isolationOf(), structs.Runs{run}).Wait(x.ctx)
	occupied := known.Without(run.ID).Targets(structs.LostRunOpen)
	if x.occupied == nil && slices.Contains(occupied, run.Target) {
		x.occupied = occupied
		x.withdrawIsolation(run)
		x.markRunHarmless(target)
		return false
	}
	x.server.targets.BeginIsolation(target)
	return true
}

// endIsolation ends what isolateRun began.
func (x *transfer) endIsolation(target *targets.Target, ended int) {
	if ended < targets.IsolationThreshold {
		return
	}
	x.server.targets.EndIsolation(target)
	x.withdrawIsolation(structs.Run{ID: x.runID, Target: target.Incarnation()})
}

// withdrawIsolation tells other instances that a run has its target no longer to itself.
func (x *transfer) withdrawIsolation(run structs.Run) {
	run.State = structs.LostRunHarmless
	x.server.lostRuns.Exchange(x.isolationOf(), structs.Runs{run}).Cancel()
}
