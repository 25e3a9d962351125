package exchange

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// listeningAttempts is the number of connections opened to find out whether a
	// process listens: one that is ending may still accept the first.
	listeningAttempts = 2
	// defaultAcceptedTime is how long an accepted connection must stay open. The kernel
	// closes the sockets of a process that ends one after the other.
	defaultAcceptedTime = 3 * time.Millisecond
)

// Listening reports whether a process accepts connections at an address. If so, the
// connection is kept for a later request. It returns an error if that could not be
// determined, such as that of the context.
func (p *Pool) Listening(ctx context.Context, address string) (bool, error) {
	for range listeningAttempts {
		raw, err := p.dialer.DialContext(ctx, "tcp", address)
		switch {
		case err != nil && ctx.Err() != nil:
			return false, context.Cause(ctx)
		case isUnreachable(err):
			return false, nil
		case err != nil:
			return false, errors.Wrap(err, "connect")
		}
		if p.keepIfOpen(raw, address) {
			return true, nil
		}
	}
	// A target that accepts and closes has too many connections.
	return true, nil
}

// isUnreachable reports whether a connection could not be opened because nothing listens
// at the address or its machine does not respond.
func isUnreachable(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) ||
		errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ECONNRESET) || (errors.As(err, &timeout) && timeout.Timeout())
}

// keepIfOpen adds a new connection to the idle ones, if it stays open.
func (p *Pool) keepIfOpen(raw net.Conn, address string) bool {
	c := newConn(raw, address)
	c.fresh = true
	if err := c.SetReadDeadline(time.Now().Add(p.acceptedTime)); err != nil {
		_ = c.Close() // it has carried no request
		return false
	}
	_, err := c.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.SetReadDeadline(time.Time{}) != nil {
		_ = c.Close() // it has carried no request
		return false
	}
	p.mu.Lock()
	p.stateOf(address).inUse++
	p.opened[causeProbe].Inc(1)
	p.mu.Unlock()
	p.put(c, 0, time.Now())
	return true
}
