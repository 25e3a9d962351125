package targets

import "time"

// A request under which targets have ended may end the next one, too, together with all
// requests that run there.

// IsolationThreshold is the number of ended targets from which a request should have its
// target to itself. A request that shared one target with the cause of its end seldom
// shares a second one.
const IsolationThreshold = 2

// chooseIsolated selects a target for a request that may end it: the less busy of the two
// that the work ranks first. The requests of a target that ended thereby spread out, and
// few of them meet the cause again. Targets with other such requests of this instance
// come last. The mutex must be held.
func (r *Registry) chooseIsolated(all []*Target, criteria Criteria, now time.Time) *Target {
	var first, second *Target
	for _, t := range all {
		switch {
		case !criteria.allows(t) || t.failing(now):
		case first == nil || t.before(first, criteria.Work):
			first, second = t, first
		case second == nil || t.before(second, criteria.Work):
			second = t
		}
	}
	if second != nil && second.isolated == first.isolated && second.busy(now) < first.busy(now) {
		return second
	}
	return first
}

// before reports whether a target precedes another one for suspected work.
func (t *Target) before(other *Target, work string) bool {
	if t.isolated != other.isolated {
		return t.isolated < other.isolated
	}
	return rank(work, t.ID) > rank(work, other.ID)
}

// BeginIsolation makes other requests of this instance avoid a target. The caller must
// call EndIsolation.
func (r *Registry) BeginIsolation(t *Target) { r.addIsolated(t, 1) }

// EndIsolation ends what BeginIsolation began.
func (r *Registry) EndIsolation(t *Target) { r.addIsolated(t, -1) }

func (r *Registry) addIsolated(t *Target, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.isolated += change
}
