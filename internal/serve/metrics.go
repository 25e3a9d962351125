package serve

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// reason is the outcome of a request, used in logs, metrics and refusals.
type reason string

const (
	reasonServed              reason = "served"
	reasonTargetFailed        reason = "target_answered_failure"
	reasonMalformed           reason = "malformed"
	reasonTooLarge            reason = "body_too_large"
	reasonHeaderTooLarge      reason = "header_too_large"
	reasonNoSettings          reason = "no_settings_yet"
	reasonNoRoute             reason = "no_route"
	reasonStaleSettings       reason = "settings_not_current"
	reasonUnknownKey          reason = "unknown_key"
	reasonStaleKeys           reason = "keys_not_current"
	reasonOverLimit           reason = "over_organisation_limit"
	reasonNoAllowance         reason = "organisation_limit_not_known"
	reasonNoMemory            reason = "memory_short"
	reasonNoTarget            reason = "no_target"
	reasonTargetsFull         reason = "targets_refused"
	reasonVersionUnknown      reason = "stream_version_unknown"
	reasonNoVersion           reason = "no_target_of_the_streams_version"
	reasonNoCapacity          reason = "no_room"
	reasonBudgetSpent         reason = "budget_spent"
	reasonBudgetOwner         reason = "budget_owner_unreachable"
	reasonBudgetRecord        reason = "budget_record_not_written"
	reasonBudgetsFull         reason = "no_memory_for_budgets"
	reasonBudgetHeld          reason = "budget_held_by_turns_under_way"
	reasonTurnNotFound        reason = "no_such_turn"
	reasonConversationNotRead reason = "conversation_not_read"
	reasonTurnNotStored       reason = "turn_not_kept"
	reasonTimedOut            reason = "timed_out"
	reasonNotSent             reason = "timed_out_before_send"
	reasonTargetAborted       reason = "target_broke_off"
	reasonEndsTargets         reason = "targets_ended_under_request"
	reasonRunsUndecided       reason = "earlier_runs_undecided"
	reasonRunUnacknowledged   reason = "run_not_acknowledged"
	reasonTruncated           reason = "stream_cut"
	reasonCallerLeft          reason = "caller_left"
	reasonStopped             reason = "instance_stopped"
	reasonStalled             reason = "caller_reads_nothing"
)

var secondsBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 4 * time.Second, 10 * time.Second,
}

type metrics struct {
	scope tally.Scope
	sends tally.Counter
	// resumedHere counts the sends that continue a stream within its response,
	// resumedByCaller the streams that callers resume with another request.
	resumedHere, resumedByCaller tally.Counter
	// earlyRetries counts first sends that were cancelled for a retry at another target.
	earlyRetries tally.Counter
	// lostRuns counts the runs that targets did not complete, by their state.
	lostRuns map[structs.LostRunState]tally.Counter
	byReason map[reason]reasonMetrics
}

type reasonMetrics struct {
	count   tally.Counter
	seconds tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		scope:           scope,
		sends:           scope.Counter("sends"),
		resumedHere:     scope.Tagged(map[string]string{"by": "instance"}).Counter("streams_resumed"),
		resumedByCaller: scope.Tagged(map[string]string{"by": "caller"}).Counter("streams_resumed"),
		earlyRetries:    scope.Counter("stragglers_sent_again"),
		lostRuns:        make(map[structs.LostRunState]tally.Counter),
		byReason:        make(map[reason]reasonMetrics),
	}
	for state, name := range targetStates {
		m.lostRuns[state] = scope.Tagged(map[string]string{"target": name}).Counter("runs_lost")
	}
	for _, r := range []reason{
		reasonServed, reasonTargetFailed, reasonMalformed, reasonTooLarge, reasonHeaderTooLarge, reasonNoSettings, reasonNoRoute, reasonStaleSettings,
		reasonUnknownKey, reasonStaleKeys, reasonOverLimit, reasonNoAllowance,
		reasonNoMemory, reasonNoTarget, reasonTargetsFull, reasonVersionUnknown, reasonNoVersion, reasonNoCapacity, reasonBudgetSpent, reasonBudgetOwner, reasonBudgetRecord,
		reasonBudgetsFull, reasonBudgetHeld, reasonTurnNotFound, reasonConversationNotRead, reasonTurnNotStored, reasonTimedOut,
		reasonNotSent, reasonTargetAborted, reasonEndsTargets, reasonRunsUndecided, reasonRunUnacknowledged, reasonTruncated, reasonCallerLeft, reasonStopped, reasonStalled,
	} {
		tagged := scope.Tagged(map[string]string{"reason": string(r)})
		m.byReason[r] = reasonMetrics{
			count:   tagged.Counter("requests"),
			seconds: tagged.Histogram("request_seconds", secondsBuckets),
		}
	}
	return m
}

func (m *metrics) count(x *transfer, elapsed time.Duration) {
	m.sends.Inc(int64(x.sends))
	by := m.byReason[x.reason]
	if by.count == nil {
		return
	}
	by.count.Inc(1)
	by.seconds.RecordDuration(elapsed)
}
