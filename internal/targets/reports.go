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

// With many instances, each one rarely sends to a given target, so the reports that it
// receives itself are outdated when it needs them. Instances forward reports to the
// budget owners, which return them to all instances that request admission.

const (
	// maxOwnReports and maxReports limit the reports in a message, to and from budget
	// owners.
	maxOwnReports = 3
	maxReports    = 8
	// maxSharedReportAge is the age up to which a report is forwarded.
	maxSharedReportAge = time.Second
	// maxPoolReportAge is the age up to which a report is used for the load of a
	// service.
	maxPoolReportAge = 1500 * time.Millisecond
	// poolReportHalfLife is the age at which a report has half its weight in the load
	// of a service. With a long half-life, selections react late and the load
	// oscillates.
	poolReportHalfLife = 100 * time.Millisecond
)

// recentPool returns the mean load of a service's targets, weighted towards newer
// reports. It is the estimate for targets without a report. The mutex must be held.
func (r *Registry) recentPool(service string, now time.Time) Pool {
	s := r.serviceByName(service)
	pool := Pool{UsableTargets: s.usable}
	slots, busy, ages := 0.0, 0.0, 0.0
	s.forEachReporting(now, func(t *Target) {
		if t.Draining {
			return
		}
		age := now.Sub(t.loadAt)
		weight := float64(max(t.Slots, 1)) * math.Exp2(-float64(age)/float64(poolReportHalfLife))
		pool.ReportingTargets++
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

// OwnLoadReports returns recent reports that this instance received from targets.
func (r *Registry) OwnLoadReports(now time.Time) []structs.TargetReport {
	return r.shareableReports(now, maxOwnReports, func(t *Target) bool { return !t.relayed })
}

// LoadReports returns recent reports, including those relayed by other instances.
func (r *Registry) LoadReports(now time.Time) []structs.TargetReport {
	return r.shareableReports(now, maxReports, func(*Target) bool { return true })
}

// shareableReports returns up to limit reports: half are the newest ones, the
// others a random sample, so that successive messages cover all targets.
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

// MergeLoadReports applies load reports relayed by another instance, ignoring those
// that are older than what is known here.
func (r *Registry) MergeLoadReports(loads []structs.TargetReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		t, ok := r.byHash[l.Target]
		if !ok {
			continue
		}
		r.mergeUnitTime(t, l, now)
		at := now.Add(-max(l.Age, 0))
		if l.Running < 0 || l.Waiting < 0 || l.Slowdown < 0 || !at.After(t.loadAt) {
			continue
		}
		r.setLoad(t, call.Load{Running: l.Running, Waiting: l.Waiting, Slots: t.Slots, Pace: l.Slowdown}, at)
		t.relayed = true
	}
}

// setLoad stores a load report received at a given time. The mutex must be held.
func (r *Registry) setLoad(t *Target, load call.Load, at time.Time) {
	utilization := float64(load.Running+load.Waiting) / float64(max(t.Slots, 1))
	t.meanUtilization = policy.SmoothUtilization(t.meanUtilization, utilization, t.loadAt.IsZero())
	t.load, t.loadAt, t.inFlightAtLoad = load, at, t.inFlight
	if s := r.byService[t.Service]; r.byID[t.ID] == t {
		s.markReporting(t)
	}
	if load.Pace > 0 {
		r.model(t.Service)
		t.pace.Add(load.Pace)
	}
}
