package peer

import (
	"math/rand/v2"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// jitterDivisor bounds the jitter to 1/jitterDivisor of the heartbeat interval.
const jitterDivisor = 5

// pauseFactor is how many times longer than expected a timer may take before
// this process is assumed to have been paused.
const pauseFactor = 2

// setWatched replaces the set of watched instances and removes idle links. t.mu
// must be held.
func (t *Transport) setWatched(peers []structs.InstanceID) {
	now := time.Now()
	wanted := make(map[structs.InstanceID]bool, len(peers))
	for _, id := range peers {
		if id == t.cfg.Self.ID {
			continue
		}
		wanted[id] = true
		l := t.resolveLink(id)
		if l.watched {
			continue
		}
		l.watched = true
		l.lastHeartbeat = now
		if !t.ensureConnected(l) {
			t.liveness.down(id)
		}
	}
	for id, l := range t.links {
		l.watched = wanted[id]
		if l.idle(now) {
			delete(t.links, id)
		}
	}
}

// runHeartbeats checks the watched instances periodically until the transport
// closes.
func (t *Transport) runHeartbeats() {
	timer := time.NewTimer(t.nextHeartbeatInterval())
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		paused := now.Sub(last) > pauseFactor*t.cfg.HeartbeatInterval
		last = now
		t.checkHeartbeats(now, paused)
		timer.Reset(t.nextHeartbeatInterval())
	}
}

func (t *Transport) nextHeartbeatInterval() time.Duration {
	jitter := t.cfg.HeartbeatInterval / jitterDivisor
	return t.cfg.HeartbeatInterval + rand.N(jitter+1)
}

// checkHeartbeats checks all watched instances. After a pause of this process
// missing heartbeats do not count, since none were received in the meantime.
func (t *Transport) checkHeartbeats(now time.Time, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if !l.watched {
			continue
		}
		if paused {
			l.lastHeartbeat = now
		}
		t.checkHeartbeat(l, now)
	}
}

func (t *Transport) checkHeartbeat(l *link, now time.Time) {
	if l.current == nil {
		t.ensureConnected(l)
		return
	}
	if l.current.delivering.Load() {
		// The pong may be behind messages that the event loop has not accepted.
		l.lastHeartbeat = now
	}
	if now.Sub(l.lastHeartbeat) > t.cfg.PeerTimeout {
		t.disconnect(l, errHeartbeatTimeout)
		return
	}
	l.current.ping()
}

// recordHeartbeat records a pong received on a session.
func (t *Transport) recordHeartbeat(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[s.remote.ID]; l != nil && l.current == s {
		l.lastHeartbeat = time.Now()
	}
}
