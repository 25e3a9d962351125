// Package service is the stand-in of a tool service or a plain service. It
// accepts any request on any path, runs it for a configured time and records
// it.
package service

import (
	"net/http"
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/standin/faults"
	"github.com/banyanglade/banyanglade/internal/standin/ledger"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// DelayParameter is the query parameter that sets the run time of one request
// in milliseconds.
const DelayParameter = "delay_ms"

// Settings configure a Service.
type Settings struct {
	// ID is the target's id, as in the ledger and the responses.
	ID string
	// ServeOutcomes enables GET /v1/outcomes/{key}.
	ServeOutcomes bool
	// Dedupe returns the first response for a repeated idempotency key without
	// running the request again. Otherwise every request is run and recorded.
	Dedupe bool
	// Faults are the initial faults, including the run time.
	Faults wire.ServiceFaults
}

// Service is a tool or plain service. It is safe for concurrent use.
type Service struct {
	settings Settings
	injector *faults.Injector
	ledger   *ledger.Ledger
	outcomes *outcomes
	closing  chan struct{}
}

// Response is the body of a response.
type Response struct {
	Target   string `json:"target"`
	Sequence uint64 `json:"sequence"`
	Program  string `json:"program"`
	Key      string `json:"key"`
	Path     string `json:"path"`
	BodyHash string `json:"body_hash"`
}

// New returns a service. The caller must serve Handler and call Close.
func New(settings Settings) *Service {
	return &Service{
		settings: settings,
		injector: faults.NewInjector(settings.Faults),
		ledger:   &ledger.Ledger{},
		outcomes: newOutcomes(),
		closing:  make(chan struct{}),
	}
}

// Close aborts the requests in progress without a response.
func (s *Service) Close() {
	close(s.closing)
}

// Faults returns the injector of the service's faults.
func (s *Service) Faults() *faults.Injector {
	return s.injector
}

// Ledger returns the record of all requests run.
func (s *Service) Ledger() *ledger.Ledger {
	return s.ledger
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serveRequest)
	mux.HandleFunc("GET "+wire.HealthRoute, serveHealth)
	if s.settings.ServeOutcomes {
		mux.HandleFunc("GET "+wire.OutcomesRoute+"/{key}", s.serveOutcome)
	}
	s.injector.Register(mux)
	s.ledger.Register(mux)
	return mux
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// runTime returns the run time of a request: its DelayParameter, or else the
// service's own delay, multiplied by the slow factor.
func (s *Service) runTime(r *http.Request) time.Duration {
	milliseconds := s.injector.Get().DelayMS
	requested, err := strconv.Atoi(r.URL.Query().Get(DelayParameter))
	if err == nil {
		milliseconds = requested
	}
	normal := time.Duration(milliseconds) * time.Millisecond
	return time.Duration(float64(normal) * s.injector.SlowFactor())
}

// waitRunTime waits for the run time, even if the caller disconnects: a request
// that has begun takes effect. It returns false at Close.
func (s *Service) waitRunTime(duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closing:
		return false
	}
}

func (s *Service) ledgerEntry(r *http.Request, body []byte) wire.LedgerEntry {
	return wire.LedgerEntry{
		TimeMS:   time.Now().UnixMilli(),
		Target:   s.settings.ID,
		Program:  r.Header.Get(wire.HeaderProgram),
		Key:      r.Header.Get(wire.HeaderIdempotencyKey),
		Method:   r.Method,
		Path:     r.URL.Path,
		BodyHash: ledger.BodyHash(body),
	}
}

func newResponse(entry wire.LedgerEntry, sequence uint64) Response {
	return Response{
		Target:   entry.Target,
		Sequence: sequence,
		Program:  entry.Program,
		Key:      entry.Key,
		Path:     entry.Path,
		BodyHash: entry.BodyHash,
	}
}

// writeOutcome writes a stored response.
func writeOutcome(w http.ResponseWriter, outcome wire.OutcomeReply) {
	standin.WriteBody(w, outcome.Status, outcome.ContentType, outcome.Body)
}
