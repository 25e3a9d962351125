package serve

import (
	"context"
	"io"
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

// maxRefusals bounds the targets that are asked one after the other while each
// refuses: each costs a round trip.
const maxRefusals = 4

// forward sends the request to targets until one has answered it.
func (x *transfer) forward() {
	for x.attempt() {
	}
}

// attempt makes one send and tells whether another may follow.
func (x *transfer) attempt() bool {
	if x.ctx.Err() != nil {
		x.giveUpInTime()
		return false
	}
	target := x.pick()
	if target == nil {
		x.giveUp(reasonNoTarget)
		return false
	}
	defer x.server.targets.End(target)
	return x.send(target)
}

// pick chooses a target. A request that may have run at as many targets as its
// route allows can only be sent to one of those again.
func (x *transfer) pick() *targets.Target {
	if len(x.ran) > 0 {
		if same := x.pickSame(); same != nil {
			return same
		}
		x.forgetEnded()
		if len(x.ran) >= x.route.MaxTargets {
			return nil
		}
	}
	want := targets.Criteria{
		Service: x.service, Key: x.placementKey(), LastIncarnation: x.lastOfProgram, Sticky: x.settle != nil,
		Exclude: x.tried, Stream: x.route.Kind == route.Stream, PromptTokens: x.promptTokens(),
	}
	if !x.server.log.Enabled(x.ctx, slog.LevelDebug) {
		return x.server.targets.Pick(want, time.Now())
	}
	var why targets.Explanation
	want.Explanation = &why
	target := x.server.targets.Pick(want, time.Now())
	x.logChoice(target, why)
	return target
}

// logChoice tells why a target was chosen.
func (x *transfer) logChoice(target *targets.Target, why targets.Explanation) {
	if target == nil || !why.Estimated {
		return
	}
	x.server.log.Debug("target chosen", "request", x.call.ID, "target", target.ID,
		"end", why.ExpectedEnd, "fill", why.Utilization, "slowness", why.Slowness,
		"report_age_ms", why.ReportAge.Milliseconds(), "speed_age_ms", why.SpeedAge.Milliseconds(),
		"stayed", why.Stayed, "moved", why.Moved, "next", why.RunnerUp, "next_end", why.RunnerUpEnd)
}

// bytesPerToken is the usual length of a token of a conversation kept here, of
// which nothing else tells the length.
const bytesPerToken = 4

// promptTokens is the length of the prompt that an engine reads.
func (x *transfer) promptTokens() int {
	if x.call.Turn == nil {
		return 0
	}
	if x.turn != nil {
		return max(x.call.Turn.PromptTokens, len(x.body)/bytesPerToken)
	}
	return x.call.Turn.PromptTokens
}

// pickSame is the target that ran the request last, unless it was given up.
func (x *transfer) pickSame() *targets.Target {
	last := x.ran[len(x.ran)-1]
	if slices.Contains(x.tried, last) {
		return nil
	}
	return x.server.targets.PickIncarnation(last)
}

// forgetEnded drops the targets that have left from those that run the request.
func (x *transfer) forgetEnded() {
	x.ran = slices.DeleteFunc(x.ran, func(incarnation string) bool { return !x.server.targets.IsRegistered(incarnation) })
}

// send sends the request to a target and handles what comes back. It tells
// whether another send may follow.
func (x *transfer) send(target *targets.Target) bool {
	if x.mayHaveRun && x.permit != nil {
		x.permit.CountRerun()
	}
	x.sends++
	x.lastTarget = target.ID
	resumeAfter := ""
	if x.headSent {
		resumeAfter = x.lastEvent
	}
	header := x.server.codec.Outgoing(x.request.Header, call.SendOptions{
		Target: target.ID, TimeLeft: time.Until(x.deadline), Organisation: x.orgName(), ResumeAfter: resumeAfter,
	})
	ctx, cancel := x.sendContext()
	defer cancel()
	x.sendCtx = ctx
	var answer call.Response
	sentAt := time.Now()
	x.sentAt = sentAt
	resp, err := x.server.pool.Do(ctx, exchange.Request{
		Address: target.Address, Method: x.request.Method, URI: x.uri(),
		Host: x.request.Host, Header: header, Body: x.body,
	}, func(status int, h http.Header) bool {
		answer = x.server.codec.Answer(status, h)
		return answer.RequestID == x.call.ID || (answer.RequestID == "" && answer.NotRun)
	})
	if err != nil {
		return x.sendFailed(target, err, sentAt)
	}
	defer func() { resp.Close(answer.KeepAlive) }()
	if answer.Load != nil {
		x.server.targets.RecordLoad(target, *answer.Load, time.Now())
	}
	if answer.NotRun {
		return x.refusedBy(target, resp)
	}
	return x.deliver(target, resp, answer)
}

// slowFactor times a route's latency goal is how long a target may take for a
// request that another one may run as well. Answers that took longer were lost
// or came from a target in trouble.
const slowFactor = 2

// slowShare of the time left is the most that is spent on a first target.
const slowShare = 0.6

// sendContext bounds one send: a repeatable request goes on to another target
// while there is time for it.
func (x *transfer) sendContext() (context.Context, context.CancelFunc) {
	patience := slowFactor * x.route.LatencyGoal
	another := x.route.Kind == route.Repeatable && len(x.ran)+1 < x.route.MaxTargets
	if rare, ok := x.rarePatience(); another && ok {
		patience, x.hurried = rare, true
	}
	x.stopPatience = func() bool { return true }
	if !another || patience <= 0 || patience > time.Duration(slowShare*float64(time.Until(x.deadline))) {
		x.hurried = false
		return x.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	timer := time.AfterFunc(patience, func() { cancel(context.DeadlineExceeded) })
	x.stopPatience = timer.Stop
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// rarePatience is the time that answers of the route rarely pass, false if the
// request is not to be sent a second time for that.
func (x *transfer) rarePatience() (time.Duration, bool) {
	x.hurried = false
	if x.route.Kind != route.Repeatable || x.sends > 1 {
		return 0, false
	}
	return x.server.targets.HedgeTimeout(x.service, x.route.Name, time.Now())
}

// gaveUpStraggler tells whether a send was given up for a second one, and counts
// it. Its target is slow at most, not failing.
func (x *transfer) gaveUpStraggler(target *targets.Target, err error, sentAt time.Time) bool {
	if !x.hurried || errors.Is(err, exchange.ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	now := time.Now()
	x.server.targets.RecordHedge(target, x.route.Name, now.Sub(sentAt), now)
	x.server.metrics.hurried.Inc(1)
	return true
}

// sendFailed decides what follows a send without an answer.
func (x *transfer) sendFailed(target *targets.Target, err error, sentAt time.Time) bool {
	x.detail = err.Error()
	if x.ctx.Err() != nil {
		if !errors.Is(err, exchange.ErrNotSent) {
			x.markRan(target)
		}
		x.giveUpInTime()
		return false
	}
	if !x.gaveUpStraggler(target, err, sentAt) {
		x.noteFailure(target, err, sentAt)
	}
	if errors.Is(err, exchange.ErrNotSent) {
		x.unreachable(target)
		return true
	}
	x.markRan(target)
	x.passOverUnanswered(target, err)
	return x.mayRepeat()
}

// downWithin is how soon a target that is down breaks a connection: a round
// trip of a few milliseconds. One that ran the request takes longer.
const downWithin = 20 * time.Millisecond

// noteFailure draws the conclusions from a send without an answer. A kept
// connection that ended says nothing of its target.
func (x *transfer) noteFailure(target *targets.Target, err error, sentAt time.Time) {
	if errors.Is(err, exchange.ErrReusedConn) && errors.Is(err, exchange.ErrNoResponse) {
		return
	}
	now := time.Now()
	x.server.targets.RecordFailure(target, now)
	ended := errors.Is(err, exchange.ErrNoResponse) && now.Sub(sentAt) < x.server.downWithin
	if !ended && !errors.Is(err, exchange.ErrNotSent) {
		return
	}
	if x.server.targets.RecordBreak(target, now) {
		x.server.log.Info("target broke a connection", "target", target.ID, "request", x.call.ID, "error", err.Error())
		x.server.notices.ReportTargetBreaks()
	}
}

// passOverSilent keeps the request from a target that did not answer in time.
func (x *transfer) passOverSilent(target *targets.Target, err error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		x.tried = append(x.tried, target.Incarnation())
	}
}

// passOverUnanswered keeps the request from a target that gave no answer, if
// another one may run it or if it gave none before: a target that is down
// breaks each connection at once. After a kept connection that ended the same
// target is asked again, on a new one.
func (x *transfer) passOverUnanswered(target *targets.Target, err error) {
	x.passOverSilent(target, err)
	if errors.Is(err, exchange.ErrReusedConn) {
		return
	}
	if len(x.ran) < x.route.MaxTargets || slices.Contains(x.broken, target.Incarnation()) {
		x.tried = append(x.tried, target.Incarnation())
	}
	x.broken = append(x.broken, target.Incarnation())
}

// unreachable notes a target that cannot be connected to. It has ended or is
// cut off, so it no longer counts among those that run the request.
func (x *transfer) unreachable(target *targets.Target) {
	x.tried = append(x.tried, target.Incarnation())
	x.ran = slices.DeleteFunc(x.ran, func(incarnation string) bool { return incarnation == target.Incarnation() })
}

// hasRun tells whether a target may have begun to run the request, be it one
// that has ended since.
func (x *transfer) hasRun() bool { return x.mayHaveRun || x.delivered > 0 }

// markRan notes that a target may have begun to run the request.
func (x *transfer) markRan(target *targets.Target) {
	x.mayHaveRun = true
	if !slices.Contains(x.ran, target.Incarnation()) {
		x.ran = append(x.ran, target.Incarnation())
	}
}

// mayRepeat tells whether the request may be sent once more after it may have
// run; if not, it ends it.
func (x *transfer) mayRepeat() bool {
	if x.route.Retryable() && x.sends < maxSends && x.mayTryAgain() {
		return true
	}
	x.giveUp(reasonBroken)
	return false
}

// mayTryAgain tells whether the service's budget of retries allows one more send. A
// send that this instance gave up itself, or a stream that its caller has a part
// of, goes on in any case.
func (x *transfer) mayTryAgain() bool {
	return x.sendCtx.Err() != nil || x.headSent || x.server.room.AllowRetryAfterFailure(x.service, time.Now())
}

// maxSends bounds the sends of one request of any outcome.
const maxSends = 6

// refusedBy handles a target that did not run the request.
func (x *transfer) refusedBy(target *targets.Target, resp *exchange.Response) bool {
	// The body of a refusal is read so that the connection can be kept.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		x.detail = err.Error()
	}
	x.tried = append(x.tried, target.Incarnation())
	x.refusals++
	if resp.Status == http.StatusMisdirectedRequest {
		// Another target has the address by now.
		x.server.targets.RecordFailure(target, time.Now())
	}
	if x.refusals < maxRefusals && x.server.room.AllowRetry(x.service, x.refusals, time.Now()) {
		return true
	}
	x.giveUp(reasonTargetsFull)
	return false
}
