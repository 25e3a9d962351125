package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/inbound"
	"github.com/banyanglade/banyanglade/internal/peer"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/platform"
)

// servers are the HTTP servers of an instance.
type servers struct {
	callers *http.Server
	ready   *http.Server
	admin   *http.Server
	failed  chan error
	// cancelRequests cancels the callers' requests in flight.
	cancelRequests context.CancelCauseFunc
}

func (e *edge) listen(ctx context.Context) (*servers, error) {
	requests, cancelRequests := context.WithCancelCause(ctx)
	base := func(ctx context.Context) func(net.Listener) context.Context {
		return func(net.Listener) context.Context { return ctx }
	}
	s := &servers{
		cancelRequests: cancelRequests,
		callers:        &http.Server{BaseContext: base(requests)},
		ready:          &http.Server{Handler: inbound.RefuseRejected(e.readyHandler()), WriteTimeout: internalWriteTimeout},
		admin:          &http.Server{Handler: inbound.RefuseRejected(e.adminHandler()), WriteTimeout: internalWriteTimeout, BaseContext: base(ctx)},
		failed:         make(chan error, 3),
	}
	e.server.Configure(s.callers)
	e.guards.ready.Configure(s.ready)
	e.guards.peers.Configure(s.admin)
	listeners := []struct {
		server  *http.Server
		address string
		wrap    func(net.Listener) net.Listener
	}{
		{s.admin, e.peerListen, e.guards.peers.Listener},
		{s.callers, e.machine.CallerAddress, e.server.WrapListener},
		{s.ready, e.machine.ReadyAddress, e.guards.ready.Listener},
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", l.address)
		}
		go s.serve(l.server, l.wrap(listener))
	}
	return s, nil
}

func (s *servers) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		s.failed <- err
	}
}

// readyHandler serves the platform's readiness checks.
func (e *edge) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// adminHandler serves other instances, metrics and debugging.
func (e *edge) adminHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(peer.Route, gin.WrapH(e.transport.Handler()))
	engine.GET(topicsPath, e.handleTopics)
	engine.GET("/metrics", gin.WrapH(e.reporter))
	engine.GET("/debug/state", func(c *gin.Context) { c.JSON(http.StatusOK, e.dump()) })
	return engine
}

// drain shuts the instance down without cutting requests: it reports not ready at once,
// keeps serving until the platform has noticed, and ends when no request is in flight or
// the grace period is nearly over. The requests that are left are cancelled.
func (e *edge) drain(s *servers, started time.Time) {
	e.log.Info("stopping", "in_flight", e.server.InFlight())
	e.server.Drain()
	notice := time.NewTimer(min(drainNotice, e.machine.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), drainDeadline(drainMargin, started, e.machine.GracePeriod))
	defer cancel()
	e.allowances.Leave()
	e.budgets.Leave(ctx)
	<-notice.C
	if err := s.callers.Shutdown(ctx); err != nil {
		e.log.Warn("grace period ended with requests in flight", "in_flight", e.server.InFlight(), "error", err.Error())
		e.cancelRequests(s, drainDeadline(exitMargin, started, e.machine.GracePeriod))
	}
	for _, server := range []*http.Server{s.ready, s.admin} {
		if err := server.Close(); err != nil {
			e.log.Warn("failed to close a listener", "error", err.Error())
		}
	}
}

// cancelRequests cancels the requests in flight and waits until their responses are sent,
// at most until a time.
func (e *edge) cancelRequests(s *servers, until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	s.cancelRequests(serve.ErrStopping)
	if err := s.callers.Shutdown(ctx); err != nil {
		e.log.Warn("cancelled requests have not ended", "in_flight", e.server.InFlight(), "error", err.Error())
	}
}
