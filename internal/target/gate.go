package target

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a gate.
var (
	// ErrNotAfterPassed is the error of a request that came too late to be sent.
	ErrNotAfterPassed = errors.New("the time to send the request has passed")
	// errGateClosed is the error of a write after the run was given up or was
	// written to another connection.
	errGateClosed = errors.New("the request must not be sent any more")
)

// gate lets the bytes of one request pass to one connection.
type gate struct {
	now      func() time.Time
	notAfter time.Time

	mu      sync.Mutex
	conn    *gatedConn
	sentAt  time.Time
	closed  bool
	expired bool
}

func newGate(notAfter time.Time, now func() time.Time) *gate {
	return &gate{now: now, notAfter: notAfter}
}

// admit decides on a write to a connection. The first write of the request is
// the send.
func (g *gate) admit(conn *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		if g.conn != conn {
			return errGateClosed
		}
		return nil
	}
	if g.closed {
		return errGateClosed
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

// close forbids a send from now on and tells whether there was one, and when.
func (g *gate) close() (sentAt time.Time, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.sentAt, g.conn != nil
}

// isExpired tells whether the send was refused because of NotAfter.
func (g *gate) isExpired() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expired
}

// gatedConn is a connection whose writes pass the gate of the request that uses
// it.
type gatedConn struct {
	net.Conn

	mu   sync.Mutex
	gate *gate
}

// bind sets the gate for the writes that follow.
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

// unwrapGatedConn gives the gatedConn below a connection of the HTTP transport.
func unwrapGatedConn(conn net.Conn) (*gatedConn, bool) {
	if gated, ok := conn.(*gatedConn); ok {
		return gated, true
	}
	layered, ok := conn.(interface{ NetConn() net.Conn })
	if !ok {
		return nil, false
	}
	return unwrapGatedConn(layered.NetConn())
}

// sentTime gives the time of the send, false if there was none yet.
func (g *gate) sentTime() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sentAt, g.conn != nil
}
