package peer

import (
	"context"
	"net/http"

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
	conn, err := websocket.Accept(w, r, &options)
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
		_ = conn.Close(websocket.StatusPolicyViolation, truncateReason(err))
		return nil, errors.Wrap(err, "handshake")
	}
	return newSession(t, remote, conn), nil
}

func (t *Transport) recordRefusal(r *http.Request, err error) {
	t.metrics.refused.Inc(1)
	t.logger.Warn("peer connection refused", "remote", r.RemoteAddr, "error", err)
}
