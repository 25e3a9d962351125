// Package serve handles callers' requests: it finds the route of a request, reserves
// tokens in its program's budget, forwards it to a target and passes the response on.
// The instance that reads a request forwards it to the target itself; no other instance
// is on the path.
package serve

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/inbound"
	"github.com/banyanglade/banyanglade/internal/memlimit"
	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/overload"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// Turn is a request to reserve tokens in a program's budget for one turn.
type Turn struct {
	Program string
	// Budget is the program's whole budget, MaxTokens the upper bound of what this turn
	// generates, both in tokens.
	Budget    int
	MaxTokens int
	// Retention is how long the program's state is retained after its last turn.
	Retention time.Duration
	// TimeLeft is the time within which the turn ends.
	TimeLeft time.Duration
}

// Lease is a reservation in a program's budget.
type Lease interface {
	// LastTarget returns the target that ran the program's last turn and may hold its
	// prompt in its cache, empty if unknown.
	LastTarget() string
	// FirstTurn reports whether no turn of the program is known to have run yet.
	FirstTurn() bool
	// Settle returns the unused tokens and reports how the turn ended. It does not
	// block.
	Settle(end TurnResult)
}

// TurnResult describes how a turn ended.
type TurnResult struct {
	// UsedTokens is the number of tokens that the caller received.
	UsedTokens int
	// Target is the target that ran the turn, empty if none did.
	Target string
	// Failed indicates that the target did not complete the turn, so that the program's
	// next one should go to another target.
	Failed bool
}

// Budgets reserves tokens in programs' budgets.
type Budgets interface {
	// Reserve waits until the tokens can be reserved or the context ends. The turn must
	// not run if it returns an error: ErrBudgetSpent, ErrBudgetHeld,
	// ErrStoreUnavailable, ErrBudgetsFull, ErrNoOwner or that of the context.
	Reserve(ctx context.Context, turn Turn) (Lease, error)
}

// AllowanceRequest asks for the admission of a request within its organisation's limit.
type AllowanceRequest struct {
	Organisation string
	Limit        org.Limit
	// Version is the version of the settings that Limit is from.
	Version int64
	// First indicates that the request begins a program. Priority is used among such
	// requests; 0 is the most urgent.
	First    bool
	Priority int
	// Program is empty for a request outside programs.
	Program string
}

// Permit represents a request that was admitted within its organisation's limit.
type Permit interface {
	// CountRerun counts the request once more: it is sent again after it may have run.
	CountRerun()
	// Utilization returns the utilization of the organisation's limit: 1 is at the limit, 0 is
	// unknown.
	Utilization() float64
	// Release returns the permit of a request that is not sent. It may be called once,
	// before the request is sent, and does not block.
	Release()
}

// Allowances enforces the limits of organisations.
type Allowances interface {
	// Admit admits a request, waiting for replies of other instances if needed. It
	// returns an *OverLimitError or ErrLimitUnknown if the request must not run.
	Admit(ctx context.Context, request AllowanceRequest) (Permit, error)
}

// CompletedTurn is a turn that a target has completed.
type CompletedTurn struct {
	// ID is the id of the turn's request, Previous that of the preceding turn.
	ID       string
	Previous string
	// Input is the body that the caller sent, Output the data of the events, each
	// followed by a line feed.
	Input  []byte
	Output []byte
	// Retention is how long after its end the turn can be continued.
	Retention time.Duration
}

// Conversations stores the conversations of routes whose turns carry their new input
// only.
type Conversations interface {
	// History returns the conversation up to and including a turn. It returns
	// ErrTurnNotFound if there is no such turn and ErrTurnUncertain if its existence
	// could not be determined.
	History(ctx context.Context, program, turn string) ([]byte, error)
	// StoreTurn makes a turn durable. It returns once the turn is durable, or with the error
	// of the context.
	StoreTurn(ctx context.Context, program string, turn CompletedTurn) error
	// Accepts reports whether a turn that begins now is expected to be stored within
	// the time left.
	Accepts(left time.Duration) bool
}

// Stream identifies a stream that its caller may resume.
type Stream struct {
	// ID is the id of the request that brought the first event.
	ID string
	// Lifetime is the maximum time from the first event until the caller resumes the
	// stream for the last time.
	Lifetime time.Duration
}

// StreamOrigin is where a stream began: the service, and the software version of its
// target.
type StreamOrigin struct {
	Service string
	Version string
}

// StreamVersions remembers the origins of streams over all instances.
type StreamVersions interface {
	// Record records the origin of a stream. It is called before the caller receives the
	// first event and does not block.
	Record(stream Stream, origin StreamOrigin)
	// Lookup returns the origin of a stream. It returns ErrStreamVersionUnknown if the
	// origin is neither known nor certain because service has had no other version.
	Lookup(ctx context.Context, stream Stream, service string) (StreamOrigin, error)
	// RoutesChanged notifies of routes that lead to other services, or have other
	// timeouts, than those through which streams with a lifetime have begun so far.
	RoutesChanged(lifetime time.Duration)
}

// Work identifies what a caller asks for over all of its attempts.
type Work struct {
	ID string
	// Key selects the instances that remember lost runs of the work.
	Key string
	// Lifetime is the maximum time from one attempt to the next.
	Lifetime time.Duration
	// InMemory indicates that runs of the work need not outlive all instances.
	InMemory bool
}

// LostRuns remembers lost runs over all instances.
type LostRuns interface {
	// Exchange tells other instances of runs, which may be empty, and asks for those that
	// they know. It does not block.
	Exchange(work Work, runs structs.Runs) RunsExchange
	// Announce tells one other instance of a run that is about to begin, of work without
	// lost runs. It does not block.
	Announce(work Work, run structs.Run) RunsExchange
	// Disturbed reports whether targets or instances have ended recently, so that first
	// runs should be announced.
	Disturbed() bool
}

// RunsExchange is an exchange of lost runs in progress. One of its methods must be called.
type RunsExchange interface {
	// Wait waits until other instances have replied, and returns all known lost runs of
	// the work. It returns early if they do not reply in time or the context ends. The
	// result acknowledged is false if this instance would take the given runs along if it
	// ended.
	Wait(ctx context.Context) (known structs.Runs, acknowledged bool)
	// Cancel ends the exchange. What was sent is not withdrawn.
	Cancel()
}

// FailureReporter notifies other instances of failing targets.
type FailureReporter interface {
	// ReportTargetFailures notifies other instances of the failures recorded in the
	// registry. It does not block.
	ReportTargetFailures()
}

// Health reports whether the platform's store is available to this instance.
type Health interface{ OK() bool }

// Freshness reports the ages of this instance's copies of the settings and of the list of
// targets.
type Freshness interface {
	// SettingsAge is the time since the store or another instance last confirmed that
	// the copy was the newest.
	SettingsAge() time.Duration
	// TargetsAge is the same of the list of targets.
	TargetsAge() time.Duration
}

// Config holds the dependencies of a Server.
type Config struct {
	Codec   call.Codec
	Targets *targets.Registry
	Pool    *exchange.Pool
	Budgets Budgets
	// Allowances is required if organisations have limits.
	Allowances Allowances
	// Conversations is required if routes store turns.
	Conversations   Conversations
	StreamVersions  StreamVersions
	LostRuns        LostRuns
	FailureReporter FailureReporter
	Health          Health
	Freshness       Freshness
	// Memory bounds the memory held for requests; nil means no bound.
	Memory *memlimit.Limiter
	// Inbound bounds the connections of callers; nil means no bound.
	Inbound *inbound.Guard
	// KeyPolicy defines how keys are treated while the settings are old.
	KeyPolicy KeyPolicy
	// Admission decides which requests are admitted under load; nil selects
	// overload.New.
	Admission Admission
	Scope     tally.Scope
	Log       *slog.Logger
}

// Server handles callers' requests. It implements http.Handler.
type Server struct {
	codec           call.Codec
	targets         *targets.Registry
	pool            *exchange.Pool
	budgets         Budgets
	allowances      Allowances
	conversations   Conversations
	streamVersions  StreamVersions
	lostRuns        LostRuns
	failureReporter FailureReporter
	health          Health
	freshness       Freshness
	memory          *memlimit.Limiter
	inbound         *inbound.Guard
	keyPolicy       KeyPolicy
	admission       Admission
	log             *slog.Logger
	metrics         metrics
	completed       completedWorks
	arrivals        arrivals
	// connFailureThreshold is the time within which the end of a connection indicates
	// that its target is down. It is a field for tests.
	connFailureThreshold time.Duration

	table    atomic.Pointer[route.Table]
	draining atomic.Bool
	inFlight atomic.Int64
	// laterChecks counts the checks of lost runs that are due.
	laterChecks atomic.Int64
}

// New returns a Server without settings: it refuses all requests until SetTable is
// called.
func New(config Config) *Server {
	if config.Admission == nil {
		config.Admission = overload.New(config.Targets, config.Scope)
	}
	if config.Inbound == nil {
		config.Inbound = inbound.New(inbound.Unbounded(config.Scope, config.Log))
	}
	return &Server{
		codec: config.Codec, targets: config.Targets, pool: config.Pool, budgets: config.Budgets, allowances: config.Allowances, conversations: config.Conversations,
		streamVersions: config.StreamVersions, lostRuns: config.LostRuns,
		failureReporter: config.FailureReporter, health: config.Health, freshness: config.Freshness, memory: config.Memory, inbound: config.Inbound, keyPolicy: config.KeyPolicy, admission: config.Admission,
		log: config.Log, metrics: newMetrics(config.Scope),
		connFailureThreshold: defaultConnFailureThreshold,
	}
}

// SetTable puts a version of the settings into effect.
func (s *Server) SetTable(table *route.Table) {
	if previous := s.table.Load(); previous != nil && !previous.SameStreams(table) {
		s.streamVersions.RoutesChanged(callerLifetime * previous.LongestStream())
	}
	s.table.Store(table)
	limits := table.Limits
	s.inbound.SetLimits(inbound.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
}

// Table returns the settings in effect, nil if there are none yet.
func (s *Server) Table() *route.Table { return s.table.Load() }

// Admission returns the admission control in use.
func (s *Server) Admission() Admission { return s.admission }

// Drain makes each response from now on close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// ErrStopping is the cause with which the contexts of requests must be cancelled when
// the instance stops.
var ErrStopping = errors.New("the instance stops")

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
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

// retryAfter returns the Retry-After delay of a request that needs the store: the short
// delay if the store is available, else about the length of an outage.
func (s *Server) retryAfter(short time.Duration) time.Duration {
	if s.health.OK() {
		return short
	}
	return retryOutage
}

// finish logs and counts a request. If the response is incomplete it aborts the connection:
// it panics with http.ErrAbortHandler.
func (s *Server) finish(x *transfer) {
	elapsed := time.Since(x.arrived)
	s.metrics.count(x, elapsed)
	if x.reason == reasonServed {
		s.admission.RecordDuration(x.service, elapsed)
	}
	s.logOutcome(x, elapsed)
	if x.abort || x.status == 0 {
		// net/http would complete the response, and send an empty 200 if there is none.
		panic(http.ErrAbortHandler)
	}
	if x.endsWithConn {
		x.completeConn()
	}
}

// logOutcome logs one line for a request: at level info if it was not served, else at
// debug.
func (s *Server) logOutcome(x *transfer, elapsed time.Duration) {
	level := slog.LevelInfo
	if x.reason == reasonServed || x.rejected {
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
		slog.String("request", abbreviate(x.call.ID)), slog.String("program", abbreviate(x.call.Program)),
		slog.String("reason", string(x.reason)), slog.Int("status", x.status),
		slog.String("route", routeName), slog.Int64("settings_version", version),
		slog.String("target", x.lastTarget), slog.String("target_version", x.lastVersion), slog.Int("sends", x.sends),
		slog.Int("events", x.delivered), slog.Int64("ms", elapsed.Milliseconds()),
		slog.String("organisation", x.orgName()), slog.String("detail", x.detail),
	)
}

// maxLoggedBytes bounds what a line of the log holds of a name that a caller chose.
const maxLoggedBytes = 128

// abbreviate returns the beginning of a long name.
func abbreviate(name string) string {
	if len(name) <= maxLoggedBytes {
		return name
	}
	return name[:maxLoggedBytes] + "..."
}

// rawPath returns the path of a request URI, without the query and not decoded.
func rawPath(uri string) string {
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		return uri[:i]
	}
	return uri
}
