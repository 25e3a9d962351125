package inbound

import (
	"container/list"
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

const (
	// sweepInterval is the time between two searches for connections that are beyond
	// their timeouts.
	sweepInterval = time.Second
	// maxSweepDelay is the longest time between two sweeps after which connections are
	// judged. After a longer one the process has stood still, and clients may have sent
	// bytes that it has not read.
	maxSweepDelay = 2 * sweepInterval
	// acceptedHeaderBytes are accepted beyond the limit of the header, for the request
	// line and the line ends.
	acceptedHeaderBytes = 4 << 10
)

// Limits bounds what a client may send and how long it may take. They may change while
// connections are open.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a header to its last.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a request.
	IdleTimeout time.Duration
}

// Limits of callers for which the operator's settings define none.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	// defaultIdleTimeout is longer than the typical idle timeouts of clients, so that
	// clients close first.
	defaultIdleTimeout = 2 * time.Minute
)

// DefaultLimits returns the limits for which an operator defines none.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// Unbounded returns the configuration of a Guard that bounds single requests only.
func Unbounded(scope tally.Scope, log *slog.Logger) Config {
	return Config{Limits: DefaultLimits(), MaxConns: math.MaxInt, MaxHeaderMemory: math.MaxInt64, Scope: scope, Log: log}
}

// Config configures a Guard.
type Config struct {
	// Name is the listener's name in logs and metrics.
	Name   string
	Limits Limits
	// MaxConns bounds the open connections, except hijacked ones.
	MaxConns int
	// MaxHeaderMemory bounds the bytes of all incomplete headers that are longer than
	// freeHeaderBytes.
	MaxHeaderMemory int64
	// Memory accounts for complete headers while their requests are in progress; nil
	// means no bound.
	Memory *memlimit.Limiter
	// NoBodies refuses requests with a body.
	NoBodies bool
	// EvictRequests lets connections with a whole request in progress be closed, after all
	// others, for new ones. The requests must be safe to repeat.
	EvictRequests bool
	Scope         tally.Scope
	Log           *slog.Logger
}

// Guard bounds the connections of one listener. It is safe for concurrent use.
type Guard struct {
	config  Config
	limits  atomic.Pointer[Limits]
	metrics metrics

	mu sync.Mutex
	// open is the number of connections that are not closed, hijacked ones excluded.
	open int
	// byState holds the open connections by state, in the order in which they entered it.
	byState [openStates]list.List
	// headerMemory is the number of bytes held for incomplete headers.
	headerMemory int64
}

// New returns a Guard.
func New(config Config) *Guard {
	g := &Guard{config: config, metrics: newMetrics(config.Scope, config.Name)}
	g.SetLimits(config.Limits)
	return g
}

// SetLimits replaces the limits, also for open connections. Zero values select those of
// the configuration.
func (g *Guard) SetLimits(l Limits) {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = g.config.Limits.MaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = g.config.Limits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = g.config.Limits.IdleTimeout
	}
	g.limits.Store(&l)
}

// HeaderTimeout returns the time in which a header must be complete.
func (g *Guard) HeaderTimeout() time.Duration { return g.limits.Load().HeaderTimeout }

// maxHeader returns the largest size of a header that is accepted.
func (g *Guard) maxHeader() int { return g.limits.Load().MaxHeaderBytes + acceptedHeaderBytes }

// Listener returns a listener whose connections are bounded.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // nothing was read from it
	}
}

// admit registers a connection. It returns nil if there are too many, none of which may be
// closed.
func (g *Guard) admit(raw net.Conn) *Conn {
	c := newConn(raw, g)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.config.MaxConns && !g.evict(causeConnections) {
		g.metrics.record(causeNotAdmitted, raw.RemoteAddr())
		return nil
	}
	g.open++
	g.enter(c, idle)
	return c
}

// evict closes the connection that is least likely to carry a request, and reports whether
// there was one. The mutex must be held.
func (g *Guard) evict(why cause) bool {
	for state := range g.evictable() {
		if first := g.byState[state].Front(); first != nil {
			g.closeNow(first.Value.(*Conn), why)
			return true
		}
	}
	return false
}

// evictable returns the states below which connections may be closed for others.
func (g *Guard) evictable() state {
	if g.config.EvictRequests {
		return openStates
	}
	return inRequest
}

// closeNow closes a connection. The mutex must be held.
func (g *Guard) closeNow(c *Conn, why cause) {
	if c.state != refused {
		g.metrics.record(why, c.RemoteAddr())
	}
	g.remove(c)
	_ = c.Conn.Close() // the client was given up
}

// enter moves a connection to a state. The mutex must be held.
func (g *Guard) enter(c *Conn, s state) {
	if c.place != nil {
		g.byState[c.state].Remove(c.place)
		c.place = nil
	}
	c.state, c.since = s, time.Now()
	if s != readingHeader {
		g.headerMemory -= c.headerMemory
		c.headerMemory = 0
	}
	if s < openStates {
		c.place = g.byState[s].PushBack(c)
	}
}

// remove ends the accounting of a connection. The mutex must be held.
func (g *Guard) remove(c *Conn) {
	if c.state == closed {
		return
	}
	g.enter(c, closed)
	g.open--
	c.memory.Close()
}

// change moves a connection to a state, and reports false if it was closed.
func (g *Guard) change(c *Conn, s state) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == closed {
		return false
	}
	g.enter(c, s)
	return true
}

// reserve reserves the memory of a complete header, until its request or connection ends.
func (g *Guard) reserve(c *Conn, size int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == closed {
		return errClosed
	}
	return c.memory.Reserve(size)
}

// releaseMemory releases the memory of a complete header.
func (g *Guard) releaseMemory(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.memory.Close()
}

// holdHeader accounts for the bytes of a connection's incomplete header. It closes other
// connections if there are too many, and reports whether there is space.
func (g *Guard) holdHeader(c *Conn, size int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == closed {
		return false
	}
	more := size - c.headerMemory
	for more > 0 && g.headerMemory+more > g.config.MaxHeaderMemory {
		victim := g.longestHeader(c)
		if victim == nil {
			return false
		}
		g.closeNow(victim, causeHeaderMemory)
	}
	c.headerMemory = size
	g.headerMemory += more
	return true
}

// longestHeader returns the connection other than c that has been without a complete header
// for longest and holds memory, nil if there is none. The mutex must be held.
func (g *Guard) longestHeader(c *Conn) *Conn {
	for e := g.byState[readingHeader].Front(); e != nil; e = e.Next() {
		if other := e.Value.(*Conn); other != c && other.headerMemory > 0 {
			return other
		}
	}
	return nil
}

// Run closes connections that are beyond their timeouts until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.sweep(last, now)
		last = now
		g.metrics.report(g.config.Log, g.Usage())
	}
}

// sweep closes connections that are beyond their timeouts, given the time of the last sweep.
func (g *Guard) sweep(last, now time.Time) {
	if now.Sub(last) > maxSweepDelay {
		return
	}
	limits := g.limits.Load()
	g.closeOlder(readingHeader, now.Add(-limits.HeaderTimeout), causeHeaderTimeout)
	g.closeOlder(idle, now.Add(-limits.IdleTimeout), causeIdleTimeout)
}

// closeOlder closes the connections that entered a state before a time.
func (g *Guard) closeOlder(s state, before time.Time, why cause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for e := g.byState[s].Front(); e != nil; e = g.byState[s].Front() {
		c := e.Value.(*Conn)
		if !c.since.Before(before) {
			return
		}
		g.closeNow(c, why)
	}
}

// Usage is the use of a Guard's bounds.
type Usage struct {
	Listener string `json:"listener"`
	// Conns is the number of open connections, Idle that of those without a request and
	// Reading that of those with an incomplete header.
	Conns    int `json:"connections"`
	MaxConns int `json:"max_connections"`
	Idle     int `json:"idle"`
	Reading  int `json:"reading_header"`
	// HeaderMemory is the number of bytes held for incomplete headers.
	HeaderMemory    int64 `json:"header_bytes"`
	MaxHeaderMemory int64 `json:"max_header_bytes"`
}

// Usage returns the current use.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{
		Listener: g.config.Name, Conns: g.open, MaxConns: g.config.MaxConns,
		Idle: g.byState[idle].Len(), Reading: g.byState[readingHeader].Len(),
		HeaderMemory: g.headerMemory, MaxHeaderMemory: g.config.MaxHeaderMemory,
	}
}

// Configure sets the options of an http.Server that the Guard needs. The server must use
// the Guard's listener, and its Handler must be set.
func (g *Guard) Configure(server *http.Server) {
	server.Handler = finishing{server.Handler}
	// Every request has to reach the handler, which tells that it has ended.
	server.DisableGeneralOptionsHandler = true
	// The Guard's limits apply.
	server.MaxHeaderBytes = math.MaxInt32
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if guarded := unwrap(c); s == http.StateHijacked && guarded != nil {
			guarded.release()
		}
	}
}

type connKey struct{}

// unwrap returns the Conn of a connection, which another one may embed, nil if there is none.
func unwrap(c net.Conn) *Conn {
	for c != nil {
		if guarded, ok := c.(*Conn); ok {
			return guarded
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// connOf returns the connection of a request, nil if it has no Guard.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// RejectionOf returns why a request must be refused, nil if it need not be.
func RejectionOf(r *http.Request) *Rejection {
	if c := connOf(r); c != nil {
		return c.rejection
	}
	return nil
}

// finishing tells the connection when a request has ended.
type finishing struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (f finishing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil {
		defer c.finishRequest()
	}
	f.next.ServeHTTP(w, r)
}

// RefuseRejected answers the requests that must be refused, and passes the others on.
func RefuseRejected(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rejection := RejectionOf(r)
		if rejection == nil {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		http.Error(w, rejection.Err.Error(), rejection.Status)
	})
}
