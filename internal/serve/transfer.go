package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// Errors of Budgets.
var (
	// ErrSpent tells that the program's budget has no room for the turn.
	ErrSpent = errors.New("the program's budget is spent")
	// ErrNoRoom tells that other turns of the program hold what is left of its
	// budget for longer than a turn waits.
	ErrNoRoom = errors.New("turns under way hold what is left of the program's budget")
	// ErrStoreAway tells that the program needs a record that the store does
	// not take for now.
	ErrStoreAway = errors.New("the program's budget needs a record that the store does not take")
	// ErrNoOwner tells that nobody who hands out room can be reached.
	ErrNoOwner = errors.New("no owner of the program's budget can be reached")
)

// Times after which a refused caller should come back.
const (
	// retrySettings is about the time in which a starting instance reads the
	// settings.
	retrySettings = 200 * time.Millisecond
	// retryTarget is about the time in which a busy target frees a slot.
	retryTarget = 150 * time.Millisecond
	// retryBudget is about the time of a change of a budget's owner.
	retryBudget = 200 * time.Millisecond
	// retryOutage is given instead of the shorter times while the store is
	// away: its outages last seconds, and callers have few tries.
	retryOutage = 1300 * time.Millisecond
)

const (
	// maxRefusals bounds the targets that are asked one after the other while
	// each refuses: each costs a round trip.
	maxRefusals = 4
	// defaultTokensPerEvent is taken where the settings do not say how many
	// tokens an event holds.
	defaultTokensPerEvent = 1
	// maxBuffered is the size of the longest plain answer, in bytes, that is
	// held until it is whole; a longer one is passed on as it arrives.
	maxBuffered = 1 << 20
)

// transfer is one request on its way through this instance.
type transfer struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	table   *route.Table
	route   *route.Route
	service string
	call    call.Request
	body    []byte
	// ctx ends when the caller leaves or the time is up, at deadline.
	ctx      context.Context
	deadline time.Time

	// tried lists targets that are not asked again.
	tried []string
	// ran lists the targets that may have begun to run the request.
	ran        []string
	lastTarget string
	sends      int
	refusals   int

	// headSent tells that the head of the answer went out.
	headSent bool
	// lastEvent is the id of the last event that went out.
	lastEvent string
	delivered int

	status int
	reason reason
	detail string
	// cut tells that the connection must be cut since the answer is not whole.
	cut bool
}

func (x *transfer) run() {
	if !x.accept() {
		return
	}
	left := x.route.Timeout
	if x.call.TimeLeft > 0 {
		left = min(left, x.call.TimeLeft)
	}
	x.deadline = x.arrived.Add(left)
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if !x.readBody() {
		return
	}
	if x.call.Turn == nil || x.route.Kind != route.Stream {
		x.forward()
		return
	}
	x.forwardTurn()
}

// accept checks the request and finds its route.
func (x *transfer) accept() bool {
	if lengthsConflict(x.request) {
		x.refuse(http.StatusBadRequest, reasonMalformed, 0)
		x.detail = "both a length and chunks"
		return false
	}
	var err error
	x.call, err = x.server.codec.Request(x.request.Header)
	if err != nil {
		x.detail = err.Error()
		x.refuse(http.StatusBadRequest, reasonMalformed, 0)
		return false
	}
	x.table = x.server.table.Load()
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, reasonNoSettings, x.server.retryAfter(retrySettings))
		return false
	}
	found, ok := x.table.Match(x.request.Host, rawPath(x.uri()))
	if !ok {
		x.refuse(http.StatusNotFound, reasonNoRoute, 0)
		return false
	}
	x.route = found
	x.lastEvent = x.call.LastEvent
	x.service = found.ServiceFor(xxhash.Sum64String(x.placementKey() + x.call.ID[:min(len(x.call.ID), x.idWeight())]))
	return true
}

// idWeight is how much of the request's id decides on the service of a split:
// nothing where a program's turns should stay together.
func (x *transfer) idWeight() int {
	if x.placementKey() != "" {
		return 0
	}
	return len(x.call.ID)
}

// placementKey is what a target may have kept for this request.
func (x *transfer) placementKey() string {
	switch {
	case x.route.Kind == route.Stream && x.route.Affinity && x.call.Program != "":
		return x.call.Program
	case x.route.Affinity:
		return x.call.AffinityKey
	}
	return ""
}

// uri is the path with the query as the caller sent it.
func (x *transfer) uri() string {
	uri := x.request.RequestURI
	if len(uri) > 0 && uri[0] == '/' {
		return uri
	}
	return x.request.URL.RequestURI()
}

func (x *transfer) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	source := io.Reader(x.request.Body)
	if limit > 0 {
		if x.request.ContentLength > limit {
			x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
			return false
		}
		source = io.LimitReader(source, limit+1)
	}
	var body bytes.Buffer
	if x.request.ContentLength > 0 {
		body.Grow(int(x.request.ContentLength) + bytes.MinRead)
	}
	_, err := body.ReadFrom(source)
	if err != nil {
		x.detail = err.Error()
		x.refuse(http.StatusBadRequest, reasonMalformed, 0)
		return false
	}
	if limit > 0 && int64(body.Len()) > limit {
		x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	}
	x.body = body.Bytes()
	return true
}

// forwardTurn takes room in the program's budget around the turn.
func (x *transfer) forwardTurn() {
	perEvent := x.tokensPerEvent()
	most := (x.call.Turn.MaxTokens + perEvent - 1) / perEvent * perEvent
	lease, err := x.server.budgets.Reserve(x.ctx, Turn{
		Program: x.call.Program, Budget: x.call.Turn.Budget, Most: most, Retention: x.route.Retention,
	})
	switch {
	case errors.Is(err, ErrSpent):
		x.refuse(http.StatusPaymentRequired, reasonBudgetSpent, 0)
	case x.request.Context().Err() != nil:
		if err == nil {
			lease.Settle(0)
		}
		x.reason = reasonCallerLeft
	case errors.Is(err, ErrNoRoom):
		x.refuse(http.StatusServiceUnavailable, reasonBudgetHeld, retryBudget)
	case errors.Is(err, ErrStoreAway):
		x.refuse(http.StatusServiceUnavailable, reasonBudgetRecord, retryOutage)
	case err != nil:
		x.detail = err.Error()
		x.refuse(http.StatusServiceUnavailable, reasonBudgetOwner, x.server.retryAfter(retryBudget))
	default:
		defer func() { lease.Settle(x.delivered * perEvent) }()
		x.forward()
	}
}

func (x *transfer) tokensPerEvent() int {
	if s := x.table.Services[x.service]; s != nil && s.Engine != nil && s.Engine.TokensPerEvent > 0 {
		return s.Engine.TokensPerEvent
	}
	return defaultTokensPerEvent
}

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
	want := targets.Want{Service: x.service, Key: x.placementKey(), Exclude: x.tried}
	return x.server.targets.Pick(want, time.Now())
}

// pickSame is the target that ran the request last, unless it was given up.
func (x *transfer) pickSame() *targets.Target {
	last := x.ran[len(x.ran)-1]
	if slices.Contains(x.tried, last) {
		return nil
	}
	return x.server.targets.PickSame(last)
}

// forgetEnded drops the targets that have left from those that run the request.
func (x *transfer) forgetEnded() {
	x.ran = slices.DeleteFunc(x.ran, func(id string) bool { return !x.server.targets.Has(id) })
}

// send sends the request to a target and handles what comes back. It tells
// whether another send may follow.
func (x *transfer) send(target *targets.Target) bool {
	x.sends++
	x.lastTarget = target.ID
	resumeAfter := ""
	if x.headSent {
		resumeAfter = x.lastEvent
	}
	header := x.server.codec.Outgoing(x.request.Header, call.Send{
		Target: target.ID, TimeLeft: time.Until(x.deadline), ResumeAfter: resumeAfter,
	})
	ctx, cancel := x.sendContext()
	defer cancel()
	var answer call.Answer
	resp, err := x.server.pool.Do(ctx, exchange.Request{
		Address: target.Address, Method: x.request.Method, URI: x.uri(),
		Host: x.request.Host, Header: header, Body: x.body,
	}, func(status int, h http.Header) bool {
		answer = x.server.codec.Answer(status, h)
		return answer.RequestID == x.call.ID || (answer.RequestID == "" && answer.NotRun)
	})
	if err != nil {
		return x.sendFailed(target, err)
	}
	defer func() { resp.Close(answer.KeepAlive) }()
	if answer.Load != nil {
		x.server.targets.Report(target, *answer.Load, time.Now())
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
	if !another || patience <= 0 || patience > time.Duration(slowShare*float64(time.Until(x.deadline))) {
		return x.ctx, func() {}
	}
	return context.WithTimeout(x.ctx, patience)
}

// sendFailed decides what follows a send without an answer.
func (x *transfer) sendFailed(target *targets.Target, err error) bool {
	x.detail = err.Error()
	if x.ctx.Err() != nil {
		if !errors.Is(err, exchange.ErrNotSent) {
			x.markRan(target)
		}
		x.giveUpInTime()
		return false
	}
	x.server.targets.Failed(target, time.Now())
	if errors.Is(err, exchange.ErrNotSent) {
		x.unreachable(target)
		return true
	}
	x.markRan(target)
	x.passOver(target, err)
	return x.mayRepeat()
}

// passOver keeps a request from a target that did not answer in time.
func (x *transfer) passOver(target *targets.Target, err error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		x.tried = append(x.tried, target.ID)
	}
}

// unreachable notes a target that cannot be connected to. It has ended or is
// cut off, so it no longer counts among those that run the request.
func (x *transfer) unreachable(target *targets.Target) {
	x.tried = append(x.tried, target.ID)
	x.ran = slices.DeleteFunc(x.ran, func(id string) bool { return id == target.ID })
}

// hasRun tells whether a target may have begun to run the request.
func (x *transfer) hasRun() bool { return len(x.ran) > 0 || x.delivered > 0 }

// markRan notes that a target may have begun to run the request.
func (x *transfer) markRan(target *targets.Target) {
	if !slices.Contains(x.ran, target.ID) {
		x.ran = append(x.ran, target.ID)
	}
}

// mayRepeat tells whether the request may be sent once more after it may have
// run; if not, it ends it.
func (x *transfer) mayRepeat() bool {
	if x.route.MayRepeat() && x.sends < maxSends {
		return true
	}
	x.giveUp(reasonBroken)
	return false
}

// maxSends bounds the sends of one request of any outcome.
const maxSends = 6

// refusedBy handles a target that did not run the request.
func (x *transfer) refusedBy(target *targets.Target, resp *exchange.Response) bool {
	// The body of a refusal is read so that the connection can be kept.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		x.detail = err.Error()
	}
	x.tried = append(x.tried, target.ID)
	x.refusals++
	if resp.Status == http.StatusMisdirectedRequest {
		// Another target has the address by now.
		x.server.targets.Failed(target, time.Now())
	}
	if x.refusals < maxRefusals {
		return true
	}
	x.giveUp(reasonTargetsFull)
	return false
}

// giveUp ends a request that no target answers.
func (x *transfer) giveUp(why reason) {
	switch {
	case x.headSent:
		x.reason, x.cut = reasonCut, true
	case x.hasRun():
		x.refuse(http.StatusBadGateway, reasonBroken, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, why, retryTarget)
	}
}

// giveUpInTime ends a request whose caller left or whose time is up.
func (x *transfer) giveUpInTime() {
	switch {
	case x.request.Context().Err() != nil:
		x.reason, x.cut = reasonCallerLeft, x.headSent
	case x.headSent:
		x.reason, x.cut = reasonTimedOut, true
	case x.hasRun():
		x.refuse(http.StatusGatewayTimeout, reasonTimedOut, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, reasonNotSent, retryTarget)
	}
}

// refuse answers a request itself.
func (x *transfer) refuse(status int, why reason, retryAfter time.Duration) {
	x.status, x.reason = status, why
	header := x.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	if why == reasonMalformed {
		// What follows on the connection cannot be trusted to be a request.
		header.Set("Connection", "close")
	}
	x.writer.WriteHeader(status)
	if _, err := io.WriteString(x.writer, string(why)+"\n"); err != nil {
		x.detail = err.Error()
	}
}
