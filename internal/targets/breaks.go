package targets

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// A target that is down breaks each connection at once and looks idle, so that
// it draws requests from each instance that does not know yet. Instances tell
// each other of such targets.

const (
	// heardFor is how long a target is avoided after it broke a connection of
	// another instance: shorter than the time until the registration of a dead
	// target lapses, and long enough that few requests try one that stays down.
	heardFor = time.Second
	// heardShare is the most of a service's targets that are avoided on the
	// word of others, so that a mistaken word cannot empty a service.
	heardShare = 1.0 / 3
	// noticeInterval is the least time between two notices of one target by
	// one instance: its word counts for heardFor anyway.
	noticeInterval = 200 * time.Millisecond
)

// RecordBreak notes that a target broke a new connection at once. It tells whether
// other instances should hear of it now.
func (r *Registry) RecordBreak(t *Target, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byIncarnation[t.incarnation] != t {
		return false // it has been replaced meanwhile
	}
	t.brokeAt = now
	r.broken[t.incarnation] = t
	if now.Sub(t.noticedAt) < noticeInterval {
		return false
	}
	t.noticedAt = now
	return true
}

// Breaks lists the targets that broke connections lately, here or elsewhere.
func (r *Registry) Breaks(now time.Time) []structs.TargetFailure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) == 0 {
		return nil
	}
	var breaks []structs.TargetFailure
	for incarnation, t := range r.broken {
		age := now.Sub(t.brokeAt)
		if age >= heardFor || r.byIncarnation[incarnation] != t {
			delete(r.broken, incarnation)
			continue
		}
		breaks = append(breaks, structs.TargetFailure{Target: incarnation, Age: age})
	}
	return breaks
}

// MergeBreaks takes another instance's word on targets. What this instance has seen
// itself since then counts more; what was said of an earlier start says nothing.
func (r *Registry) MergeBreaks(breaks []structs.TargetFailure, now time.Time) {
	if len(breaks) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range breaks {
		t, ok := r.byIncarnation[b.Target]
		at := now.Add(-b.Age)
		if !ok || b.Age >= heardFor || !at.After(t.brokeAt) || t.provenAt.After(at) {
			continue
		}
		if !now.Before(t.heardUntil) && r.heardAt(t.Service, now)+1 > int(heardShare*float64(len(r.of(t.Service).all))) {
			continue
		}
		t.brokeAt, t.heardUntil = at, at.Add(heardFor)
		r.broken[t.incarnation] = t
	}
}

// heardAt counts the targets of a service that are avoided on the word of
// others. The mutex is held.
func (r *Registry) heardAt(service string, now time.Time) int {
	n := 0
	for _, t := range r.of(service).all {
		if now.Before(t.heardUntil) {
			n++
		}
	}
	return n
}
