package serve

import (
	"context"
	"net"
	"net/http"

	"github.com/banyanglade/banyanglade/internal/inbound"
	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// callerConn is a caller's connection. It disconnects callers that stop reading.
type callerConn struct {
	net.Conn
	memory *memlimit.Limiter
}

// NetConn returns the connection that is embedded.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

type connKey struct{}

// Configure sets the options of an http.Server that the Server needs. The http.Server
// must use a listener from WrapListener.
func (s *Server) Configure(server *http.Server) {
	server.Handler = s
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.inbound.Configure(server)
}

// WrapListener returns a listener whose connections are bounded, and which detect requests
// that must be refused and callers that stop reading.
func (s *Server) WrapListener(l net.Listener) net.Listener {
	return callerListener{s.inbound.Listener(l), s.memory}
}

type callerListener struct {
	net.Listener
	memory *memlimit.Limiter
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, memory: l.memory}, nil
}

// refuseRejected refuses a request whose header was rejected. It reports whether it was.
func (x *transfer) refuseRejected() bool {
	rejection := inbound.RejectionOf(x.request)
	if rejection == nil {
		return false
	}
	x.detail, x.rejected = rejection.Err.Error(), true
	x.writer.Header().Set("Connection", "close")
	switch rejection.Status {
	case http.StatusServiceUnavailable:
		x.refuse(rejection.Status, reasonNoMemory, retryMemory)
	case http.StatusRequestHeaderFieldsTooLarge:
		x.refuse(rejection.Status, reasonHeaderTooLarge, 0)
	default:
		x.refuse(http.StatusBadRequest, reasonMalformed, 0)
	}
	return true
}

// Linger times of a connection, in seconds, which decide how it ends when it is closed.
const (
	// lingerReset makes it end with a reset.
	lingerReset = 0
	// lingerDefault makes it end regularly once all data is sent.
	lingerDefault = -1
)

// setLinger sets how the connection of a request ends when it is closed, also by the end of
// the process.
func setLinger(r *http.Request, seconds int) error {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return nil
	}
	lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	return lingering.SetLinger(seconds)
}
