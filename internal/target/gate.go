package target

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a gate.
var (
	// ErrNotAfterPassed is returned for a request that was not sent before its
	// NotAfter.
	ErrNotAfterPassed = errors.New("the time to send the request has passed")
	// errNotAdmitted is returned for a write after the run ended, or after the
	// request was written to another connection.
	errNotAdmitted = errors.New("the request must not be sent any more")
)

// gate lets the bytes of a request pass to a single connection.
type gate struct {
	now      func() time.Time
	notAfter time.Time

	mu      sync.Mutex
	conn    *gatedConn
	sentAt  time.Time
	revoked bool
	expired bool
}

func newGate(notAfter time.Time, now func() time.Time) *gate {
	return &gate{now: now, notAfter: notAfter}
}

// admit returns nil if the request may be written to conn. The first admitted
// write counts as the send.
func (g *gate) admit(conn *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		if g.conn != conn {
			return errNotAdmitted
		}
		return nil
	}
	if g.revoked {
		return errNotAdmitted
	}
	now := g.now()
	if !g.notAfter.IsZero() && now.After(g.notAfter) {
		g.expired = true
		return ErrNotAfterPassed
	}
	g.conn = conn
	g.sentAt = now
	return nil
}

// revoke prevents any later send and reports whether the request was sent, and when.
func (g *gate) revoke() (sentAt time.Time, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoked = true
	return g.sentAt, g.conn != nil
}

// isExpired reports whether the send was refused because NotAfter had passed.
func (g *gate) isExpired() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expired
}

// gatedConn is a connection whose writes are checked by the gate of the request
// that uses it.
type gatedConn struct {
	net.Conn

	mu   sync.Mutex
	gate *gate
}

// bind sets the gate for subsequent writes.
func (c *gatedConn) bind(g *gate) {
	c.mu.Lock()
	c.gate = g
	c.mu.Unlock()
}

// Write writes to the connection if the gate admits it.
func (c *gatedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	g := c.gate
	c.mu.Unlock()
	if g != nil {
		if err := g.admit(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// unwrapGatedConn returns the gatedConn that a connection of the HTTP transport
// wraps.
func unwrapGatedConn(conn net.Conn) (*gatedConn, bool) {
	if gated, ok := conn.(*gatedConn); ok {
		return gated, true
	}
	wrapper, ok := conn.(interface{ NetConn() net.Conn })
	if !ok {
		return nil, false
	}
	return unwrapGatedConn(wrapper.NetConn())
}

// sentTime returns the time of the send, and false if the request was not sent.
func (g *gate) sentTime() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sentAt, g.conn != nil
}
