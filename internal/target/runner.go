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

// Causes that end the context of a run.
var (
	errTimeout     = errors.New("timeout of the run")
	errCancelled   = errors.New("run cancelled")
	errTooManyRuns = errors.New("too many runs in flight")
)

// KindResolver gives the kind of a service from the settings, false if they
// name none such. The Runner calls it only from within its methods, thus on the
// goroutine of their caller.
type KindResolver func(structs.ServiceName) (structs.ServiceKind, bool)

// Runner carries out StartRun, ResumeRun, CancelRun, AskOutcome, ReleaseCache
// and WatchTargets. Its methods never block, but for Close.
type Runner struct {
	cfg     Config
	kind    KindResolver
	sink    *eventsink.Sink
	logger  *slog.Logger
	clients clients
	metrics metrics
	// releases holds a token for each cache release in flight.
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

// New makes a Runner that runs until Close or until the context ends.
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

// Close ends all runs without their events and waits for the goroutines.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.work.Wait()
	r.clients.close()
}

// spawn runs f on a goroutine that Close waits for. The mutex is held.
func (r *Runner) spawn(f func()) {
	if !r.closed {
		r.work.Go(f)
	}
}

// isEngine tells whether a target is a model engine.
func (r *Runner) isEngine(target structs.Target) bool {
	kind, known := r.kind(target.Service)
	return known && kind == structs.ServiceEngine
}
