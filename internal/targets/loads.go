package targets

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// With many instances each one seldom sends to a given target, so its own reports
// are old when they are needed. Instances pass reports on to the owners of
// budgets, and these to all that ask them for room.

const (
	// ownLoadsMost and loadsMost bound the reports of one message, in both
	// directions.
	ownLoadsMost = 3
	loadsMost    = 8
	// shareableAge is how old a report may be to be passed on.
	shareableAge = time.Second
	// poolLoadAge is how old reports may be that tell of a service as a whole.
	poolLoadAge = 1500 * time.Millisecond
	// poolHalfLife is the age at which a report counts half in a service's load.
	// Who decides on older ones acts too late, and loads swing.
	poolHalfLife = 100 * time.Millisecond
)

// pool is the mean load of a service's targets, newer reports counting more: what
// to expect of one that nothing is known of.
func (r *Registry) pool(service string, now time.Time) Pool {
	s := r.of(service)
	pool := Pool{Usable: s.usable}
	slots, busy, ages := 0.0, 0.0, 0.0
	s.eachTold(now, func(t *Target) {
		if t.Draining {
			return
		}
		age := now.Sub(t.loadAt)
		weight := float64(max(t.Slots, 1)) * math.Exp2(-float64(age)/float64(poolHalfLife))
		pool.Reporting++
		slots += weight
		busy += weight * float64(t.load.Running+t.load.Waiting) / float64(max(t.Slots, 1))
		ages += weight * float64(age)
	})
	if slots > 0 {
		pool.Utilization = busy / slots
		pool.ReportAge = time.Duration(ages / slots)
	}
	return pool
}

// OwnLoadReports are the newest reports that targets gave this instance.
func (r *Registry) OwnLoadReports(now time.Time) []structs.TargetReport {
	return r.shareable(now, ownLoadsMost, func(t *Target) bool { return !t.heard })
}

// LoadReports are some new reports that this instance knows, whoever heard them.
func (r *Registry) LoadReports(now time.Time) []structs.TargetReport {
	return r.shareable(now, loadsMost, func(*Target) bool { return true })
}

// shareable lists reports to pass on: the newest ones, which tell the load of now,
// and as many others, so that over some messages each is told.
func (r *Registry) shareable(now time.Time, most int, tell func(*Target) bool) []structs.TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest []*Target
	for _, s := range r.byService {
		s.eachTold(now, func(t *Target) {
			if now.Sub(t.loadAt) <= shareableAge && tell(t) {
				newest = append(newest, t)
			}
		})
	}
	slices.SortFunc(newest, func(a, b *Target) int {
		return cmp.Or(b.loadAt.Compare(a.loadAt), cmp.Compare(a.place, b.place))
	})
	most = min(most, len(newest))
	others := newest[(most+1)/2:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var loads []structs.TargetReport
	for _, t := range newest[:most] {
		loads = append(loads, t.report(r.usual(t.Service), now))
	}
	return loads
}

// MergeLoadReports takes reports that other instances were given, where they are newer
// than what is known here.
func (r *Registry) MergeLoadReports(loads []structs.TargetReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		t, ok := r.byHash[l.Target]
		if !ok {
			continue
		}
		r.hearSpeed(t, l, now)
		at := now.Add(-max(l.Age, 0))
		if l.Running < 0 || l.Waiting < 0 || l.Slowdown < 0 || !at.After(t.loadAt) {
			continue
		}
		r.setLoad(t, call.Load{Running: l.Running, Waiting: l.Waiting, Slots: t.Slots, Pace: l.Slowdown}, at)
		t.heard = true
	}
}

// setLoad takes a report of a time. The mutex is held.
func (r *Registry) setLoad(t *Target, load call.Load, at time.Time) {
	fill := float64(load.Running+load.Waiting) / float64(max(t.Slots, 1))
	t.usualFill = policy.SmoothUtilization(t.usualFill, fill, t.loadAt.IsZero())
	t.load, t.loadAt, t.inFlightAtLoad = load, at, t.inFlight
	if s := r.byService[t.Service]; r.byID[t.ID] == t {
		s.tell(t)
	}
	if load.Pace > 0 {
		r.work(t.Service)
		t.standing.Add(load.Pace)
	}
}
