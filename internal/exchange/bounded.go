package exchange

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds what is read of a connection for the header of one response, so
	// that bytes without end are not collected.
	maxHeadBytes = 32 << 10
	// maxSkippedBytes bounds what is read of a connection for the body of a response to
	// another request, which comes before the one that is waited for.
	maxSkippedBytes = 1 << 20
	// maxDiscardedBytes bounds the rest of a body that is read only to reuse the
	// connection.
	maxDiscardedBytes = 64 << 10
)

// errTooLong indicates that a target sent more bytes than a response may have.
var errTooLong = errors.New("the target sent more bytes than a response may have")

// boundedConn is a connection that can limit what is read of it.
type boundedConn struct {
	net.Conn
	// bounded indicates that at most left bytes may be read.
	bounded bool
	left    int
}

// limit bounds the bytes that are read from now on.
func (b *boundedConn) limit(bytes int) { b.bounded, b.left = true, bytes }

// unlimit removes the bound.
func (b *boundedConn) unlimit() { b.bounded = false }

// Read implements net.Conn.
func (b *boundedConn) Read(p []byte) (int, error) {
	if !b.bounded {
		return b.Conn.Read(p)
	}
	if b.left == 0 {
		return 0, errTooLong
	}
	n, err := b.Conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// discard reads up to limit bytes to the end of a body.
func discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit))
	if err == nil && n == limit {
		return errTooLong
	}
	return err
}

// Discard reads the rest of a short body, so that the connection can be reused.
func (r *Response) Discard() error { return discard(r.Body, maxDiscardedBytes) }
