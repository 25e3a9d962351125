package peer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// Handler returns the HTTP handler that accepts peer connections. Mount it at
// Route.
func (t *Transport) Handler() http.Handler {
	return http.HandlerFunc(t.serve)
}

func (t *Transport) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	closed := t.closed
	if !closed {
		t.wg.Add(1)
	}
	t.mu.Unlock()
	if closed {
		http.Error(w, errClosed.Error(), http.StatusServiceUnavailable)
		return
	}
	defer t.wg.Done()
	if err := t.checkTLS(r); err != nil {
		t.recordRefusal(r, err)
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	s, err := t.accept(w, r)
	if err != nil {
		t.recordRefusal(r, err)
		return
	}
	t.runSession(s)
}

// checkTLS requires a verified client certificate if there is no shared key.
func (t *Transport) checkTLS(r *http.Request) error {
	if len(t.cfg.Key) > 0 {
		return nil
	}
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return errors.New("a verified client certificate is needed")
	}
	return nil
}

// accept upgrades the request to a WebSocket connection and runs the
// handshake.
func (t *Transport) accept(w http.ResponseWriter, r *http.Request) (*session, error) {
	options := websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled}
	recorder := &hijackRecorder{ResponseWriter: w}
	conn, err := websocket.Accept(recorder, r, &options)
	if err != nil {
		return nil, errors.Wrap(err, "upgrade")
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.PeerTimeout)
	defer cancel()
	ctx, end := t.handshakes.begin(ctx)
	defer end()
	remote, err := t.handshaker.accept(ctx, conn)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errTooManyHandshakes) {
			err = cause
		}
		reject(conn, recorder.conn, err)
		return nil, errors.Wrap(err, "handshake")
	}
	return newSession(t, remote, conn), nil
}

// rejectionTimeout bounds the write of a close frame to a peer that is rejected.
const rejectionTimeout = 100 * time.Millisecond

// reject sends the reason for a rejection and closes the connection. It does not wait for
// the closing handshake, since the library would read frames of any length meanwhile.
func reject(conn *websocket.Conn, raw net.Conn, reason error) {
	now := time.Now()
	if raw.SetReadDeadline(now) != nil || raw.SetWriteDeadline(now.Add(rejectionTimeout)) != nil {
		_ = conn.CloseNow() // the peer is rejected
		return
	}
	_ = conn.Close(websocket.StatusPolicyViolation, truncateReason(reason)) // the same
}

// hijackRecorder records the connection that is taken over.
type hijackRecorder struct {
	http.ResponseWriter
	conn net.Conn
}

// Hijack implements http.Hijacker.
func (h *hijackRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffer, err := http.NewResponseController(h.ResponseWriter).Hijack()
	h.conn = conn
	return conn, buffer, err
}

// WriteHeaderNow sends the response to the upgrade if the ResponseWriter buffers it, as that
// of gin does.
func (h *hijackRecorder) WriteHeaderNow() {
	if buffered, ok := h.ResponseWriter.(interface{ WriteHeaderNow() }); ok {
		buffered.WriteHeaderNow()
	}
}

func (t *Transport) recordRefusal(r *http.Request, err error) {
	t.metrics.refused.Inc(1)
	t.logger.Warn("peer connection refused", "remote", r.RemoteAddr, "error", err)
}
