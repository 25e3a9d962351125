package peer

import (
	"math/rand/v2"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// jitterShare is the part of the heartbeat interval that jitter may add.
const jitterShare = 5

// pauseIntervals is the number of heartbeat intervals without a beat after
// which this process itself must have been paused.
const pauseIntervals = 2

// setWatched replaces the set of watched instances and forgets links that are
// not in use. The mutex is held.
func (t *Transport) setWatched(peers []structs.InstanceID) {
	now := time.Now()
	wanted := make(map[structs.InstanceID]bool, len(peers))
	for _, id := range peers {
		if id == t.cfg.Self.ID {
			continue
		}
		wanted[id] = true
		l := t.linkTo(id)
		if l.watched {
			continue
		}
		l.watched = true
		l.lastHeard = now
		if !t.connect(l) {
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

// monitor sends heartbeats to the watched instances until the transport closes.
func (t *Transport) monitor() {
	timer := time.NewTimer(t.heartbeatWait())
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		paused := now.Sub(last) > pauseIntervals*t.cfg.HeartbeatInterval
		last = now
		t.beat(now, paused)
		timer.Reset(t.heartbeatWait())
	}
}

func (t *Transport) heartbeatWait() time.Duration {
	jitter := t.cfg.HeartbeatInterval / jitterShare
	return t.cfg.HeartbeatInterval + rand.N(jitter+1)
}

// beat checks all watched instances. After a pause of this process the silence
// of others proves nothing.
func (t *Transport) beat(now time.Time, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if !l.watched {
			continue
		}
		if paused {
			l.lastHeard = now
		}
		t.beatLink(l, now)
	}
}

func (t *Transport) beatLink(l *link, now time.Time) {
	if l.current == nil {
		t.connect(l)
		return
	}
	if l.current.delivering.Load() {
		// The answer waits behind messages that this loop has not taken.
		l.lastHeard = now
	}
	if now.Sub(l.lastHeard) > t.cfg.PeerTimeout {
		t.breakLink(l, errSilent)
		return
	}
	l.current.ping()
}

// heard notes a heartbeat that came back.
func (t *Transport) heard(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[s.remote.ID]; l != nil && l.current == s {
		l.lastHeard = time.Now()
	}
}
