package serve

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// net/http drops the length of a request that also comes in chunks, and reads
// what follows as a second request. Such a request may hide another one from
// whoever reads it differently, so it has to be refused; a watchedConn notes it
// while the head is read.

// watchedConn is a caller's connection whose request heads are looked at.
type watchedConn struct {
	net.Conn
	// conflict tells that a head held both a length and chunks.
	conflict atomic.Bool
	memory   *memlimit.Limiter
}

// Read reads from the caller.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 && headConflicts(p[:n]) {
		c.conflict.Store(true)
	}
	return n, err
}

// headConflicts tells whether the lines up to the first blank one name both a
// length and an encoding.
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

// WrapListener makes a listener for callers whose connections are looked at.
// ConnContext must be set in the http.Server that uses it.
func (s *Server) WrapListener(l net.Listener) net.Listener { return watchListener{l, s.memory} }

type watchListener struct {
	net.Listener
	memory *memlimit.Limiter
}

// Accept waits for a caller.
func (l watchListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, memory: l.memory}, nil
}

// ConnContext makes a caller's connection known to the Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// lengthsConflict tells whether a request came with both a length and chunks.
func lengthsConflict(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	c, ok := r.Context().Value(connKey{}).(*watchedConn)
	return ok && c.conflict.Load()
}
