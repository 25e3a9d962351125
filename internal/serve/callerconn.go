package serve

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// net/http drops the Content-Length of a request that is also chunked, so other servers
// on the path may delimit it differently (request smuggling). Such requests are
// refused: callerConn detects the conflict while the header is read.

// callerConn is a caller's connection. It inspects request headers and disconnects
// callers that stop reading.
type callerConn struct {
	net.Conn
	// conflict indicates that a request header contained both Content-Length and
	// Transfer-Encoding.
	conflict atomic.Bool
	memory   *memlimit.Limiter
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 && headConflicts(p[:n]) {
		c.conflict.Store(true)
	}
	return n, err
}

// headConflicts reports whether a request header, up to the first blank line, contains
// both Content-Length and Transfer-Encoding.
func headConflicts(data []byte) bool {
	length, encoding := false, false
	for len(data) > 0 {
		line := data
		if end := bytes.IndexByte(data, '\n'); end >= 0 {
			line, data = data[:end], data[end+1:]
		} else {
			data = nil
		}
		if len(line) <= 1 {
			break
		}
		switch line[0] {
		case 'c', 'C':
			length = length || hasField(line, "content-length")
		case 't', 'T':
			encoding = encoding || hasField(line, "transfer-encoding")
		}
	}
	return length && encoding
}

func hasField(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && bytes.EqualFold(line[:len(name)], []byte(name))
}

type connKey struct{}

// WrapListener returns a listener whose connections detect conflicting lengths and
// callers that stop reading. The http.Server that uses it must set ConnContext.
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

// ConnContext stores the caller's connection in the context of its requests.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// lengthsConflict reports whether a request has both Content-Length and
// Transfer-Encoding.
func lengthsConflict(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && c.conflict.Load()
}
