package logclient

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/eventsink"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Log executes the log commands: LogAppend, LogTail, LogTailEnd and LogStop. Its
// methods do not block, except Close.
type Log struct {
	cfg    LogConfig
	sink   *eventsink.Sink
	logger *slog.Logger
	// appends and reads use separate connections so that long polls do not
	// delay appends.
	appends *http.Client
	reads   *http.Client
	metrics logMetrics

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	appenders map[string]*appender
	tails     map[string]*tail
}

type logMetrics struct {
	appends         tally.Counter
	appendsRefused  tally.Counter
	appendsUnknown  tally.Counter
	appendTime      tally.Timer
	reads           tally.Counter
	readsFailed     tally.Counter
	recordsRead     tally.Counter
	recordsAppended tally.Counter
}

func newLogMetrics(scope tally.Scope) logMetrics {
	return logMetrics{
		appends:         scope.Counter("appends"),
		appendsRefused:  scope.Counter("appends_refused"),
		appendsUnknown:  scope.Counter("appends_unknown"),
		appendTime:      scope.Timer("append_time"),
		reads:           scope.Counter("reads"),
		readsFailed:     scope.Counter("reads_failed"),
		recordsRead:     scope.Counter("records_read"),
		recordsAppended: scope.Counter("records_appended"),
	}
}

// NewLog returns a Log that runs until Close is called or the context ends. It
// returns ErrConfig if the configuration is invalid.
func NewLog(
	ctx context.Context, cfg LogConfig, post func(structs.Event) bool,
	scope tally.Scope, logger *slog.Logger,
) (*Log, error) {
	if err := checkURL(cfg.URL); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	return &Log{
		cfg:       cfg.withDefaults(),
		sink:      eventsink.New(post, scope),
		logger:    logger,
		appends:   newClient(),
		reads:     newClient(),
		metrics:   newLogMetrics(scope),
		ctx:       ctx,
		cancel:    cancel,
		appenders: make(map[string]*appender),
		tails:     make(map[string]*tail),
	}, nil
}

// Close stops all appends and reads and waits for the goroutines. An append in
// flight may still take effect.
func (l *Log) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.goroutines.Wait()
	l.appends.CloseIdleConnections()
	l.reads.CloseIdleConnections()
}

// streamURL returns the URL of a stream with optional path segments.
func (l *Log) streamURL(stream string, segments ...string) string {
	parts := append([]string{strings.TrimSuffix(l.cfg.URL, "/") + wire.LogStreamsRoute, url.PathEscape(stream)}, segments...)
	return strings.Join(parts, "/")
}
