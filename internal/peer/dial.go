package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/banyanglade/banyanglade/internal/netopt"
)

// Route is the HTTP path of peer connections.
const Route = "/peer"

func newDialClient(cfg Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         netopt.NewDialer(cfg.DialTimeout, cfg.PeerTimeout).DialContext,
		TLSClientConfig:     cfg.TLS,
		TLSHandshakeTimeout: cfg.DialTimeout,
	}}
}

func (t *Transport) dialURL(address string) string {
	if t.cfg.TLS != nil {
		return "wss://" + address + Route
	}
	return "ws://" + address + Route
}

// ensureConnected dials the instance unless there is a connection or a dial in
// progress. It returns false if the address is unknown or the dial backoff has
// not expired. t.mu must be held.
func (t *Transport) ensureConnected(l *link) bool {
	if l.current != nil || l.dialing {
		return true
	}
	if l.address == "" || time.Now().Before(l.nextDial) {
		return false
	}
	address := l.address
	l.dialing = t.spawn(func() { t.dialLink(l, address) })
	return l.dialing
}

// dialLink dials an instance and runs the session until it ends.
func (t *Transport) dialLink(l *link, address string) {
	s, err := t.dial(l, address)
	if err != nil {
		t.handleDialFailure(l, err)
		return
	}
	s.dialed = true
	t.runSession(s)
}

func (t *Transport) dial(l *link, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.DialTimeout)
	defer cancel()
	options := websocket.DialOptions{HTTPClient: t.client, CompressionMode: websocket.CompressionDisabled}
	conn, _, err := websocket.Dial(ctx, t.dialURL(address), &options)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	remote, err := t.handshaker.dial(ctx, conn, l.id)
	if err != nil {
		_ = conn.CloseNow()
		return nil, errors.Wrap(err, "handshake")
	}
	return newSession(t, remote, conn), nil
}

// handleDialFailure starts the dial backoff and, unless the instance connected
// in the meantime, drops its queued frames and reports it down.
func (t *Transport) handleDialFailure(l *link, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.dialing = false
	l.nextDial = time.Now().Add(l.dialBackoff.NextBackOff())
	t.metrics.dialsFailed.Inc(1)
	if !l.unreachable {
		t.logger.Warn("peer cannot be reached", "peer", l.id, "error", err)
	}
	l.unreachable = true
	if l.current != nil {
		return
	}
	t.dropQueue(l)
	t.liveness.down(l.id)
}

// runSession registers a session, runs it until it ends and removes it.
func (t *Transport) runSession(s *session) {
	l := t.registerSession(s)
	if l == nil {
		s.cancel(errClosed)
		_ = s.conn.CloseNow()
		return
	}
	defer t.activeSessions.Done()
	err := s.run()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	delete(l.sessions, s)
	if l.current == s {
		t.disconnect(l, err)
	}
}
