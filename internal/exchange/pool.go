// Package exchange sends single HTTP/1.1 requests to targets and reads their
// answers. It never sends a request again by itself: the caller learns how far
// a send got and decides. Connections are kept and reused; one that shows
// anything unexpected is closed.
package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/netopt"
)

const (
	// dialTimeout bounds the set-up of a connection. Targets are a few
	// milliseconds away, and a lost opening packet is sent again after a
	// second only, so a longer wait does not pay.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long a target may leave a request without any
	// acknowledgement, which comes from its kernel within milliseconds: some
	// retransmissions. A dropped connection is noticed then and not at the
	// route's timeout.
	unackedTimeout = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept if the target does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is kept of the time that the target states, in whole seconds,
	// so that a request does not cross the target's close; idleShare of the time
	// is used at least.
	idleMargin = time.Second
	idleShare  = 0.75
	// readBuffer is the size of a connection's read buffer, in bytes: an
	// answer's head with a small body.
	readBuffer = 2 << 10
	// sweepInterval is the time between two searches for expired connections.
	sweepInterval = time.Second
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	opened causeCounters

	mu     sync.Mutex
	places map[string]*place
	closed bool
}

// conn is a connection to a target.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// reused tells that it carried a request before.
	reused bool
	// expires is when it must not be used any more.
	expires time.Time
}

// NewPool makes an empty pool.
func NewPool(scope tally.Scope) *Pool {
	return &Pool{
		dialer: netopt.NewDialer(dialTimeout, unackedTimeout),
		opened: newCauseCounters(scope),
		places: make(map[string]*place),
	}
}

// Run closes expired connections until the context ends, then all.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.close()
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, at := range p.places {
		at.closeIdle()
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, at := range p.places {
		at.expire(now)
		if at.unused(now) {
			delete(p.places, address)
		}
	}
}

// get takes an idle connection that is still in order, or opens one.
func (p *Pool) get(ctx context.Context, address string, now time.Time) (*conn, error) {
	for {
		c := p.takeIdle(address, now)
		if c == nil {
			break
		}
		if now.Before(c.expires) && c.quiet() {
			c.reused = true
			return c, nil
		}
		p.giveUp(c, now)
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.ended(address)
		return nil, err
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// at finds what is known of an address. The mutex is held.
func (p *Pool) at(address string) *place {
	at := p.places[address]
	if at == nil {
		at = new(place)
		p.places[address] = at
	}
	return at
}

// takeIdle takes the connection used last, since it is least likely to expire.
// Without one it notes that one is opened.
func (p *Pool) takeIdle(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.at(address)
	c := at.take()
	if c == nil {
		p.opened[at.opens(now)].Inc(1)
	}
	at.inUse++
	return c
}

// giveUp closes an idle connection that was taken and can't be used.
func (p *Pool) giveUp(c *conn, now time.Time) {
	_ = c.Close() // it is given up either way
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.at(c.address)
	at.inUse--
	why := causeClosed
	if !now.Before(c.expires) {
		why = causeExpired
	}
	at.lose(why, now)
}

// ended counts a connection that carries no request any more.
func (p *Pool) ended(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(address).inUse--
}

// HasIdle tells whether an idle connection to an address can be used.
func (p *Pool) HasIdle(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.places[address]
	if at == nil || len(at.idle) == 0 {
		return false
	}
	return now.Before(at.idle[len(at.idle)-1].expires)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := p.places[address]; at != nil {
		at.closeIdle()
		at.lose(causeClosed, time.Now())
	}
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(c *conn, keepAlive time.Duration, now time.Time) {
	idle := defaultIdle
	if keepAlive > 0 {
		idle = max(time.Duration(float64(keepAlive)*idleShare), keepAlive-idleMargin)
	}
	c.expires = now.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.at(c.address)
	at.inUse--
	if p.closed {
		_ = c.Close() // nothing is under way on it
		return
	}
	at.idle = append(at.idle, c)
}

// quiet tells whether nothing has arrived on an idle connection: bytes that
// nobody asked for, or its end, make it unusable.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
	})
	return err == nil && quiet
}
