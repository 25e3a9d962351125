package peer

import (
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Waits between two dials to an instance that cannot be reached.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
)

// link is what the transport knows of one instance. The transport's mutex
// guards it.
type link struct {
	id structs.InstanceID
	// address is where the instance was last resolved to, empty if unknown.
	address string
	// queue holds the frames for current, or for the connection that is
	// being dialed.
	queue *sendQueue
	// current is the session written to, nil if none.
	current  *session
	sessions map[*session]struct{}
	dialing  bool
	// unreachable tells that the last dial failed.
	unreachable bool
	probing     bool
	watched     bool
	// lastHeartbeat is when a heartbeat was answered, or when waiting for one
	// began.
	lastHeartbeat time.Time
	dialBackoff   *backoff.ExponentialBackOff
	// nextDial is the earliest time of the next dial.
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

// resolveLink finds or makes the link to an instance and refreshes its address. It
// runs on the loop's goroutine with the mutex held.
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

// idle tells whether nothing is lost by forgetting the link.
func (l *link) idle(now time.Time) bool {
	return len(l.sessions) == 0 && !l.dialing && !l.probing && !l.watched && now.After(l.nextDial)
}

// dropQueue forgets the frames that wait.
func (t *Transport) dropQueue(l *link) {
	frames, _ := l.queue.size()
	if frames > 0 {
		t.metrics.framesLost.Inc(int64(frames))
	}
	l.queue = t.newQueue()
}

// disconnect ends all sessions of a link for a reason and posts PeerDown. The
// mutex is held.
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

// maxSessionsPerPeer bounds the connections to one instance.
const maxSessionsPerPeer = 4

// registerSession takes an authenticated connection into the link of its instance. It
// returns nil if the transport is closed or there are too many connections.
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
		t.logger.Warn("too many connections to one peer", "peer", l.id)
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
		// The other side may have lost the present connection.
		t.startProbe(l)
	}
	l.dialBackoff.Reset()
	l.unreachable = false
	l.nextDial = time.Time{}
	t.liveness.up(l.id)
	return l
}
