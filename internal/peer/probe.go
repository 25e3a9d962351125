package peer

import "time"

// startProbe probes an instance unless a probe is in progress. If there is no
// connection, the result of a dial serves as the result of the probe. t.mu must
// be held.
func (t *Transport) startProbe(l *link) {
	if l.probing {
		return
	}
	if l.current == nil {
		if !t.ensureConnected(l) {
			t.liveness.down(l.id)
		}
		return
	}
	s := l.current
	l.probing = t.spawn(func() { t.probe(l, s) })
}

// probe waits for a heartbeat on a session and reports the result.
func (t *Transport) probe(l *link, s *session) {
	alive := t.awaitHeartbeat(s)
	t.mu.Lock()
	defer t.mu.Unlock()
	l.probing = false
	switch {
	case t.closed:
	case alive:
		t.liveness.up(l.id)
	case l.current == s:
		t.disconnect(l, errHeartbeatTimeout)
	case l.current == nil:
		t.liveness.down(l.id)
	}
}

// awaitHeartbeat sends a ping and reports whether its pong was received within
// the liveness timeout. The timeout restarts if this process was paused.
func (t *Transport) awaitHeartbeat(s *session) bool {
	pong := s.ping()
	started := time.Now()
	timer := time.NewTimer(t.cfg.PeerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-pong:
			return true
		case <-s.ctx.Done():
			return false
		case <-timer.C:
		}
		now := time.Now()
		if now.Sub(started) <= pauseFactor*t.cfg.PeerTimeout {
			return s.delivering.Load()
		}
		started = now
		timer.Reset(t.cfg.PeerTimeout)
	}
}
