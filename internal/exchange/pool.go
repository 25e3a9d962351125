// Package exchange sends single HTTP/1.1 requests to targets and reads the responses.
// It never retries: its errors indicate how far a send got. Connections are reused
// unless they received unexpected data.
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
	// dialTimeout bounds the opening of a connection. Targets are a few milliseconds
	// away, and a lost SYN is retransmitted only after a second.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout bounds the time that sent data may stay unacknowledged, so that a
	// dropped connection is detected before the route's timeout. The target's kernel
	// acknowledges within milliseconds; this allows some retransmissions.
	unackedTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is used if the target does not state a keep-alive time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the target's keep-alive time, so that a request
	// does not cross the target's close. At least minIdleFraction of that time is used.
	idleMargin      = time.Second
	minIdleFraction = 0.75
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
	// sweepInterval is the interval at which idle connections that expired or received
	// bytes are closed.
	sweepInterval = time.Second
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	opened causeCounters
	// acceptedTime is defaultAcceptedTime. It is a field for tests.
	acceptedTime time.Duration

	mu        sync.Mutex
	addresses map[string]*addressState
	// open is the number of connections, also those being opened. While it is at maxConns
	// an idle one is closed for each that is opened; 0 means no bound.
	open     int
	maxConns int
	closed   bool
}

// conn is a connection to a target.
type conn struct {
	*boundedConn
	address string
	reader  *bufio.Reader
	// reused indicates that the connection carried a request before.
	reused bool
	// fresh indicates that an idle connection has carried no request yet.
	fresh bool
	// expires is the time after which the connection must not be reused.
	expires time.Time
}

// NewPool returns an empty pool.
func NewPool(scope tally.Scope) *Pool {
	return &Pool{
		dialer:       netopt.NewDialer(dialTimeout, unackedTimeout),
		opened:       newCauseCounters(scope),
		acceptedTime: defaultAcceptedTime,
		addresses:    make(map[string]*addressState),
	}
}

// SetMaxConns bounds the connections: requests in progress keep theirs, and idle ones are
// closed. It must be called before the Pool is used.
func (p *Pool) SetMaxConns(max int) { p.maxConns = max }

// Run closes expired and unusable connections until the context ends, then closes all idle
// connections.
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
	for _, state := range p.addresses {
		p.open -= state.closeIdle()
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, state := range p.addresses {
		p.open -= state.expire(now)
		if state.removable(now) {
			delete(p.addresses, address)
		}
	}
}

// get returns an idle connection that is still usable, or opens one.
func (p *Pool) get(ctx context.Context, address string, now time.Time) (*conn, error) {
	for {
		c := p.takeIdle(address, now)
		if c == nil {
			break
		}
		if now.Before(c.expires) && c.usable() {
			c.reused, c.fresh = !c.fresh, false
			return c, nil
		}
		p.discard(c, now)
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return newConn(raw, address), nil
}

func newConn(raw net.Conn, address string) *conn {
	bounded := &boundedConn{Conn: raw}
	return &conn{boundedConn: bounded, address: address, reader: bufio.NewReaderSize(bounded, readBufferBytes)}
}

// stateOf returns the state of an address, creating it if needed. The caller holds mu.
func (p *Pool) stateOf(address string) *addressState {
	state := p.addresses[address]
	if state == nil {
		state = new(addressState)
		p.addresses[address] = state
	}
	return state
}

// takeIdle takes the most recently used idle connection, since it is the least likely
// to expire. If there is none, it returns nil and counts a connection to be opened.
func (p *Pool) takeIdle(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.stateOf(address)
	c := state.takeLast()
	if c == nil {
		p.opened[state.openCause(now)].Inc(1)
		p.makeRoom(now)
		p.open++
	}
	state.inUse++
	return c
}

// makeRoom closes an idle connection if there are too many connections. The caller holds
// mu.
func (p *Pool) makeRoom(now time.Time) {
	if p.maxConns <= 0 || p.open < p.maxConns {
		return
	}
	for _, state := range p.addresses {
		if len(state.idle) > 0 {
			state.closeOldest(now)
			p.open--
			return
		}
	}
}

// discard closes an idle connection that was taken but is not usable.
func (p *Pool) discard(c *conn, now time.Time) {
	_ = c.Close() // the result does not matter
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.stateOf(c.address)
	state.inUse--
	p.open--
	reason := causeClosed
	if !now.Before(c.expires) {
		reason = causeExpired
	}
	state.recordClose(reason, now)
}

// release records that a connection that carried a request was closed or not opened.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(address).inUse--
	p.open--
}

// HasIdle reports whether there is an idle connection to an address that has not
// expired.
func (p *Pool) HasIdle(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.addresses[address]
	if state == nil || len(state.idle) == 0 {
		return false
	}
	return now.Before(state.idle[len(state.idle)-1].expires)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.addresses[address]; state != nil {
		p.open -= state.closeIdle()
		state.recordClose(causeClosed, time.Now())
	}
}

// put returns a connection to the pool after its response was read to the end.
func (p *Pool) put(c *conn, keepAlive time.Duration, now time.Time) {
	idle := defaultIdleTimeout
	if keepAlive > 0 {
		idle = max(time.Duration(float64(keepAlive)*minIdleFraction), keepAlive-idleMargin)
	}
	c.expires = now.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.stateOf(c.address)
	state.inUse--
	if p.closed {
		p.open--
		_ = c.Close() // no request in progress on it
		return
	}
	state.idle = append(state.idle, c)
}

// usable reports whether nothing was received on an idle connection. Unsolicited data or
// the peer's close make it unusable.
func (c *conn) usable() bool {
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
	usable := false
	err = raw.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = peekErr == syscall.EAGAIN
	})
	return err == nil && usable
}
