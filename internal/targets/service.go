package targets

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFullScan is the number of targets up to which each selection considers all of
	// them. Beyond it, a selection considers at most maxRecent targets that this
	// instance used last, maxKeyed that the key ranks first, and random samples of the
	// local and of all targets.
	maxFullScan  = 512
	maxRecent    = 16
	maxKeyed     = 4
	localSample  = 16
	globalSample = 8
)

// service holds the targets of one service. The mutex of the Registry guards it.
type service struct {
	all []*Target
	// local are the targets in this data centre.
	local []*Target
	// ring holds all targets sorted by idHash if sorted is set. It is sorted lazily,
	// since thousands of targets are added one by one when an instance starts.
	ring   []*Target
	sorted bool
	// recent are the targets that this instance last used, most recent first.
	recent []*Target
	// reporting are the targets with a recent load report.
	reporting []*Target
	// usable counts the targets that are not draining, slots their slots.
	usable, slots int
	versions      versionCounts
}

// serviceByName returns a service, empty if unknown. The mutex must be held.
func (r *Registry) serviceByName(name string) *service {
	s := r.byService[name]
	if s == nil {
		s = new(service)
	}
	return s
}

func (s *service) add(t *Target, dataCentre string) {
	t.index = len(s.all)
	s.all = append(s.all, t)
	if t.DataCentre == dataCentre {
		s.local = append(s.local, t)
	}
	s.sorted = false
	s.adjustTotals(t, 1)
	s.versions.add(t.Version, 1, time.Now())
}

func (s *service) remove(t *Target) {
	last := s.all[len(s.all)-1]
	s.all[t.index], last.index = last, t.index
	s.all = s.all[:len(s.all)-1]
	isTarget := func(other *Target) bool { return other == t }
	s.local = slices.DeleteFunc(s.local, isTarget)
	s.recent = slices.DeleteFunc(s.recent, isTarget)
	s.sorted = false
	s.reporting = slices.DeleteFunc(s.reporting, isTarget)
	s.adjustTotals(t, -1)
	s.versions.add(t.Version, -1, time.Now())
}

// adjustTotals adds a target to the totals (sign 1) or removes it (sign -1).
func (s *service) adjustTotals(t *Target, sign int) {
	if t.Draining {
		return
	}
	s.usable += sign
	s.slots += sign * max(t.Slots, 1)
}

// sortRing sorts the ring if targets were added or removed.
func (s *service) sortRing() {
	if s.sorted {
		return
	}
	s.ring = append(s.ring[:0], s.all...)
	slices.SortFunc(s.ring, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(a.idHash, b.idHash), cmp.Compare(a.ID, b.ID))
	})
	s.sorted = true
}

// markUsed moves a target to the front of recent.
func (s *service) markUsed(t *Target) {
	if len(s.recent) > 0 && s.recent[0] == t {
		return
	}
	s.recent = slices.DeleteFunc(s.recent, func(other *Target) bool { return other == t })
	s.recent = slices.Insert(s.recent, 0, t)
	s.recent = s.recent[:min(len(s.recent), maxRecent)]
}

// candidates returns the targets that a selection considers. keyed reports whether
// the key may rank the target at an index. The mutex must be held.
func (r *Registry) candidates(s *service, criteria Criteria) (all []*Target, keyed func(i int) bool) {
	if len(s.all) <= maxFullScan {
		return s.all, func(int) bool { return true }
	}
	all = append(make([]*Target, 0, 1+maxRecent+maxKeyed+localSample+globalSample), s.ranked(criteria.Key)...)
	ranked := len(all)
	if last := r.byIncarnation[criteria.LastIncarnation]; last != nil && last.Service == criteria.Service {
		all = append(all, last)
	}
	all = append(all, s.recent...)
	all = append(all, sample(s.local, localSample)...)
	all = append(all, sample(s.all, globalSample)...)
	return all, func(i int) bool { return i < ranked }
}

// ranked returns the first targets behind the key's hash in the ring, on which all
// instances agree.
func (s *service) ranked(key string) []*Target {
	if key == "" {
		return nil
	}
	s.sortRing()
	at, _ := slices.BinarySearchFunc(s.ring, xxhash.Sum64String(key), func(t *Target, key uint64) int {
		return cmp.Compare(t.idHash, key)
	})
	ranked := make([]*Target, 0, maxKeyed)
	for i := range min(maxKeyed, len(s.ring)) {
		ranked = append(ranked, s.ring[(at+i)%len(s.ring)])
	}
	return ranked
}

// sample returns n random elements, possibly repeated, or all if there are no more
// than n.
func sample(all []*Target, n int) []*Target {
	if len(all) <= n {
		return all
	}
	sampled := make([]*Target, n)
	for i := range sampled {
		sampled[i] = all[rand.IntN(len(all))]
	}
	return sampled
}

// markReporting records that a target has a new report.
func (s *service) markReporting(t *Target) {
	if !t.hasReport {
		t.hasReport = true
		s.reporting = append(s.reporting, t)
	}
}

// forEachReporting visits the targets with a report that is not older than
// maxPoolReportAge, and drops the others from reporting.
func (s *service) forEachReporting(now time.Time, visit func(*Target)) {
	s.reporting = slices.DeleteFunc(s.reporting, func(t *Target) bool {
		t.hasReport = now.Sub(t.loadAt) <= maxPoolReportAge
		return !t.hasReport
	})
	for _, t := range s.reporting {
		visit(t)
	}
}

// means returns the mean unit time and pace of a service's targets; zero if speeds are
// not learned. The mutex must be held.
func (r *Registry) means(name string) serviceMeans {
	if r.models[name] == nil {
		return serviceMeans{}
	}
	return meansOf(r.serviceByName(name).all)
}
