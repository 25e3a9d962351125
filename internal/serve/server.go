// Package serve answers callers: it finds the route of a request, takes room in
// its program's budget, sends it to a target and passes the answer on. The
// instance that reads a request runs it; no other instance is on its way.
package serve

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/memlimit"
	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/overload"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// Turn is a turn that asks for room in its program's budget.
type Turn struct {
	Program string
	// Budget is the program's whole budget, Most the most that this turn
	// generates; both in tokens.
	Budget    int
	MaxTokens int
	// Retention is how long the program may still come back after its last
	// turn.
	Retention time.Duration
}

// Lease is room in a program's budget.
type Lease interface {
	// LastTarget ran the program's last turn and may have its prompt; empty if that
	// is not known.
	LastTarget() string
	// FirstTurn tells that no turn of the program has run yet, as far as is known.
	FirstTurn() bool
	// Settle gives back what was not used and tells how the turn ended. It does
	// not block.
	Settle(end TurnResult)
}

// TurnResult is how a turn ended.
type TurnResult struct {
	// UsedTokens is what the caller received, in tokens.
	UsedTokens int
	// Target ran the turn, empty if none did.
	Target string
	// Failed tells that the target did not bring the turn to its end, so that
	// the program's next one should go elsewhere.
	Failed bool
}

// Budgets hands out room in programs' budgets.
type Budgets interface {
	// Reserve waits for room until the context ends. It returns ErrBudgetSpent or
	// ErrNoOwner if there is none; then the turn must not run.
	Reserve(ctx context.Context, turn Turn) (Lease, error)
}

// AllowanceRequest is a request of an organisation that asks to be let in.
type AllowanceRequest struct {
	Organisation string
	Limit        org.Limit
	// Version is that of the settings which hold the limit.
	Version int64
	// First tells that it begins a program, Rank how urgent it is then; 0 is the
	// most urgent.
	First    bool
	Priority int
	// Program is empty for a request outside programs.
	Program string
}

// Permit is a request that was let in.
type Permit interface {
	// CountRerun tells that it runs once more.
	CountRerun()
	// Utilization is what its organisation uses against its limit: 1 is at the limit, 0 is
	// unknown.
	Utilization() float64
	// Release tells that it does not run. It has to be called before the request
	// is sent, once at most, and does not block.
	Release()
}

// Allowances keep organisations within their limits.
type Allowances interface {
	// Admit lets a request in, waiting for word from others if needed. It returns
	// an *OverLimitError or ErrLimitUnknown if the request must not run.
	Admit(ctx context.Context, entry AllowanceRequest) (Permit, error)
}

// CompletedTurn is a turn that a target has completed.
type CompletedTurn struct {
	// ID is that of the request, Previous that of the turn before it.
	ID       string
	Previous string
	// Input is the body that the caller sent, Output the data of the events,
	// each with a line feed.
	Input  []byte
	Output []byte
	// Retention is how long the turn may be named after its end.
	Retention time.Duration
}

// Conversations keeps the conversations of routes whose turns carry their new
// input only.
type Conversations interface {
	// History returns what a conversation holds up to and with a turn, ErrTurnNotFound
	// if there is no such turn, or ErrTurnUncertain if that is not known.
	History(ctx context.Context, program, turn string) ([]byte, error)
	// StoreTurn makes a turn durable. It returns once it is, or with the error of
	// the context.
	StoreTurn(ctx context.Context, program string, turn CompletedTurn) error
	// Accepts tells whether a turn that begins now can be kept before its caller
	// leaves, which it does after a time.
	Accepts(left time.Duration) bool
}

// Notices tells other instances what this one learns of targets.
type Notices interface {
	// ReportTargetBreaks tells that a target broke a new connection at once. It does
	// not block.
	ReportTargetBreaks()
}

// Health tells whether the platform's store answers this instance.
type Health interface{ OK() bool }

// Currency tells how old this instance's copy of the settings may be.
type Currency interface {
	// SettingsAge is the time since the store or another instance has last
	// confirmed that the copy was the newest.
	SettingsAge() time.Duration
}

// Config are what a Server works with.
type Config struct {
	Codec   call.Codec
	Targets *targets.Registry
	Pool    *exchange.Pool
	Budgets Budgets
	// Allowances is needed where organisations have limits.
	Allowances Allowances
	// Conversations is needed for routes that keep them.
	Conversations Conversations
	Notices       Notices
	Health        Health
	Freshness     Currency
	// Memory bounds what is held for requests; nil for no bound.
	Memory *memlimit.Limiter
	// KeyPolicy says what to do with keys while the settings are old.
	KeyPolicy KeyPolicy
	// Room decides who is let in; nil for a guard of the targets' loads.
	Room  Room
	Scope tally.Scope
	Log   *slog.Logger
}

// Server answers callers. It implements http.Handler.
type Server struct {
	codec      call.Codec
	targets    *targets.Registry
	pool       *exchange.Pool
	budgets    Budgets
	allowances Allowances
	kept       Conversations
	notices    Notices
	health     Health
	currency   Currency
	memory     *memlimit.Limiter
	keys       KeyPolicy
	room       Room
	log        *slog.Logger
	metrics    metrics
	// downWithin is how soon a target that is down breaks a connection.
	downWithin time.Duration

	table    atomic.Pointer[route.Table]
	draining atomic.Bool
	inFlight atomic.Int64
}

// New makes a Server without settings: until SetTable it refuses all requests.
func New(p Config) *Server {
	if p.Room == nil {
		p.Room = overload.New(p.Targets, p.Scope)
	}
	return &Server{
		codec: p.Codec, targets: p.Targets, pool: p.Pool, budgets: p.Budgets, allowances: p.Allowances, kept: p.Conversations,
		notices: p.Notices, health: p.Health, currency: p.Freshness, memory: p.Memory, keys: p.KeyPolicy, room: p.Room,
		log: p.Log, metrics: newMetrics(p.Scope),
		downWithin: downWithin,
	}
}

// SetTable puts a version of the settings in force.
func (s *Server) SetTable(table *route.Table) { s.table.Store(table) }

// Table is the version in force, nil if none is known.
func (s *Server) Table() *route.Table { return s.table.Load() }

// Admission tells who is let in.
func (s *Server) Admission() Room { return s.room }

// Drain makes each answer close its connection from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining tells whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// InFlight counts the requests that are being answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &transfer{server: s, writer: w, request: r, arrived: time.Now(), held: s.memory.NewAccount()}
	defer x.held.Close()
	x.run()
	s.finish(x)
}

// retryAfter is when a caller should come back whose request waits for the
// store: soon if it answers, else about when its outage may be over.
func (s *Server) retryAfter(soon time.Duration) time.Duration {
	if s.health.OK() {
		return soon
	}
	return retryOutage
}

// finish logs and counts a request, and cuts the connection if the answer
// could not be completed.
func (s *Server) finish(x *transfer) {
	elapsed := time.Since(x.arrived)
	s.metrics.count(x, elapsed)
	if x.reason == reasonServed {
		s.room.RecordDuration(x.service, elapsed)
	}
	s.logOutcome(x, elapsed)
	if x.cut {
		// The answer must not look complete.
		panic(http.ErrAbortHandler)
	}
}

// logOutcome writes one line for a request that was not served as usual.
func (s *Server) logOutcome(x *transfer, elapsed time.Duration) {
	level := slog.LevelInfo
	if x.reason == reasonServed {
		level = slog.LevelDebug
	}
	if !s.log.Enabled(x.request.Context(), level) {
		return
	}
	var version int64
	if x.table != nil {
		version = x.table.Version
	}
	routeName := ""
	if x.route != nil {
		routeName = x.route.Name
	}
	s.log.LogAttrs(x.request.Context(), level, "request ended",
		slog.String("request", x.call.ID), slog.String("program", x.call.Program),
		slog.String("reason", string(x.reason)), slog.Int("status", x.status),
		slog.String("route", routeName), slog.Int64("settings_version", version),
		slog.String("target", x.lastTarget), slog.Int("sends", x.sends),
		slog.Int("events", x.delivered), slog.Int64("ms", elapsed.Milliseconds()),
		slog.String("organisation", x.orgName()), slog.String("detail", x.detail),
	)
}

// rawPath is the path of a request as the caller sent it.
func rawPath(uri string) string {
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		return uri[:i]
	}
	return uri
}
