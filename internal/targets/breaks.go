package targets

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// A target that is down breaks each new connection and appears idle, so it attracts
// requests from every instance that has not yet seen it fail. Instances notify each
// other of such targets.

const (
	// peerAvoidance is how long a target is avoided after it broke a connection of
	// another instance. It is shorter than the time until the registration of a dead
	// target expires.
	peerAvoidance = time.Second
	// maxPeerAvoidedFraction limits the targets of a service that are avoided on other
	// instances' reports, so that false reports cannot disable a service.
	maxPeerAvoidedFraction = 1.0 / 3
	// minNoticeInterval is the minimum time between two notifications of one target by
	// this instance.
	minNoticeInterval = 200 * time.Millisecond
)

// RecordBreak records that a target broke a new connection. It reports whether
// other instances should be notified now.
func (r *Registry) RecordBreak(t *Target, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byIncarnation[t.incarnation] != t {
		return false // replaced by a later incarnation
	}
	t.lastBreakAt = now
	r.broken[t.incarnation] = t
	if now.Sub(t.lastNoticeAt) < minNoticeInterval {
		return false
	}
	t.lastNoticeAt = now
	return true
}

// TargetFailures returns the targets that recently broke connections of this or other
// instances.
func (r *Registry) TargetFailures(now time.Time) []structs.TargetFailure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) == 0 {
		return nil
	}
	var breaks []structs.TargetFailure
	for incarnation, t := range r.broken {
		age := now.Sub(t.lastBreakAt)
		if age >= peerAvoidance || r.byIncarnation[incarnation] != t {
			delete(r.broken, incarnation)
			continue
		}
		breaks = append(breaks, structs.TargetFailure{Target: incarnation, Age: age})
	}
	return breaks
}

// MergeTargetFailures applies another instance's report of broken connections. Later
// observations of this instance take precedence, and reports of other incarnations
// are ignored.
func (r *Registry) MergeTargetFailures(breaks []structs.TargetFailure, now time.Time) {
	if len(breaks) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range breaks {
		t, ok := r.byIncarnation[b.Target]
		at := now.Add(-b.Age)
		if !ok || b.Age >= peerAvoidance || !at.After(t.lastBreakAt) || t.lastSuccessAt.After(at) {
			continue
		}
		if !now.Before(t.peerAvoidUntil) && r.peerAvoidedCount(t.Service, now)+1 > int(maxPeerAvoidedFraction*float64(len(r.serviceByName(t.Service).all))) {
			continue
		}
		t.lastBreakAt, t.peerAvoidUntil = at, at.Add(peerAvoidance)
		r.broken[t.incarnation] = t
	}
}

// peerAvoidedCount counts the targets of a service that are avoided on other
// instances' reports. The mutex must be held.
func (r *Registry) peerAvoidedCount(service string, now time.Time) int {
	n := 0
	for _, t := range r.serviceByName(service).all {
		if now.Before(t.peerAvoidUntil) {
			n++
		}
	}
	return n
}
