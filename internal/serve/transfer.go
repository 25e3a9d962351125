package serve

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/memlimit"
	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Errors of Budgets.
var (
	// ErrBudgetSpent tells that the program's budget has no room for the turn.
	ErrBudgetSpent = errors.New("the program's budget is spent")
	// ErrBudgetHeld tells that other turns of the program hold what is left of its
	// budget for longer than a turn waits.
	ErrBudgetHeld = errors.New("turns under way hold what is left of the program's budget")
	// ErrStoreUnavailable tells that the program needs a record that the store does
	// not take for now.
	ErrStoreUnavailable = errors.New("the program's budget needs a record that the store does not take")
	// ErrNoOwner tells that nobody who hands out room can be reached.
	ErrNoOwner = errors.New("no owner of the program's budget can be reached")
)

// ErrLimitUnknown tells that nobody answers who could tell whether the
// organisation's limit has room.
var ErrLimitUnknown = errors.New("nobody tells whether the organisation's limit has room")

// OverLimitError tells that a request is over its organisation's limit.
type OverLimitError struct {
	// RetryAfter is when there should be room.
	RetryAfter time.Duration
	Limit      org.Limit
	// Coordinator refused it; it had Left requests to deal out, with Votes.
	Coordinator structs.InstanceID
	Remaining   float64
	Votes       int
}

func (e *OverLimitError) Error() string {
	return fmt.Sprintf("the organisation is over its limit of %g requests a second and %g on top: "+
		"%s had %.1f left with %d votes, room is expected in %s",
		e.Limit.PerSecond, e.Limit.Burst, e.Coordinator, e.Remaining, e.Votes, e.RetryAfter)
}

// Errors of Conversations.
var (
	// ErrTurnNotFound tells that no turn has the id named.
	ErrTurnNotFound = errors.New("there is no such turn")
	// ErrTurnUncertain tells that a turn was not found, though it may exist.
	ErrTurnUncertain = errors.New("whether there is such a turn is not known")
)

// defaultTokensPerEvent is taken where the settings do not say how many tokens
// an event holds.
const defaultTokensPerEvent = 1

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
	// org holds the request's key, nil if it has none.
	org  *org.Organisation
	body []byte
	// held is what this instance's memory holds for the request.
	held memlimit.Account
	// turn is set if the conversation is kept here.
	turn *keptTurn
	// ctx ends when the caller leaves or the time is up, at deadline.
	ctx      context.Context
	deadline time.Time

	// lastOfProgram is the target that ran the program's last turn, empty if
	// unknown.
	lastOfProgram string
	// permit is set once the request was let in within its organisation's limit.
	permit Permit
	// settle gives back room in the program's budget, nil if none is held.
	settle func()

	// tried lists the starts of targets that are not asked again.
	tried []string
	// ran lists the starts of targets that may run the request now; mayHaveRun
	// stays set when one of them has ended.
	ran        []string
	mayHaveRun bool
	// failedAt is the target that failed the turn last, empty if none did or
	// another one brought it to its end.
	failedAt string
	// broken lists targets that broke a connection without an answer.
	broken     []string
	lastTarget string
	// sentAt is the time of the last send.
	sentAt   time.Time
	sends    int
	refusals int

	// hurried tells that the last send was to end early for a second one.
	hurried bool
	// sendCtx is the context of the last send.
	sendCtx context.Context
	// stopPatience ends what bounds the last send besides the request's time.
	stopPatience func() bool

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
	if !x.readBody() || !x.hasRoom() || !x.recallConversation() {
		return
	}
	if !x.isTurn() {
		if x.admit(false) {
			x.forward()
		}
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
		x.refuseUnknownRoute()
		return false
	}
	x.route = found
	if !x.authorise() {
		return false
	}
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
		return x.scoped(x.call.Program)
	case x.route.Affinity:
		return x.scoped(x.call.AffinityKey)
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

// forwardTurn takes room in the program's budget around the turn.
func (x *transfer) forwardTurn() {
	perEvent := x.tokensPerEvent()
	most := (x.call.Turn.MaxTokens + perEvent - 1) / perEvent * perEvent
	lease, err := x.server.budgets.Reserve(x.ctx, Turn{
		Program: x.scoped(x.call.Program), Budget: x.call.Turn.Budget, MaxTokens: most, Retention: x.route.Retention,
	})
	switch {
	case errors.Is(err, ErrBudgetSpent):
		x.refuse(http.StatusPaymentRequired, reasonBudgetSpent, 0)
	case x.request.Context().Err() != nil:
		if err == nil {
			lease.Settle(TurnResult{})
		}
		x.reason = reasonCallerLeft
	case errors.Is(err, ErrBudgetHeld):
		x.refuse(http.StatusServiceUnavailable, reasonBudgetHeld, retryBudget)
	case errors.Is(err, ErrStoreUnavailable):
		x.refuse(http.StatusServiceUnavailable, reasonBudgetRecord, retryOutage)
	case err != nil:
		x.detail = err.Error()
		x.refuse(http.StatusServiceUnavailable, reasonBudgetOwner, x.server.retryAfter(retryBudget))
	default:
		x.lastOfProgram = lease.LastTarget()
		x.settle = func() { lease.Settle(x.turnEnd(perEvent)) }
		defer x.settleOnce()
		begins := x.begins(lease)
		if x.admit(begins) && x.hasRoomForTurn(begins) {
			x.forward()
		}
	}
}

// turnEnd is how the turn ended, as far as its target is concerned.
func (x *transfer) turnEnd(perEvent int) TurnResult {
	end := TurnResult{UsedTokens: x.delivered * perEvent}
	switch {
	case x.failedAt != "":
		end.Target, end.Failed = x.failedAt, true
	case len(x.ran) > 0 && x.delivered > 0:
		end.Target = x.ran[len(x.ran)-1]
	}
	return end
}

// settleOnce gives back the room that the turn did not use.
func (x *transfer) settleOnce() {
	if x.settle != nil {
		x.settle()
		x.settle = nil
	}
}

func (x *transfer) tokensPerEvent() int {
	if s := x.table.Services[x.service]; s != nil && s.Engine != nil && s.Engine.TokensPerEvent > 0 {
		return s.Engine.TokensPerEvent
	}
	return defaultTokensPerEvent
}
