package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/framing"
	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// net/http drops the Content-Length of a request that is also chunked, so other servers
// on the path may delimit it differently (request smuggling). callerConn finds such
// requests in the bytes that net/http reads.

// callerConn is a caller's connection. It follows the framing of requests and
// disconnects callers that stop reading.
type callerConn struct {
	net.Conn
	memory *memlimit.Limiter
	// scanner and unparsable are used by Read only. If unparsable is set, the rest of the
	// connection cannot be parsed as requests and is not passed on.
	scanner    framing.Scanner
	unparsable bool
	// rejected is the request with a rejected header, nil if there is none.
	rejected atomic.Pointer[rejectedRequest]
	// requests is the number of requests that reached the handler.
	requests atomic.Int64
}

// rejectedRequest is a request that must be refused.
type rejectedRequest struct {
	// number is the number of the request on its connection, from 1.
	number int64
	err    error
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.unparsable {
		return 0, c.discardRest()
	}
	n, err := c.Conn.Read(p)
	passed, rejection := c.scanner.Scan(p[:n])
	if rejection == nil {
		return n, err
	}
	c.unparsable = true
	if !errors.Is(rejection, framing.ErrMalformedChunk) {
		c.rejected.Store(&rejectedRequest{c.scanner.Headers(), rejection})
	}
	return passed, err
}

// discardBufferBytes is the size of the reads of bytes that are discarded.
const discardBufferBytes = 4 << 10

// discardRest returns io.EOF once the last request that can be parsed has reached the
// handler. Until then it reads, so that earlier requests are not taken for abandoned.
func (c *callerConn) discardRest() error {
	buffer := make([]byte, discardBufferBytes)
	for c.requests.Load() < c.scanner.Headers() {
		if _, err := c.Conn.Read(buffer); err != nil {
			return err
		}
	}
	return io.EOF
}

// checkRequest counts a request that reached the handler and returns why it must be refused,
// nil if it need not be. Requests on one connection are handled one after the other.
func (c *callerConn) checkRequest() error {
	number := c.requests.Add(1)
	rejected := c.rejected.Load()
	if rejected == nil || number < rejected.number {
		return nil
	}
	return rejected.err
}

type connKey struct{}

// Configure sets the options of an http.Server that the Server needs. The http.Server
// must use a listener from WrapListener.
func (s *Server) Configure(server *http.Server) {
	server.Handler = s
	// Every request has to reach the handler, which counts them.
	server.DisableGeneralOptionsHandler = true
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// WrapListener returns a listener whose connections detect ambiguous lengths and
// callers that stop reading.
func (s *Server) WrapListener(l net.Listener) net.Listener { return callerListener{l, s.memory} }

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

// checkFraming returns an error if the request has to be refused because its header
// defines the length of its body ambiguously. It must be called once for each request.
func checkFraming(r *http.Request) error {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return nil
	}
	return c.checkRequest()
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
