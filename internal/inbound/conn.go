package inbound

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/framing"
	"github.com/banyanglade/banyanglade/internal/memlimit"
)

const (
	// maxBlankBytes bounds the empty lines before a request. Some clients send one behind
	// a body.
	maxBlankBytes = 16
	// freeHeaderBytes of a header are part of the memory of each connection.
	freeHeaderBytes = 4 << 10
	// minBufferBytes is the first size of the buffer of a header.
	minBufferBytes = 1 << 10
	// lingerTime is how long the connection of a refused request stays half-open, so that
	// its client can read the response before bytes that it still sends reset the
	// connection.
	lingerTime = 500 * time.Millisecond
)

// state is the state of a connection, in the order in which connections are closed for
// others.
type state uint8

const (
	// refused: the connection is closed once the refusal was sent, or soon after.
	refused state = iota
	idle
	readingHeader
	// readingBody: a header was passed on, its body is incomplete.
	readingBody
	// inRequest: a whole request has not ended.
	inRequest
	openStates
	closed = openStates
)

// phase is what becomes of the request that was passed on last.
type phase uint32

const (
	// noRequest: its response was sent, or there is none.
	noRequest phase = iota
	running
	// finished: its handler has returned, and its response may be unsent.
	finished
)

// errClosed indicates that the Guard has closed the connection.
var errClosed = errors.Wrap(net.ErrClosed, "inbound")

// Conn is a client's connection. It passes the header of a request on once that is
// complete, and that of the next request once the request has ended. Only one goroutine may
// read at a time.
type Conn struct {
	net.Conn
	guard *Guard

	// The fields up to memory are guarded by the mutex of the Guard.
	state        state
	since        time.Time
	place        *list.Element
	headerMemory int64
	// memory accounts for the header of the request that was passed on last.
	memory memlimit.Account

	// The fields up to inHeader are used by the reader, and by the handler of the request
	// that was passed on.
	scanner framing.Scanner
	// buffer holds bytes that were read and not passed on. The first scanned ones have
	// been examined, and the first passable ones can be passed on.
	buffer            []byte
	scanned, passable int
	// unparsable indicates that the rest of the connection is not passed on.
	unparsable bool
	// rejection is set if the request that was passed on last must be refused.
	rejection *Rejection
	// inHeader indicates that the Guard knows of the incomplete header.
	inHeader bool

	// phase has the type of that name.
	phase atomic.Uint32
	// hijacked indicates that the bytes are no requests.
	hijacked atomic.Bool
	// lingers indicates that the client may still send, so that the connection must not be
	// closed before it can have read the response.
	lingers   atomic.Bool
	interrupt interrupt
}

func newConn(raw net.Conn, g *Guard) *Conn {
	return &Conn{Conn: raw, guard: g, memory: g.config.Memory.NewAccount()}
}

// Read implements net.Conn. The HTTP server reads a single byte while a request is in
// progress, and more of them once its response was sent.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) > 1 && c.phaseIs(finished) {
		c.phase.Store(uint32(noRequest))
		if err := c.enter(idle); err != nil {
			return 0, err
		}
	}
	for {
		inBody := c.scanner.InBody()
		switch {
		case c.passable > 0:
			return c.pass(p), nil
		case c.hijacked.Load():
			return c.readHijacked(p)
		case c.unparsable && (inBody || c.phaseIs(noRequest)):
			return 0, io.EOF
		case !inBody && !c.phaseIs(noRequest):
			return 0, c.awaitEnd(p)
		case c.scanned < len(c.buffer):
			if err := c.scan(); err != nil {
				return 0, err
			}
		case inBody:
			return c.readBody(p)
		default:
			if err := c.fill(p); err != nil {
				return 0, err
			}
		}
	}
}

func (c *Conn) phaseIs(p phase) bool { return phase(c.phase.Load()) == p }

// pass copies bytes that can be passed on.
func (c *Conn) pass(p []byte) int {
	n := copy(p, c.buffer[:c.passable])
	c.drop(n)
	c.passable -= n
	return n
}

// drop removes scanned bytes from the beginning of the buffer.
func (c *Conn) drop(n int) {
	c.buffer = c.buffer[n:]
	c.scanned -= n
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
}

func (c *Conn) readHijacked(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		return c.Conn.Read(p)
	}
	c.scanned, c.passable = len(c.buffer), len(c.buffer)
	return c.pass(p), nil
}

// readBody reads bytes of a body without buffering them.
func (c *Conn) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	passed, malformed := c.scanner.Scan(p[:n])
	if malformed != nil {
		c.giveUp()
	} else if passed < n {
		c.buffer = append(c.buffer, p[passed:n]...)
	}
	if closed := c.endBody(); closed != nil {
		return 0, closed
	}
	return passed, err
}

// endBody notes the end of a body.
func (c *Conn) endBody() error {
	if c.scanner.InBody() || !c.phaseIs(running) {
		return nil
	}
	return c.enter(inRequest)
}

// awaitEnd waits until the request in progress has ended or the client leaves. The HTTP
// server reads meanwhile to notice the latter, and moves the read deadline to the past once
// the request has ended.
func (c *Conn) awaitEnd(p []byte) error {
	if len(c.buffer) == 0 && !c.unparsable {
		n, err := c.Conn.Read(p[:1])
		if err != nil {
			return err
		}
		c.buffer = append(c.buffer, p[:n]...)
	}
	c.interrupt.wait()
	return os.ErrDeadlineExceeded
}

// fill reads more bytes of a header.
func (c *Conn) fill(p []byte) error {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return err
	}
	if !c.grow(n) {
		return c.reject(&Rejection{http.StatusServiceUnavailable, errHeaderMemory}, causeHeaderMemory)
	}
	c.buffer = append(c.buffer, p[:n]...)
	return nil
}

// grow makes space for n bytes and reports whether there is memory.
func (c *Conn) grow(n int) bool {
	size := len(c.buffer) + n
	if size <= cap(c.buffer) {
		return true
	}
	size = max(size, 2*cap(c.buffer), minBufferBytes)
	if size > freeHeaderBytes && !c.guard.holdHeader(c, int64(size)) {
		return false
	}
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	return true
}

// scan examines bytes that were read, up to the next end of a header or message.
func (c *Conn) scan() error {
	inBody, blank, headers := c.scanner.InBody(), c.scanner.Blank(), c.scanner.Headers()
	n, malformed := c.scanner.Scan(c.buffer[c.scanned:])
	c.scanned += n
	switch {
	case inBody:
		c.passable = c.scanned
		if malformed != nil {
			c.giveUp()
		}
		return c.endBody()
	case c.scanner.Blank() > blank:
		c.drop(n)
		if c.scanner.Blank() > maxBlankBytes {
			return c.reject(&Rejection{http.StatusBadRequest, errBlank}, causeBlank)
		}
	case c.scanned > c.guard.maxHeader():
		return c.reject(&Rejection{http.StatusRequestHeaderFieldsTooLarge, errHeaderSize}, causeHeaderSize)
	case c.scanner.Headers() > headers:
		return c.passHeader(malformed)
	case !c.inHeader:
		c.inHeader = true
		return c.enter(readingHeader)
	}
	return nil
}

// passHeader passes a complete header on.
func (c *Conn) passHeader(malformed error) error {
	if c.guard.config.NoBodies && c.scanner.InBody() {
		return c.reject(&Rejection{http.StatusRequestEntityTooLarge, errBody}, causeBody)
	}
	if err := c.guard.reserve(c, headerCost(c.scanned, c.scanner.Fields())); err != nil {
		return c.reject(&Rejection{http.StatusServiceUnavailable, err}, causeMemory)
	}
	c.rejection, c.passable = nil, c.scanned
	if malformed != nil {
		c.rejection = &Rejection{http.StatusBadRequest, malformed}
		c.guard.metrics.record(causeFraming, c.RemoteAddr())
		c.giveUp()
	}
	return c.startRequest()
}

func (c *Conn) startRequest() error {
	c.inHeader = false
	c.phase.Store(uint32(running))
	if c.scanner.InBody() && !c.unparsable {
		return c.enter(readingBody)
	}
	return c.enter(inRequest)
}

// rejectedHeader is passed on in place of a header that is refused unread.
const rejectedHeader = "GET / HTTP/1.1\r\nHost: refused\r\n\r\n"

// reject passes on a request that must be refused in place of what was read.
func (c *Conn) reject(r *Rejection, why cause) error {
	c.guard.metrics.record(why, c.RemoteAddr())
	c.rejection = r
	c.giveUp()
	c.buffer = []byte(rejectedHeader)
	c.scanned, c.passable = len(c.buffer), len(c.buffer)
	return c.startRequest()
}

// giveUp ends the reading of requests: where the next one begins is unknown.
func (c *Conn) giveUp() {
	c.unparsable = true
	c.lingers.Store(true)
}

// enter moves the connection to a state.
func (c *Conn) enter(s state) error {
	if !c.guard.change(c, s) {
		return errClosed
	}
	return nil
}

// finishRequest is called when the handler of a request has returned.
func (c *Conn) finishRequest() {
	c.guard.releaseMemory(c)
	if c.lingers.Load() {
		c.guard.change(c, refused)
	}
	c.phase.Store(uint32(finished))
}

// release ends the accounting of a hijacked connection.
func (c *Conn) release() {
	c.hijacked.Store(true)
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.remove(c)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.interrupt.set(!t.IsZero() && !t.After(time.Now()))
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.interrupt.set(!t.IsZero() && !t.After(time.Now()))
	return c.Conn.SetDeadline(t)
}

// SetLinger sets how the connection ends when it is closed, like that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn. The connection of a refused request is half-closed first.
func (c *Conn) Close() error {
	c.interrupt.set(true)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.lingers.Swap(false) && half.CloseWrite() == nil && c.guard.change(c, refused) {
		time.AfterFunc(lingerTime, func() { _ = c.closeNow() }) // the client was refused
		return nil
	}
	return c.closeNow()
}

func (c *Conn) closeNow() error {
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}
