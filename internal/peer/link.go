package peer

import (
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Bounds of the backoff between dials to an unreachable instance.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
)

// link is the connection state of one instance. It is guarded by the mutex of
// the Transport.
type link struct {
	id structs.InstanceID
	// address is the last resolved address, empty if unknown.
	address string
	// queue holds the frames for current or for the dial in progress.
	queue *sendQueue
	// current is the session that messages are sent on, nil if there is none.
	current  *session
	sessions map[*session]struct{}
	dialing  bool
	// unreachable is true if the last dial failed.
	unreachable bool
	probing     bool
	watched     bool
	// lastHeartbeat is when the last pong was received, or when monitoring
	// started or resumed.
	lastHeartbeat time.Time
	dialBackoff   *backoff.ExponentialBackOff
	// nextDial is when the dial backoff expires.
	nextDial time.Time
}

func (t *Transport) newLink(id structs.InstanceID) *link {
	dialBackoff := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(minDialBackoff),
		backoff.WithMaxInterval(maxDialBackoff),
		backoff.WithMaxElapsedTime(0),
	)
	return &link{
		id:          id,
		queue:       t.newQueue(),
		sessions:    make(map[*session]struct{}),
		dialBackoff: dialBackoff,
	}
}

func (t *Transport) newQueue() *sendQueue {
	return newSendQueue(t.cfg.MaxQueuedFrames, t.cfg.MaxQueuedBytes)
}

// resolveLink returns the link to an instance with its current address. It must
// be called on the event loop's goroutine with t.mu held.
func (t *Transport) resolveLink(id structs.InstanceID) *link {
	l := t.getOrCreateLink(id)
	if peer, ok := t.resolve(id); ok {
		l.address = peer.Address
	}
	return l
}

func (t *Transport) getOrCreateLink(id structs.InstanceID) *link {
	l, ok := t.links[id]
	if !ok {
		l = t.newLink(id)
		t.links[id] = l
	}
	return l
}

// idle reports whether the link can be removed without losing state.
func (l *link) idle(now time.Time) bool {
	return len(l.sessions) == 0 && !l.dialing && !l.probing && !l.watched && now.After(l.nextDial)
}

// dropQueue discards the queued frames and counts them as lost.
func (t *Transport) dropQueue(l *link) {
	frames, _ := l.queue.size()
	if frames > 0 {
		t.metrics.framesLost.Inc(int64(frames))
	}
	l.queue = t.newQueue()
}

// disconnect closes all sessions of a link and posts PeerDown. t.mu must be
// held.
func (t *Transport) disconnect(l *link, reason error) {
	for s := range l.sessions {
		s.cancel(reason)
	}
	clear(l.sessions)
	l.current = nil
	t.dropQueue(l)
	t.liveness.down(l.id)
	t.metrics.broken.Inc(1)
	t.logger.Warn("peer connection broken", "peer", l.id, "error", reason)
}

// maxSessionsPerPeer bounds the connections to one instance in both directions.
const maxSessionsPerPeer = 4

// registerSession adds an authenticated session to the link of its instance. It
// returns nil if the transport is closed or there are too many sessions.
func (t *Transport) registerSession(s *session) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	l := t.getOrCreateLink(s.remote.ID)
	if s.dialed {
		l.dialing = false
	}
	if old := l.current; old != nil && old.remote.Incarnation != s.remote.Incarnation {
		t.disconnect(l, errNewIncarnation)
	}
	if len(l.sessions) >= maxSessionsPerPeer {
		t.logger.Warn("too many connections to peer", "peer", l.id)
		t.startProbe(l)
		return nil
	}
	t.activeSessions.Add(1)
	l.sessions[s] = struct{}{}
	if l.current == nil {
		l.current = s
		s.queue = l.queue
		l.lastHeartbeat = time.Now()
	} else {
		s.queue = t.newQueue()
		// The peer may have dialed because it lost the current session.
		t.startProbe(l)
	}
	l.dialBackoff.Reset()
	l.unreachable = false
	l.nextDial = time.Time{}
	t.liveness.up(l.id)
	return l
}
