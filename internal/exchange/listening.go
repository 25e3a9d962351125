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
	// checkInterval is the least time between the beginnings of two checks of an address,
	// well below the time for which a request waits for one.
	checkInterval = 5 * time.Millisecond
)

// listenCheck is a check whether a process listens at an address.
type listenCheck struct {
	// begins is the time at which it begins.
	begins time.Time
	// done is closed once the fields below are set.
	done      chan struct{}
	listening bool
	err       error
}

// Listening reports whether a process accepts connections at an address. If so, the
// connection is kept for a later request unless there is one. It returns an error if that
// could not be determined, such as that of the context. Calls within checkInterval share
// one check, which begins after all of them.
func (p *Pool) Listening(ctx context.Context, address string) (bool, error) {
	if ctx.Err() != nil {
		return false, context.Cause(ctx)
	}
	check := p.nextCheck(address, time.Now())
	select {
	case <-check.done:
		return check.listening, check.err
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
}

// nextCheck returns a check of an address that has not begun. Each begins checkInterval
// after the one before.
func (p *Pool) nextCheck(address string, now time.Time) *listenCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.stateOf(address)
	last := state.lastCheck
	if last != nil && last.begins.After(now) {
		return last
	}
	check := &listenCheck{begins: now, done: make(chan struct{})}
	if last != nil && now.Before(last.begins.Add(checkInterval)) {
		check.begins = last.begins.Add(checkInterval)
	}
	state.lastCheck = check
	time.AfterFunc(check.begins.Sub(now), func() {
		check.listening, check.err = p.checkListening(address)
		close(check.done)
	})
	return check
}

// checkListening opens connections to find out whether a process listens.
func (p *Pool) checkListening(address string) (bool, error) {
	for range listeningAttempts {
		raw, err := p.dialer.DialContext(context.Background(), "tcp", address)
		switch {
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

// keepIfOpen reports whether a new connection stays open, and adds it to the idle ones if
// there is none.
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
	p.opened[causeProbe].Inc(1)
	state := p.stateOf(address)
	kept := len(state.idle) == 0
	if kept {
		state.inUse++
		p.open++
	}
	p.mu.Unlock()
	if !kept {
		_ = c.Close() // it has carried no request
		return true
	}
	p.put(c, 0, time.Now())
	return true
}
