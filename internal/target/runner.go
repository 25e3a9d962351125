package target

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/eventsink"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Causes of the end of a run.
var (
	errTimeout     = errors.New("timeout of the run")
	errCancelled   = errors.New("run cancelled")
	errTooManyRuns = errors.New("too many runs in flight")
)

// KindResolver returns the kind of a service, and false if the settings have no such
// service. The Runner calls it only within its methods, on their caller's goroutine.
type KindResolver func(structs.ServiceName) (structs.ServiceKind, bool)

// Runner executes the commands for targets and posts their results as events. Its
// methods, except for Close, do not block.
type Runner struct {
	cfg     Config
	kind    KindResolver
	sink    *eventsink.Sink
	logger  *slog.Logger
	clients clients
	metrics metrics
	// releases is a semaphore that limits the cache releases in flight.
	releases chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	runs      map[structs.RunID]*activeRun
	releasing map[releaseKey]struct{}
	watches   map[structs.TargetID]*watch
}

type metrics struct {
	runsStarted    tally.Counter
	runsDuplicate  tally.Counter
	runsEnded      map[structs.RunFailure]tally.Counter
	firstToken     tally.Timer
	took           tally.Timer
	cancelsFailed  tally.Counter
	releasesFailed tally.Counter
	pollsFailed    tally.Counter
	cacheGaps      tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	ended := make(map[structs.RunFailure]tally.Counter)
	for failure, name := range failureNames {
		ended[failure] = scope.Tagged(map[string]string{"failure": name}).Counter("runs_ended")
	}
	return metrics{
		runsStarted:    scope.Counter("runs_started"),
		runsDuplicate:  scope.Counter("runs_duplicate"),
		runsEnded:      ended,
		firstToken:     scope.Timer("first_token"),
		took:           scope.Timer("took"),
		cancelsFailed:  scope.Counter("cancels_failed"),
		releasesFailed: scope.Counter("releases_failed"),
		pollsFailed:    scope.Counter("polls_failed"),
		cacheGaps:      scope.Counter("cache_event_gaps"),
	}
}

var failureNames = map[structs.RunFailure]string{
	structs.RunOK: "none", structs.RunNotSent: "not_sent", structs.RunBroken: "broken",
	structs.RunTimeout: "timeout", structs.RunCancelled: "cancelled", structs.RunFenced: "fenced",
}

// New returns a Runner that works until Close is called or ctx ends. Events are
// passed to post, which returns false if it could not accept one.
func New(
	ctx context.Context, cfg Config, kind KindResolver, post func(structs.Event) bool,
	scope tally.Scope, logger *slog.Logger,
) *Runner {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	return &Runner{
		cfg:       cfg,
		kind:      kind,
		sink:      eventsink.New(post, scope),
		logger:    logger,
		clients:   newClients(cfg),
		metrics:   newMetrics(scope),
		releases:  make(chan struct{}, cfg.MaxReleases),
		ctx:       ctx,
		cancel:    cancel,
		runs:      make(map[structs.RunID]*activeRun),
		releasing: make(map[releaseKey]struct{}),
		watches:   make(map[structs.TargetID]*watch),
	}
}

// Close ends all runs without delivering their events and waits for all
// goroutines.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.work.Wait()
	r.clients.close()
}

// spawn runs f on a goroutine that Close waits for. The caller holds mu.
func (r *Runner) spawn(f func()) {
	if !r.closed {
		r.work.Go(f)
	}
}

// isEngine reports whether a target is a model engine.
func (r *Runner) isEngine(target structs.Target) bool {
	kind, known := r.kind(target.Service)
	return known && kind == structs.ServiceEngine
}
