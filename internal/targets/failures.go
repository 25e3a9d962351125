package targets

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// A target that is down closes each new connection and appears idle, so it attracts
// requests from every instance that has not yet seen it fail. Instances notify each
// other of such failures, and of those of turns.

const (
	// peerAvoidance is how long a target is avoided after it failed for another
	// instance. It is shorter than the time until the registration of a dead target
	// expires, and long enough that few requests try one that stays down.
	peerAvoidance = time.Second
	// maxPeerAvoidedFraction limits the targets of a service that are avoided on other
	// instances' reports, so that false reports cannot disable a service.
	maxPeerAvoidedFraction = 1.0 / 3
	// minNoticeInterval is the minimum time between two notifications of one target by
	// this instance.
	minNoticeInterval = 200 * time.Millisecond
)

// RecordSharedFailure records a failure that other instances are to be notified of: the
// target closed a new connection or failed a turn. It reports whether to notify them
// now.
func (r *Registry) RecordSharedFailure(t *Target, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byIncarnation[t.incarnation] != t {
		return false // replaced by a later incarnation
	}
	t.lastSharedFailureAt = now
	r.recentlyFailed[t.incarnation] = t
	if now.Sub(t.lastNoticeAt) < minNoticeInterval {
		return false
	}
	t.lastNoticeAt = now
	return true
}

// TargetFailures returns the targets that recently failed for this or other instances.
func (r *Registry) TargetFailures(now time.Time) []structs.TargetFailure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recentlyFailed) == 0 {
		return nil
	}
	var failures []structs.TargetFailure
	for incarnation, t := range r.recentlyFailed {
		age := now.Sub(t.lastSharedFailureAt)
		if age >= peerAvoidance || r.byIncarnation[incarnation] != t {
			delete(r.recentlyFailed, incarnation)
			continue
		}
		failures = append(failures, structs.TargetFailure{Target: incarnation, Age: age})
	}
	return failures
}

// MergeTargetFailures applies another instance's report of target failures. Later
// observations of this instance take precedence, and reports of other incarnations
// are ignored.
func (r *Registry) MergeTargetFailures(failures []structs.TargetFailure, now time.Time) {
	if len(failures) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range failures {
		t, ok := r.byIncarnation[f.Target]
		at := now.Add(-f.Age)
		if !ok || f.Age >= peerAvoidance || !at.After(t.lastSharedFailureAt) || t.lastSuccessAt.After(at) {
			continue
		}
		if !now.Before(t.peerAvoidUntil) && r.peerAvoidedCount(t.Service, now)+1 > int(maxPeerAvoidedFraction*float64(len(r.serviceByName(t.Service).all))) {
			continue
		}
		t.lastSharedFailureAt, t.peerAvoidUntil = at, at.Add(peerAvoidance)
		r.recentlyFailed[t.incarnation] = t
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
