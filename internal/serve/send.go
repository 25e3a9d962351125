package serve

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// maxRefusals bounds the targets tried while each refuses, since each adds a round
// trip.
const maxRefusals = 4

// forward sends the request to targets until one has responded or the request fails.
func (x *transfer) forward() {
	x.lostRuns, _ = x.earlierRuns.Wait(x.ctx)
	defer x.shareLostRuns()
	for x.attempt() {
	}
}

// attempt makes one send and reports whether another may follow.
func (x *transfer) attempt() bool {
	if x.ctx.Err() != nil {
		x.giveUpOnContext()
		return false
	}
	if !x.mayLoseAnotherRun() {
		return false
	}
	target := x.pick()
	if target == nil {
		x.giveUpWithoutTarget()
		return false
	}
	defer x.server.targets.End(target)
	if !x.announceRun(target) {
		return x.reason == ""
	}
	ended := suspicion(x.lostRuns.Without(x.runID))
	if !x.isolateRun(target, ended) {
		return true
	}
	defer x.endIsolation(target, ended)
	return x.send(target)
}

// pick chooses a target. A request that may have run at as many targets as its route
// allows can only be sent to one of those.
func (x *transfer) pick() *targets.Target {
	if len(x.ran) > 0 {
		if same := x.pickSame(); same != nil {
			return same
		}
		x.dropEnded()
		if len(x.ran) >= x.route.MaxTargets {
			return nil
		}
	}
	if target := x.pickExcept(slices.Concat(x.occupied, x.excluded)); target != nil || len(x.occupied) == 0 {
		return target
	}
	return x.pickExcept(x.excluded)
}

// pickExcept chooses among the targets that are not excluded.
func (x *transfer) pickExcept(excluded []string) *targets.Target {
	criteria := targets.Criteria{
		Service: x.service, Key: x.placementKey(), LastIncarnation: x.programTarget, Sticky: x.settle != nil,
		Version: x.version, Ended: suspicion(x.lostRuns), Work: x.work.ID, Exclude: excluded,
		Stream: x.route.Kind == route.Stream, PromptTokens: x.promptTokens(),
	}
	if !x.server.log.Enabled(x.ctx, slog.LevelDebug) {
		return x.server.targets.Pick(criteria, time.Now())
	}
	var explanation targets.Explanation
	criteria.Explanation = &explanation
	target := x.server.targets.Pick(criteria, time.Now())
	x.logChoice(target, explanation)
	return target
}

func (x *transfer) logChoice(target *targets.Target, explanation targets.Explanation) {
	if target == nil || !explanation.Estimated {
		return
	}
	x.server.log.Debug("target chosen", "request", x.call.ID, "target", target.ID,
		"end", explanation.ExpectedCompletion, "fill", explanation.Utilization, "slowness", explanation.Slowness,
		"report_age_ms", explanation.ReportAge.Milliseconds(), "speed_age_ms", explanation.SpeedAge.Milliseconds(),
		"stayed", explanation.Stayed, "moved", explanation.Moved, "next", explanation.RunnerUp, "next_end", explanation.RunnerUpCompletion)
}

// bytesPerToken estimates the tokens of a stored conversation from its length.
const bytesPerToken = 4

// promptTokens returns the length of the prompt that an engine reads.
func (x *transfer) promptTokens() int {
	if x.call.Turn == nil {
		return 0
	}
	if x.turn != nil {
		return max(x.call.Turn.PromptTokens, len(x.body)/bytesPerToken)
	}
	return x.call.Turn.PromptTokens
}

// pickSame returns the target that ran the request last, unless it is excluded, drains or
// has another software version by now.
func (x *transfer) pickSame() *targets.Target {
	last := x.ran[len(x.ran)-1]
	if slices.Contains(x.excluded, last) {
		return nil
	}
	same := x.server.targets.PickIncarnation(last)
	if same != nil && x.version != nil && same.Version != *x.version {
		x.server.targets.End(same)
		return nil
	}
	return same
}

// dropEnded removes the targets that have ended from those that run the request.
func (x *transfer) dropEnded() {
	x.ran = slices.DeleteFunc(x.ran, func(incarnation string) bool { return !x.server.targets.IsRegistered(incarnation) })
}

// errAmbiguousResponse indicates that a response names several requests or signatures.
var errAmbiguousResponse = errors.New("the response names several requests or signatures")

// send sends the request to a target and handles the response. It reports whether
// another send may follow.
func (x *transfer) send(target *targets.Target) bool {
	if x.mayHaveRun && x.permit != nil {
		x.permit.CountRerun()
	}
	x.sends++
	x.lastTarget, x.lastVersion = target.ID, target.Version
	resumeAfter := ""
	if x.headSent {
		resumeAfter = x.lastEvent
	}
	header := x.server.codec.TargetHeader(x.request.Header, call.SendOptions{
		Target: target.ID, TimeLeft: time.Until(x.deadline), Organisation: x.orgName(), ResumeAfter: resumeAfter,
	})
	ctx, cancel := x.sendContext()
	defer cancel()
	x.sendCtx = ctx
	var meta call.Response
	sentAt := time.Now()
	x.sentAt, x.heardAt = sentAt, sentAt
	resp, err := x.server.pool.Do(ctx, exchange.Request{
		Address: target.Address, Method: x.request.Method, URI: x.uri(),
		Host: x.request.Host, Header: header, Body: x.body,
	}, func(status int, h http.Header) (bool, error) {
		meta = x.server.codec.DecodeResponse(status, h)
		if meta.Ambiguous {
			return false, errAmbiguousResponse
		}
		return meta.RequestID == x.call.ID || (meta.RequestID == "" && meta.NotRun), nil
	})
	if err != nil {
		return x.sendFailed(target, err, sentAt)
	}
	defer func() { resp.Close(meta.KeepAlive) }()
	if meta.Load != nil {
		x.server.targets.RecordLoad(target, *meta.Load, time.Now())
	}
	if meta.NotRun {
		return x.handleRefusal(target, resp, meta)
	}
	return x.deliver(target, resp, meta)
}

// sendTimeoutFactor is the multiple of the route's latency goal after which a request
// is sent to another target, if it may run at one more. Responses that take longer are
// usually lost, or come from a failing target.
const sendTimeoutFactor = 2

// maxFirstSendFraction bounds the timeout of a first send, as a fraction of the time
// left. A send without time for a second one has no timeout of its own.
const maxFirstSendFraction = 0.6

// sendContext bounds one send: a repeatable request goes on to another target while
// there is time for it.
func (x *transfer) sendContext() (context.Context, context.CancelFunc) {
	timeout := sendTimeoutFactor * x.route.LatencyGoal
	mayResend := x.route.Kind == route.Repeatable && len(x.ran)+1 < x.route.MaxTargets
	if earlyTimeout, ok := x.earlyRetryTimeout(); mayResend && ok {
		timeout, x.earlyRetry = earlyTimeout, true
	}
	x.stopSendTimer = func() bool { return true }
	if !mayResend || timeout <= 0 || timeout > time.Duration(maxFirstSendFraction*float64(time.Until(x.deadline))) {
		x.earlyRetry = false
		return x.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	x.stopSendTimer = timer.Stop
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// earlyRetryTimeout returns a time that the route's responses rarely exceed, false if the
// request must not be retried early.
func (x *transfer) earlyRetryTimeout() (time.Duration, bool) {
	x.earlyRetry = false
	if x.route.Kind != route.Repeatable || x.sends > 1 {
		return 0, false
	}
	return x.server.targets.EarlyRetryTimeout(x.service, x.route.Name, time.Now())
}

// recordEarlyRetry reports whether a send was cancelled by the early retry timeout, and
// counts it. Its target counts as slow, not as failing.
func (x *transfer) recordEarlyRetry(target *targets.Target, err error, sentAt time.Time) bool {
	if !x.earlyRetry || errors.Is(err, exchange.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	now := time.Now()
	x.server.targets.RecordEarlyRetry(target, x.route.Name, now.Sub(sentAt), now)
	x.server.metrics.earlyRetries.Inc(1)
	return true
}

// sendFailed handles a send without a response. It reports whether another send may
// follow.
func (x *transfer) sendFailed(target *targets.Target, err error, sentAt time.Time) bool {
	x.detail = err.Error()
	if x.ctx.Err() != nil {
		if errors.Is(err, exchange.ErrNotSent) {
			x.markRunHarmless(target)
		} else {
			x.markRan(target)
			x.recordLostRun(target, false)
		}
		x.giveUpOnContext()
		return false
	}
	if !x.recordEarlyRetry(target, err, sentAt) {
		x.recordFailure(target, err, sentAt)
	}
	if errors.Is(err, exchange.ErrNotSent) {
		x.markRunHarmless(target)
		x.excludeUnreachable(target)
		return true
	}
	x.markRan(target)
	x.recordLostRun(target, x.sendCtx.Err() == nil)
	x.excludeUnresponsive(target, err)
	return x.retryOrGiveUp()
}

// defaultConnFailureThreshold distinguishes a target that is down, which closes a
// connection within a round trip, from one that ran the request first.
const defaultConnFailureThreshold = 20 * time.Millisecond

// recordFailure updates the target's health after a send without a response. A reused
// connection that ended is ignored: the target may have closed it while idle.
func (x *transfer) recordFailure(target *targets.Target, err error, sentAt time.Time) {
	if errors.Is(err, exchange.ErrReusedConn) && errors.Is(err, exchange.ErrNoResponse) {
		return
	}
	now := time.Now()
	x.server.targets.RecordFailure(target, now)
	ended := errors.Is(err, exchange.ErrNoResponse) && now.Sub(sentAt) < x.server.connFailureThreshold
	if !ended && !errors.Is(err, exchange.ErrNotSent) {
		return
	}
	if x.server.targets.RecordSharedFailure(target, now) {
		x.server.log.Info("target broke a connection", "target", target.ID, "request", x.call.ID, "error", err.Error())
		x.server.failureReporter.ReportTargetFailures()
	}
}

// excludeIfTimedOut excludes a target that did not respond in time.
func (x *transfer) excludeIfTimedOut(target *targets.Target, err error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		x.excluded = append(x.excluded, target.Incarnation())
	}
}

// excludeUnresponsive excludes a target whose connection failed without a response, if
// the request may run at another one or if that happened before. After the end of a
// reused connection the same target is tried on a new one.
func (x *transfer) excludeUnresponsive(target *targets.Target, err error) {
	x.excludeIfTimedOut(target, err)
	if errors.Is(err, exchange.ErrReusedConn) {
		return
	}
	if len(x.ran) < x.route.MaxTargets || slices.Contains(x.connFailures, target.Incarnation()) {
		x.excluded = append(x.excluded, target.Incarnation())
	}
	x.connFailures = append(x.connFailures, target.Incarnation())
}

// excludeUnreachable excludes a target that cannot be connected to. It has ended or is
// partitioned, so it no longer counts among those that run the request.
func (x *transfer) excludeUnreachable(target *targets.Target) {
	x.excluded = append(x.excluded, target.Incarnation())
	x.ran = slices.DeleteFunc(x.ran, func(incarnation string) bool { return incarnation == target.Incarnation() })
}

// possiblyRan reports whether any target, even one that has ended since, may have begun
// to run the request.
func (x *transfer) possiblyRan() bool { return x.mayHaveRun || x.delivered > 0 }

// markRan records that a target may have begun to run the request.
func (x *transfer) markRan(target *targets.Target) {
	x.mayHaveRun = true
	if !slices.Contains(x.ran, target.Incarnation()) {
		x.ran = append(x.ran, target.Incarnation())
	}
}

// retryOrGiveUp reports whether the request, which may have run, may be sent again. If
// not, it ends the request.
func (x *transfer) retryOrGiveUp() bool {
	if x.route.Retryable() && x.mayResume() && x.sends < maxSends && x.retryBudgetAllows() {
		return true
	}
	x.giveUp(reasonTargetAborted)
	return false
}

// retryBudgetAllows reports whether the service's retry budget allows one more send.
// Sends that this instance cancelled and streams that are partly delivered are exempt.
func (x *transfer) retryBudgetAllows() bool {
	return x.sendCtx.Err() != nil || x.headSent || x.server.admission.AllowRetryAfterFailure(x.service, time.Now())
}

// maxSends bounds the sends of one request.
const maxSends = 6

// handleRefusal handles a target that refused to run the request. It reports whether
// another send may follow.
func (x *transfer) handleRefusal(target *targets.Target, resp *exchange.Response, meta call.Response) bool {
	x.endRefusal(resp, meta)
	x.markRunHarmless(target)
	x.excluded = append(x.excluded, target.Incarnation())
	x.refusals++
	if resp.Status == http.StatusMisdirectedRequest {
		// Another target uses the address now.
		x.server.targets.RecordFailure(target, time.Now())
	}
	if x.refusals < maxRefusals && x.server.admission.AllowRetry(x.service, x.refusals, time.Now()) {
		return true
	}
	x.giveUp(reasonTargetsFull)
	return false
}

// endRefusal reads the rest of a refusal, so that its connection can be reused. One without
// an id ends its connection: a faulty target may send it again where the response to the
// next request is due, and nothing would tell it from a refusal of that request.
func (x *transfer) endRefusal(resp *exchange.Response, meta call.Response) {
	if meta.RequestID == "" {
		resp.Close(0)
		return
	}
	if err := resp.Discard(); err != nil {
		x.detail = err.Error()
	}
}
