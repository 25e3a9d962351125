package targets

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// wholeChoice is the number of targets up to which a choice looks at each one.
	// Beyond it a choice looks at as many whatever their number is: those that this
	// instance sent to last, to which connections are kept, those that the key ranks
	// first, and some drawn at random, more of them in its data centre.
	wholeChoice = 512
	usedMost    = 16
	keyedMost   = 4
	nearDrawn   = 16
	allDrawn    = 8
)

// service is the targets of one service. The mutex of the Registry guards it.
type service struct {
	all []*Target
	// near are those of this data centre.
	near []*Target
	// ring are all in the order of the hashes of their ids, if sorted is set: thousands
	// come one by one when an instance starts.
	ring   []*Target
	sorted bool
	// used are those that this instance sent to last, the last one first.
	used []*Target
	// told are those with a report of their load that may still be believed.
	told []*Target
	// usable counts those that do not drain, slots their slots.
	usable, slots int
}

// of finds the targets of a service, empty if there is none. The mutex is held.
func (r *Registry) of(name string) *service {
	s := r.byService[name]
	if s == nil {
		s = new(service)
	}
	return s
}

func (s *service) add(t *Target, dataCentre string) {
	t.place = len(s.all)
	s.all = append(s.all, t)
	if t.DataCentre == dataCentre {
		s.near = append(s.near, t)
	}
	s.sorted = false
	s.count(t, 1)
}

func (s *service) remove(t *Target) {
	last := s.all[len(s.all)-1]
	s.all[t.place], last.place = last, t.place
	s.all = s.all[:len(s.all)-1]
	is := func(other *Target) bool { return other == t }
	s.near = slices.DeleteFunc(s.near, is)
	s.used = slices.DeleteFunc(s.used, is)
	s.sorted = false
	s.told = slices.DeleteFunc(s.told, is)
	s.count(t, -1)
}

// count takes a target into the sums, or out of them with -1.
func (s *service) count(t *Target, sign int) {
	if t.Draining {
		return
	}
	s.usable += sign
	s.slots += sign * max(t.Slots, 1)
}

// sort puts the ring in order after targets came or went.
func (s *service) sort() {
	if s.sorted {
		return
	}
	s.ring = append(s.ring[:0], s.all...)
	slices.SortFunc(s.ring, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
	})
	s.sorted = true
}

// use notes that this instance sends to a target.
func (s *service) use(t *Target) {
	if len(s.used) > 0 && s.used[0] == t {
		return
	}
	s.used = slices.DeleteFunc(s.used, func(other *Target) bool { return other == t })
	s.used = slices.Insert(s.used, 0, t)
	s.used = s.used[:min(len(s.used), usedMost)]
}

// candidates are the targets that a choice looks at; keyed tells of a position
// whether the key may rank the target there. The mutex is held.
func (r *Registry) candidates(s *service, want Criteria) (all []*Target, keyed func(i int) bool) {
	if len(s.all) <= wholeChoice {
		return s.all, func(int) bool { return true }
	}
	all = append(make([]*Target, 0, 1+usedMost+keyedMost+nearDrawn+allDrawn), s.ranked(want.Key)...)
	ranked := len(all)
	if last := r.byIncarnation[want.LastIncarnation]; last != nil && last.Service == want.Service {
		all = append(all, last)
	}
	all = append(all, s.used...)
	all = append(all, draw(s.near, nearDrawn)...)
	all = append(all, draw(s.all, allDrawn)...)
	return all, func(i int) bool { return i < ranked }
}

// ranked are the targets behind a key in the ring, which all instances find.
func (s *service) ranked(key string) []*Target {
	if key == "" {
		return nil
	}
	s.sort()
	at, _ := slices.BinarySearchFunc(s.ring, xxhash.Sum64String(key), func(t *Target, key uint64) int {
		return cmp.Compare(t.key, key)
	})
	ranked := make([]*Target, 0, keyedMost)
	for i := range min(keyedMost, len(s.ring)) {
		ranked = append(ranked, s.ring[(at+i)%len(s.ring)])
	}
	return ranked
}

// draw takes some of a list at random.
func draw(all []*Target, most int) []*Target {
	if len(all) <= most {
		return all
	}
	drawn := make([]*Target, most)
	for i := range drawn {
		drawn[i] = all[rand.IntN(len(all))]
	}
	return drawn
}

// tell notes that a target has a new report.
func (s *service) tell(t *Target) {
	if !t.isTold {
		t.isTold = true
		s.told = append(s.told, t)
	}
}

// eachTold visits the targets with a report that is not older than poolLoadAge.
func (s *service) eachTold(now time.Time, visit func(*Target)) {
	s.told = slices.DeleteFunc(s.told, func(t *Target) bool {
		t.isTold = now.Sub(t.loadAt) <= poolLoadAge
		return !t.isTold
	})
	for _, t := range s.told {
		visit(t)
	}
}

// usual are the means of what is known of a service's targets, where speeds are
// learned. The mutex is held.
func (r *Registry) usual(name string) usual {
	if r.works[name] == nil {
		return usual{}
	}
	return usualOf(r.of(name).all)
}
