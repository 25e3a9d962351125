package serve

import (
	"cmp"
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

// Errors returned by Budgets.
var (
	// ErrBudgetSpent indicates that the program's budget has no tokens left for the
	// turn.
	ErrBudgetSpent = errors.New("the program's budget is spent")
	// ErrBudgetHeld indicates that other turns of the program held the rest of its
	// budget for longer than a turn waits.
	ErrBudgetHeld = errors.New("turns under way hold the rest of the program's budget")
	// ErrStoreUnavailable indicates that the budget needs a record that the store
	// currently does not accept.
	ErrStoreUnavailable = errors.New("the store does not accept a record that the program's budget needs")
	// ErrBudgetsFull indicates that there is no memory for the budget of another program.
	ErrBudgetsFull = errors.New("the owner of the program's budget has no memory for another program")
	// ErrNoOwner indicates that no owner of the budget can be reached.
	ErrNoOwner = errors.New("no owner of the program's budget can be reached")
)

// ErrLimitUnknown indicates that no coordinator of the organisation's limit replied.
var ErrLimitUnknown = errors.New("no coordinator of the organisation's limit replied")

// OverLimitError indicates that a request exceeds its organisation's limit.
type OverLimitError struct {
	// RetryAfter is the time until capacity is expected.
	RetryAfter time.Duration
	Limit      org.Limit
	// Coordinator is the instance that refused the request. It had Remaining requests
	// left to allocate, with Votes.
	Coordinator structs.InstanceID
	Remaining   float64
	Votes       int
}

func (e *OverLimitError) Error() string {
	return fmt.Sprintf("the organisation exceeds its limit of %g requests a second with a burst of %g: "+
		"coordinator %s had %.1f requests left with %d votes, capacity is expected in %s",
		e.Limit.PerSecond, e.Limit.Burst, e.Coordinator, e.Remaining, e.Votes, e.RetryAfter)
}

// Errors returned by Conversations.
var (
	// ErrTurnNotFound indicates that no turn has the given id.
	ErrTurnNotFound = errors.New("the turn does not exist")
	// ErrTurnUncertain indicates that a turn was not found but may exist.
	ErrTurnUncertain = errors.New("the turn was not found, but may exist")
)

// defaultTokensPerEvent is used if the settings do not define the tokens of an event.
const defaultTokensPerEvent = 1

// ErrStreamVersionUnknown indicates that the software version at which a stream began is
// unknown.
var ErrStreamVersionUnknown = errors.New("the software version that began the stream is unknown")

// transfer holds the state of one request.
type transfer struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	table   *route.Table
	route   *route.Route
	service string
	call    call.Request
	// org is the organisation that holds the request's key, nil if there is none.
	org  *org.Organisation
	body []byte
	// bodyRead indicates that body is the whole body.
	bodyRead bool
	// held accounts for the memory held for the request.
	held memlimit.Account
	// turn is set if the route stores turns.
	turn *storedTurn
	// ctx ends when the caller leaves or at deadline.
	ctx      context.Context
	deadline time.Time

	// programTarget is the target that ran the program's last turn, empty if unknown.
	programTarget string
	// permit is set once the request was admitted within its organisation's limit.
	permit Permit
	// settle returns the unused tokens of the program's budget, nil if none are
	// reserved.
	settle func()

	// work is what the caller asks for, earlierRuns the query for lost runs of its
	// earlier attempts.
	work        Work
	earlierRuns RunsExchange
	// lostRuns are the lost runs of the work. unsharedRuns indicates that other instances
	// were not told of all.
	lostRuns     structs.Runs
	unsharedRuns bool
	// occupied lists the incarnations of targets that other requests should have to
	// themselves.
	occupied []string
	// runID identifies the run of the last send. announced indicates that another instance
	// was told of it though the work has no lost runs.
	runID     string
	announced bool

	// excluded lists the incarnations of targets that must not get the request again.
	excluded []string
	// ran lists the incarnations of targets that may be running the request. mayHaveRun
	// stays set after one of them has ended.
	ran        []string
	mayHaveRun bool
	// failedTarget is the last target that failed the turn. It is empty if none did or
	// another target completed the turn.
	failedTarget string
	// connFailures lists the incarnations of targets whose connection failed without a
	// response.
	connFailures []string
	// lastTarget and lastVersion are the target of the last send and its software
	// version.
	lastTarget, lastVersion string
	// sentAt is the time of the last send, heardAt that of the last event or send.
	sentAt   time.Time
	heardAt  time.Time
	sends    int
	refusals int

	// earlyRetry indicates that the last send is bounded by the early retry timeout.
	earlyRetry bool
	// sendCtx is the context of the last send.
	sendCtx context.Context
	// stopSendTimer stops the timer that bounds the last send besides deadline.
	stopSendTimer func() bool

	// headSent indicates that the status and header were sent to the caller.
	headSent bool
	// endsWithConn indicates that the end of the connection delimits the response.
	endsWithConn bool
	// lastEvent is the id of the last event sent to the caller.
	lastEvent string
	// beyondLastEvent indicates that data without an id was sent after lastEvent, so that
	// no target can resume the stream there.
	beyondLastEvent bool
	delivered       int
	// version is the software version of the target that began the stream, nil before
	// its first event or if unknown. The stream may only continue at this version.
	version *string

	status int
	reason reason
	detail string
	// rejected indicates that the header was rejected, which is logged for many requests
	// together.
	rejected bool
	// abort indicates that the response is incomplete and the connection must be aborted.
	abort bool
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
	defer x.releaseUnusedPermit()
	if !x.readBody() || !x.checkAdmission() || !x.findOrigin() {
		return
	}
	x.work = x.workOf()
	x.earlierRuns = x.server.lostRuns.Exchange(x.work, nil)
	defer x.earlierRuns.Cancel()
	if !x.prependConversation() {
		return
	}
	if !x.isTurn() {
		if x.admitOrganisation(false) {
			x.forward()
		}
		return
	}
	x.forwardTurn()
}

// accept validates the request and finds its route. It returns false if the request has
// been refused.
func (x *transfer) accept() bool {
	if x.refuseRejected() {
		return false
	}
	var err error
	x.call, err = x.server.codec.DecodeRequest(x.request.Header)
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
	x.service = found.ServiceFor(xxhash.Sum64String(x.splitKey()))
	return true
}

// splitKey returns what selects the service of a split: the placement key, which keeps a
// program's turns together, else the id of the request or of the stream that it resumes.
func (x *transfer) splitKey() string {
	return cmp.Or(x.placementKey(), x.call.Resumes, x.call.ID)
}

// placementKey identifies cached state that a target may hold for this request.
func (x *transfer) placementKey() string {
	switch {
	case x.route.Kind == route.Stream && x.route.Affinity && x.call.Program != "":
		return x.scoped(x.call.Program)
	case x.route.Affinity:
		return x.scoped(x.call.AffinityKey)
	}
	return ""
}

// uri returns the path and query as the caller sent them.
func (x *transfer) uri() string {
	uri := x.request.RequestURI
	if len(uri) > 0 && uri[0] == '/' {
		return uri
	}
	return x.request.URL.RequestURI()
}

// forwardTurn reserves tokens in the program's budget for the duration of the turn and
// forwards it.
func (x *transfer) forwardTurn() {
	perEvent := x.tokensPerEvent()
	maxTokens := (x.call.Turn.MaxTokens + perEvent - 1) / perEvent * perEvent
	lease, err := x.server.budgets.Reserve(x.ctx, Turn{
		Program: x.scoped(x.call.Program), Budget: x.call.Turn.Budget, MaxTokens: maxTokens, Retention: x.route.Retention,
		TimeLeft: time.Until(x.deadline),
	})
	switch {
	case errors.Is(err, ErrBudgetSpent):
		x.refuse(http.StatusPaymentRequired, reasonBudgetSpent, 0)
	case x.request.Context().Err() != nil:
		if err == nil {
			lease.Settle(TurnResult{})
		}
		x.giveUpOnContext()
	case errors.Is(err, ErrBudgetHeld):
		x.refuse(http.StatusServiceUnavailable, reasonBudgetHeld, retryBudget)
	case errors.Is(err, ErrStoreUnavailable):
		x.refuse(http.StatusServiceUnavailable, reasonBudgetRecord, retryOutage)
	case errors.Is(err, ErrBudgetsFull):
		x.refuse(http.StatusServiceUnavailable, reasonBudgetsFull, retryBudgetsFull)
	case err != nil:
		x.detail = err.Error()
		x.refuse(http.StatusServiceUnavailable, reasonBudgetOwner, x.server.retryAfter(retryBudget))
	default:
		x.programTarget = lease.LastTarget()
		x.settle = func() { lease.Settle(x.turnEnd(perEvent)) }
		defer x.settleOnce()
		first := x.startsProgram(lease)
		if x.admitOrganisation(first) && x.checkTurnAdmission(first) {
			x.forward()
		}
	}
}

// turnEnd returns the result of the turn for its budget.
func (x *transfer) turnEnd(perEvent int) TurnResult {
	end := TurnResult{UsedTokens: x.delivered * perEvent}
	switch {
	case x.failedTarget != "":
		end.Target, end.Failed = x.failedTarget, true
	case len(x.ran) > 0 && x.delivered > 0:
		end.Target = x.ran[len(x.ran)-1]
	}
	return end
}

// settleOnce returns the unused tokens to the program's budget.
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
