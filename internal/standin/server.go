package standin

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// LoopbackAddress is the listen address for a free loopback port.
const LoopbackAddress = "127.0.0.1:0"

const readHeaderTimeout = 10 * time.Second

// Server serves a handler on one listener.
type Server struct {
	// URL is the base URL, without a trailing slash.
	URL string

	http *http.Server
	done chan struct{}
}

// Listen binds address and serves handler on it until Close. An empty address
// means LoopbackAddress. It fails if the address cannot be bound.
func Listen(address string, handler http.Handler) (*Server, error) {
	if address == "" {
		address = LoopbackAddress
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	server := &Server{
		URL:  "http://" + listener.Addr().String(),
		http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		done: make(chan struct{}),
	}
	go server.serve(listener)
	return server, nil
}

func (s *Server) serve(listener net.Listener) {
	defer close(s.done)
	err := s.http.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		slog.Error("stand-in server ended", "url", s.URL, "error", err)
	}
}

// Close closes the listener and every connection, which cancels the contexts of
// requests in progress.
func (s *Server) Close() {
	if err := s.http.Close(); err != nil {
		slog.Warn("close stand-in server", "url", s.URL, "error", err)
	}
	<-s.done
}
