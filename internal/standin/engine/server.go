package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/standin/faults"
	"github.com/banyanglade/banyanglade/internal/standin/ledger"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Server runs a Model in real time behind HTTP. It is safe for concurrent use.
type Server struct {
	settings Settings
	injector *faults.Injector
	ledger   *ledger.Ledger

	mu      sync.Mutex
	model   *Model
	streams map[string]*stream
	// ended holds the retained streams that have ended, in order of their end.
	ended       []*stream
	nextID      uint64
	loads       standin.History[wire.EngineLoad]
	cacheEvents *eventLog
	orders      orderStore

	// wake holds an item when the model may have work.
	wake    chan struct{}
	closing chan struct{}
	stopped chan struct{}
}

// NewServer starts an engine. The caller must serve Handler and call Close.
func NewServer(settings Settings) *Server {
	settings = settings.withDefaults()
	server := &Server{
		settings:    settings,
		injector:    faults.NewInjector(settings.Faults),
		ledger:      &ledger.Ledger{},
		model:       NewModel(settings.Model),
		streams:     make(map[string]*stream),
		cacheEvents: newEventLog(settings),
		orders:      newOrderStore(settings),
		wake:        make(chan struct{}, 1),
		closing:     make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	server.recordLoad()
	go server.run()
	return server
}

// Close stops the engine. Streams in progress stay unfinished.
func (s *Server) Close() {
	close(s.closing)
	<-s.stopped
}

// Faults returns the injector of the engine's faults.
func (s *Server) Faults() *faults.Injector {
	return s.injector
}

// Ledger returns the record of all requests run.
func (s *Server) Ledger() *ledger.Ledger {
	return s.ledger
}

// Handler returns the HTTP handler of the engine.
func (s *Server) Handler() http.Handler {
	engine := http.NewServeMux()
	engine.HandleFunc("POST "+wire.ChatRoute, s.serveChat)
	engine.HandleFunc("GET "+wire.StreamsRoute+"/{id}", s.serveResume)
	engine.HandleFunc("POST "+wire.StreamsRoute+"/{id}/cancel", s.serveCancel)
	engine.HandleFunc("GET "+wire.LoadRoute, s.serveLoad)
	engine.HandleFunc("GET "+wire.CacheRoute, s.serveCacheState)
	engine.HandleFunc("GET "+wire.CacheEventsRoute, s.serveCacheEvents)
	engine.HandleFunc("POST "+wire.CacheReleaseRoute, s.serveCacheRelease)
	engine.HandleFunc("POST "+wire.CacheExportRoute, s.serveCacheExport)
	engine.HandleFunc("POST "+wire.CacheImportRoute, s.serveCacheImport)
	engine.HandleFunc("POST "+wire.OrdersRoute, s.serveOrder)
	engine.HandleFunc("GET "+wire.OrdersRoute, s.serveOrderState)

	mux := http.NewServeMux()
	mux.Handle("/v1/", s.holdWhileHung(engine))
	mux.HandleFunc("GET "+wire.HealthRoute, serveHealth)
	mux.HandleFunc("GET "+OrderLogRoute, s.serveOrderLog)
	s.injector.Register(mux)
	s.ledger.Register(mux)
	return mux
}

// holdWhileHung holds requests while the hang fault is set.
func (s *Server) holdWhileHung(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.injector.WaitWhileHung(r.Context()) != nil {
			standin.DropConnection()
		}
		next.ServeHTTP(w, r)
	})
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// startStream submits a request as a new stream, or returns the existing stream
// with its id.
func (s *Server) startStream(request Request, added *stream, entry wire.LedgerEntry) (existing *stream, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredStreams(time.Now())
	if existing, ok := s.streams[added.id]; ok {
		return existing, nil
	}
	if err := s.model.Submit(request); err != nil {
		return nil, err
	}
	added.sequence = s.ledger.Begin(entry)
	s.streams[added.id] = added
	s.recordLoad()
	s.signal()
	return nil, nil
}

// findStream returns a stream by id, nil if it does not exist.
func (s *Server) findStream(id string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredStreams(time.Now())
	return s.streams[id]
}

// cancelStream ends a running stream. It does nothing if the stream is unknown
// or has ended.
func (s *Server) cancelStream(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	finished, ok := s.model.Cancel(id)
	if !ok {
		return
	}
	s.finishStream(finished, time.Now())
	s.publish(time.Now())
}

// progress returns the state of a stream and a channel that is closed at its
// next change.
func (s *Server) progress(st *stream) (generated int, finished *Finished, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return st.generated, st.finished, st.changed
}

// dropExpiredStreams drops the streams that ended longer than StreamRetention
// ago.
func (s *Server) dropExpiredStreams(now time.Time) {
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) > s.settings.StreamRetention {
		delete(s.streams, s.ended[0].id)
		s.ended = s.ended[1:]
	}
}
