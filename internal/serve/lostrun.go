package serve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// maxEndedTargets is the number of targets that may end under one request, over all of
// its attempts. Below it the request is sent on, since most requests of a target that ends
// are not the cause.
const maxEndedTargets = 3

const (
	// endCheckPatience bounds the delay of a further send by the check whether the
	// target has ended: a round trip to another data centre and its checks.
	endCheckPatience = 25 * time.Millisecond
	// cancelTime is the time in which a target notices that a request was cancelled.
	// Until then the request may end it.
	cancelTime = 10 * time.Millisecond
	// lateEndTime is how long a target may work on a request whose deadline has passed,
	// and end under it.
	lateEndTime = time.Second
	// maxTargetsAge is the age up to which a target that is missing in the list has ended.
	maxTargetsAge = 3 * time.Second
	// silentTime is the time without a byte after which a target may have ended silently.
	silentTime = 250 * time.Millisecond
	// maxAnnouncementTime is longer than other instances and the store are waited for when
	// a run is announced. An instance that took longer was stopped meanwhile.
	maxAnnouncementTime = 400 * time.Millisecond
	// maxShareTime bounds the delay of a response whose lost runs nobody else knows. It
	// covers the time in which an instance that starts connects to others.
	maxShareTime  = 600 * time.Millisecond
	shareInterval = 50 * time.Millisecond
	// resumeTime is the time in which an instance that was stopped notices which callers
	// have left and which connections have broken.
	resumeTime = 50 * time.Millisecond
)

// targetStates names the states of lost runs in logs and metrics.
var targetStates = map[structs.LostRunState]string{
	structs.LostRunOpen: "unknown", structs.LostRunClosed: "undecided", structs.LostRunHarmless: "serves",
	structs.LostRunTargetEnded: "ended",
}

// runIDBase is the base of the random numbers in the ids of runs.
const runIDBase = 36

// newRunID returns an id for a run.
func newRunID() string { return strconv.FormatUint(rand.Uint64(), runIDBase) }

// suspicion returns the number of targets that probably ended under the request.
func suspicion(runs structs.Runs) int {
	return len(runs.Targets(structs.LostRunOpen, structs.LostRunTargetEnded))
}

// mayHaveEnded returns the number of targets that may end under the request, or have ended.
func mayHaveEnded(runs structs.Runs) int {
	return len(runs.Targets(structs.LostRunOpen, structs.LostRunClosed, structs.LostRunTargetEnded))
}

// mayLoseAnotherRun reports whether the request may be sent to one more target. If not,
// it ends the request.
func (x *transfer) mayLoseAnotherRun() bool {
	if mayHaveEnded(x.lostRuns) < maxEndedTargets {
		return true
	}
	if x.isCompletedWork() {
		x.endSuspicion()
		return true
	}
	x.checkUndecidedRuns()
	ended := x.lostRuns.Targets(structs.LostRunTargetEnded)
	switch {
	case len(ended) >= maxEndedTargets:
		x.detail = "targets ended under the request: " + strings.Join(ended, " ")
		x.refuseForGood()
		return false
	case x.ctx.Err() != nil:
		x.giveUpOnContext()
		return false
	case !x.withinLimit(x.lostRuns):
		x.giveUpUndecided()
		return false
	}
	return true
}

// withinLimit reports whether one more target may end under a request with lost runs. Many
// callers may ask for the same outside programs and leave: closed runs of such work count
// once a target has ended under it.
func (x *transfer) withinLimit(runs structs.Runs) bool {
	if mayHaveEnded(runs) < maxEndedTargets {
		return true
	}
	return x.call.Program == "" && suspicion(runs) < maxEndedTargets && len(runs.Targets(structs.LostRunTargetEnded)) == 0
}

// giveUpUndecided ends a request whose earlier runs may still end their targets.
func (x *transfer) giveUpUndecided() {
	if x.headSent || x.possiblyRan() {
		x.giveUp(reasonRunsUndecided)
		return
	}
	var wait time.Duration
	for _, run := range x.lostRuns {
		if left := time.Until(run.MayEndUntil); run.Undecided() && left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
	}
	x.refuse(http.StatusServiceUnavailable, reasonRunsUndecided, wait)
}

// refuseForGood ends a request that must not run again. Its status stops the caller from
// trying again, and does not state that the request has not run.
func (x *transfer) refuseForGood() {
	if x.headSent {
		x.reason, x.abort = reasonEndsTargets, true
		return
	}
	x.refuse(http.StatusBadRequest, reasonEndsTargets, 0)
}

// checkUndecidedRuns finds out which targets have ended under undecided runs.
func (x *transfer) checkUndecidedRuns() {
	var mu sync.Mutex
	var work sync.WaitGroup
	var checked structs.Runs
	for _, run := range x.lostRuns {
		if !run.Undecided() {
			continue
		}
		work.Go(func() {
			at := time.Now()
			run = run.Checked(x.server.checkRun(x.ctx, run), at)
			mu.Lock()
			defer mu.Unlock()
			checked = append(checked, run)
		})
	}
	work.Wait()
	x.setLostRuns(checked...)
}

// currentRun returns the run of the last send in a state. A target may work until the
// deadline that it was given, and for some time beyond it.
func (x *transfer) currentRun(target *targets.Target, state structs.LostRunState) structs.Run {
	return structs.Run{ID: x.runID, Target: target.Incarnation(), State: state, MayEndUntil: x.deadline.Add(lateEndTime)}
}

// setLostRuns records states of runs, to be shared with other instances.
func (x *transfer) setLostRuns(runs ...structs.Run) {
	if len(runs) == 0 {
		return
	}
	x.lostRuns = x.lostRuns.Merge(runs)
	x.unsharedRuns = true
}

// announceRun tells other instances of the run that is about to begin at a target, if the
// request has lost runs or instances have ended: this instance may end under it, too. It
// returns false if the run must not begin: others know of more lost runs, the caller has
// left, or nobody would know of the run, which ends the request.
func (x *transfer) announceRun(target *targets.Target) bool {
	x.runID, x.announced = newRunID(), false
	run := x.currentRun(target, structs.LostRunOpen)
	if mayHaveEnded(x.lostRuns) == 0 {
		if !x.server.lostRuns.Disturbed() || x.isCompletedWork() {
			return true
		}
		x.announced = true
		x.announceFirstRun(run)
	}
	if x.ctx.Err() == nil && mayHaveEnded(x.lostRuns) == 0 {
		return true
	}
	checked := x.lostRuns
	acknowledged := x.announceNextRun(run)
	if x.ctx.Err() == nil && acknowledged && x.mayBegin(run, checked) {
		return true
	}
	x.markRunHarmless(target)
	if x.ctx.Err() == nil && !acknowledged {
		x.giveUpUnacknowledged()
	}
	return false
}

// mayBegin reports whether a run that was announced may begin. Runs that others reported
// meanwhile are checked first where they would decide.
func (x *transfer) mayBegin(run structs.Run, checked structs.Runs) bool {
	others := x.lostRuns.Without(run.ID)
	if mayHaveEnded(others) >= maxEndedTargets && len(others) > len(checked) {
		return false
	}
	return x.withinLimit(others)
}

// announceFirstRun tells one other instance of the first run of work without lost runs.
func (x *transfer) announceFirstRun(run structs.Run) {
	known, _ := x.exchangeRuns(func() RunsExchange { return x.server.lostRuns.Announce(x.work, run) })
	x.lostRuns = x.lostRuns.Merge(known.Without(run.ID))
}

// announceNextRun tells other instances of the lost runs and of the next one. It returns
// false if neither they nor the store have acknowledged it.
func (x *transfer) announceNextRun(run structs.Run) bool {
	known, acknowledged := x.exchangeRuns(func() RunsExchange {
		return x.server.lostRuns.Exchange(x.work, append(slices.Clone(x.lostRuns), run))
	})
	x.lostRuns, x.unsharedRuns = x.lostRuns.Merge(known), false
	return acknowledged
}

// giveUpUnacknowledged ends a request that may end targets while neither other instances
// nor the store respond.
func (x *transfer) giveUpUnacknowledged() {
	if x.headSent || x.possiblyRan() {
		x.giveUp(reasonRunUnacknowledged)
		return
	}
	x.refuse(http.StatusServiceUnavailable, reasonRunUnacknowledged, x.server.retryAfter(retryBudget))
}

// exchangeRuns waits for an exchange of runs. It begins another one if this instance was
// stopped meanwhile, since the caller may have sent the request through others.
func (x *transfer) exchangeRuns(begin func() RunsExchange) (known structs.Runs, acknowledged bool) {
	for {
		begun := time.Now()
		known, acknowledged = begin().Wait(x.ctx)
		if time.Since(begun) < maxAnnouncementTime || x.ctx.Err() != nil {
			return known, acknowledged
		}
		delay.Sleep(x.ctx, resumeTime)
	}
}

// markRunHarmless records that the target did not end under the current run, if other
// instances know of that.
func (x *transfer) markRunHarmless(target *targets.Target) {
	if mayHaveEnded(x.lostRuns) > 0 || x.announced {
		x.setLostRuns(x.currentRun(target, structs.LostRunHarmless))
	}
}

// recordLostRun records that the target did not complete the current run. broken
// indicates that the connection broke, and not that this instance closed it.
func (x *transfer) recordLostRun(target *targets.Target, broken bool) {
	if x.ctx.Err() != nil {
		x.leaveRun(target)
	}
	state := x.checkTarget(target)
	if !broken && state == structs.LostRunHarmless {
		state = structs.LostRunClosed
	}
	x.server.metrics.lostRuns[state].Inc(1)
	x.server.log.LogAttrs(x.request.Context(), slog.LevelInfo, "run lost",
		slog.String("request", x.call.ID), slog.String("work", x.work.ID), slog.String("target", target.Incarnation()),
		slog.String("target_state", targetStates[state]), slog.Bool("connection_broke", broken),
		slog.Int("send", x.sends), slog.Int("events", x.delivered), slog.Int64("ms", time.Since(x.sentAt).Milliseconds()),
		slog.Int("earlier_lost", len(x.lostRuns)), slog.String("detail", x.detail))
	if state == structs.LostRunHarmless {
		x.markRunHarmless(target)
		return
	}
	if x.isCompletedWork() {
		x.markRunHarmless(target)
		if state == structs.LostRunTargetEnded {
			x.excludeUnreachable(target)
		}
		return
	}
	run := x.currentRun(target, state)
	x.setLostRuns(run)
	if state == structs.LostRunTargetEnded {
		x.excludeUnreachable(target)
		return
	}
	x.server.checkLater(x.work, run)
}

// leaveRun waits until the target has noticed that the caller left. The caller of a target
// that has gone silent may be trying elsewhere already, so that others are told before.
func (x *transfer) leaveRun(target *targets.Target) {
	if time.Since(x.heardAt) >= silentTime && !x.isCompletedWork() {
		x.setLostRuns(x.currentRun(target, structs.LostRunOpen))
		// Only the check shows whether the run has to be recorded.
		work := x.work
		work.InMemory = true
		x.server.lostRuns.Exchange(work, x.lostRuns).Cancel()
	}
	time.Sleep(cancelTime)
}

// checkTarget finds out whether a target has ended or only a connection to it. A target
// that does not reply in time remains open.
func (x *transfer) checkTarget(target *targets.Target) structs.LostRunState {
	// The caller may have left.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.request.Context()), endCheckPatience)
	defer cancel()
	if x.server.targets.Replaced(target) {
		return structs.LostRunTargetEnded
	}
	return x.server.checkAddress(ctx, target.Address)
}

// checkRun finds out whether the target of a run has ended.
func (s *Server) checkRun(ctx context.Context, run structs.Run) structs.LostRunState {
	address, registered := s.targets.AddressOf(run.Target)
	switch {
	case registered:
		return s.checkAddress(ctx, address)
	case run.State == structs.LostRunClosed:
		// It served when the run was closed. One that ends is listed for some heartbeats
		// more, in which it is checked; one that leaves by plan is not listed.
		return structs.LostRunHarmless
	case s.freshness.TargetsAge() > maxTargetsAge:
		return structs.LostRunOpen // an instance that starts lists no targets
	}
	return structs.LostRunTargetEnded
}

func (s *Server) checkAddress(ctx context.Context, address string) structs.LostRunState {
	listening, err := s.pool.Listening(ctx, address)
	switch {
	case err != nil:
		return structs.LostRunOpen
	case listening:
		return structs.LostRunHarmless
	}
	return structs.LostRunTargetEnded
}

// finishWork records that a target completed the request.
func (x *transfer) finishWork() {
	if x.call.Program == "" {
		// The work of a program is its own.
		x.server.completed.record(x.work, time.Now())
	}
	if mayHaveEnded(x.lostRuns) > 0 || x.announced {
		x.endSuspicion()
	}
}

// isCompletedWork reports whether a target completed the same work recently, for this
// caller or another one, as far as this instance or those that it asked know.
func (x *transfer) isCompletedWork() bool {
	return x.server.completed.contains(x.work, time.Now()) || (x.call.Program == "" && x.lostRuns.Completed())
}

// endSuspicion tells other instances that the request does not end targets.
func (x *transfer) endSuspicion() {
	if x.announced {
		x.lostRuns = x.lostRuns.Merge(structs.Runs{{ID: x.runID}})
	}
	x.lostRuns, x.unsharedRuns, x.announced = x.lostRuns.Finish(), false, false
	// The response does not wait for the replies.
	x.server.lostRuns.Exchange(x.work, x.lostRuns).Cancel()
}

// shareLostRuns tells other instances of lost runs that they have not been told of. The
// caller may send the request again as soon as it has the response: while targets may have
// ended and nobody else knows, as on an instance that has just started, it waits for a time.
func (x *transfer) shareLostRuns() {
	if !x.unsharedRuns {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.request.Context()), maxShareTime)
	defer cancel()
	for {
		_, acknowledged := x.server.lostRuns.Exchange(x.work, x.lostRuns).Wait(ctx)
		waits := suspicion(x.lostRuns) > 0 && x.request.Context().Err() == nil
		if acknowledged || !waits || !delay.Sleep(ctx, shareInterval) {
			return
		}
	}
}
