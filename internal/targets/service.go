package targets

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFullScan is the number of targets up to which a choice looks at each one.
	// Beyond it a choice looks at as many whatever their number is: those that this
	// instance sent to last, to which connections are kept, those that the key ranks
	// first, and some drawn at random, more of them in its data centre.
	maxFullScan  = 512
	maxRecent    = 16
	maxKeyed     = 4
	localSample  = 16
	globalSample = 8
)

// service is the targets of one service. The mutex of the Registry guards it.
type service struct {
	all []*Target
	// local are those of this data centre.
	local []*Target
	// ring are all in the order of the hashes of their ids, if sorted is set: thousands
	// come one by one when an instance starts.
	ring   []*Target
	sorted bool
	// recent are those that this instance sent to last, the last one first.
	recent []*Target
	// reporting are those with a report of their load that may still be believed.
	reporting []*Target
	// usable counts those that do not drain, slots their slots.
	usable, slots int
}

// serviceByName finds the targets of a service, empty if there is none. The mutex is held.
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
}

// adjustTotals takes a target into the sums, or out of them with -1.
func (s *service) adjustTotals(t *Target, sign int) {
	if t.Draining {
		return
	}
	s.usable += sign
	s.slots += sign * max(t.Slots, 1)
}

// sortRing puts the ring in order after targets came or went.
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

// markUsed notes that this instance sends to a target.
func (s *service) markUsed(t *Target) {
	if len(s.recent) > 0 && s.recent[0] == t {
		return
	}
	s.recent = slices.DeleteFunc(s.recent, func(other *Target) bool { return other == t })
	s.recent = slices.Insert(s.recent, 0, t)
	s.recent = s.recent[:min(len(s.recent), maxRecent)]
}

// candidates are the targets that a choice looks at; keyed tells of a position
// whether the key may rank the target there. The mutex is held.
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

// ranked are the targets behind a key in the ring, which all instances find.
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

// sample takes some of a list at random.
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

// markReporting notes that a target has a new report.
func (s *service) markReporting(t *Target) {
	if !t.hasReport {
		t.hasReport = true
		s.reporting = append(s.reporting, t)
	}
}

// forEachReporting visits the targets with a report that is not older than maxPoolReportAge.
func (s *service) forEachReporting(now time.Time, visit func(*Target)) {
	s.reporting = slices.DeleteFunc(s.reporting, func(t *Target) bool {
		t.hasReport = now.Sub(t.loadAt) <= maxPoolReportAge
		return !t.hasReport
	})
	for _, t := range s.reporting {
		visit(t)
	}
}

// means are the means of what is known of a service's targets, where speeds are
// learned. The mutex is held.
func (r *Registry) means(name string) serviceMeans {
	if r.models[name] == nil {
		return serviceMeans{}
	}
	return meansOf(r.serviceByName(name).all)
}
