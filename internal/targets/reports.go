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
	// maxOwnReports and maxReports bound the reports of one message, in both
	// directions.
	maxOwnReports = 3
	maxReports    = 8
	// maxSharedReportAge is how old a report may be to be passed on.
	maxSharedReportAge = time.Second
	// maxPoolReportAge is how old reports may be that tell of a service as a whole.
	maxPoolReportAge = 1500 * time.Millisecond
	// poolReportHalfLife is the age at which a report counts half in a service's load.
	// Who decides on older ones acts too late, and loads swing.
	poolReportHalfLife = 100 * time.Millisecond
)

// recentPool is the mean load of a service's targets, newer reports counting more: what
// to expect of one that nothing is known of.
func (r *Registry) recentPool(service string, now time.Time) Pool {
	s := r.serviceByName(service)
	pool := Pool{Usable: s.usable}
	slots, busy, ages := 0.0, 0.0, 0.0
	s.forEachReporting(now, func(t *Target) {
		if t.Draining {
			return
		}
		age := now.Sub(t.loadAt)
		weight := float64(max(t.Slots, 1)) * math.Exp2(-float64(age)/float64(poolReportHalfLife))
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
	return r.shareableReports(now, maxOwnReports, func(t *Target) bool { return !t.relayed })
}

// LoadReports are some new reports that this instance knows, whoever heard them.
func (r *Registry) LoadReports(now time.Time) []structs.TargetReport {
	return r.shareableReports(now, maxReports, func(*Target) bool { return true })
}

// shareableReports lists reports to pass on: the newest ones, which tell the load of now,
// and as many others, so that over some messages each is told.
func (r *Registry) shareableReports(now time.Time, limit int, include func(*Target) bool) []structs.TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*Target
	for _, s := range r.byService {
		s.forEachReporting(now, func(t *Target) {
			if now.Sub(t.loadAt) <= maxSharedReportAge && include(t) {
				candidates = append(candidates, t)
			}
		})
	}
	slices.SortFunc(candidates, func(a, b *Target) int {
		return cmp.Or(b.loadAt.Compare(a.loadAt), cmp.Compare(a.index, b.index))
	})
	limit = min(limit, len(candidates))
	others := candidates[(limit+1)/2:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var loads []structs.TargetReport
	for _, t := range candidates[:limit] {
		loads = append(loads, t.report(r.means(t.Service), now))
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
		r.mergeSpeed(t, l, now)
		at := now.Add(-max(l.Age, 0))
		if l.Running < 0 || l.Waiting < 0 || l.Pace < 0 || !at.After(t.loadAt) {
			continue
		}
		r.setLoad(t, call.Load{Running: l.Running, Waiting: l.Waiting, Slots: t.Slots, Pace: l.Pace}, at)
		t.relayed = true
	}
}

// setLoad takes a report of a time. The mutex is held.
func (r *Registry) setLoad(t *Target, load call.Load, at time.Time) {
	utilization := float64(load.Running+load.Waiting) / float64(max(t.Slots, 1))
	t.meanUtilization = policy.TrendFill(t.meanUtilization, utilization, t.loadAt.IsZero())
	t.load, t.loadAt, t.inFlightAtLoad = load, at, t.inFlight
	if s := r.byService[t.Service]; r.byID[t.ID] == t {
		s.markReporting(t)
	}
	if load.Pace > 0 {
		r.model(t.Service)
		t.pace.Add(load.Pace)
	}
}
