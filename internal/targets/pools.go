package targets

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Admission of programs depends on the load of a service as a whole. Budget owners
// receive the most reports and attach their view of each service to their replies.

const (
	// reportDecayTime is the time over which a report decays to the target's average, in
	// the load of a service.
	reportDecayTime = 400 * time.Millisecond
	// maxViewAge is the age up to which another instance's view is used.
	maxViewAge = time.Second
	// utilizationUnit is the unit of utilization in pool reports.
	utilizationUnit = 1e-3
)

// Pool is the load of a service as a whole.
type Pool struct {
	// Utilization is the number of running and waiting requests as a fraction of the
	// capacity, according to the reports of ReportingTargets of the UsableTargets.
	Utilization      float64
	ReportingTargets int
	UsableTargets    int
	// ReportAge is the average age of the reports.
	ReportAge time.Duration
	// SpeedsLearned indicates that the speeds of the targets are learned.
	SpeedsLearned bool
}

// poolView is another instance's view of a service.
type poolView struct {
	utilization      float64
	reportingTargets int
	// reportedAt is when the targets reported, on average; receivedAt is when this
	// instance received the view.
	reportedAt, receivedAt time.Time
}

// betterThan reports whether the view is based on more targets than own, or on
// newer reports of as many.
func (v poolView) betterThan(own Pool, now time.Time) bool {
	return v.reportingTargets > own.ReportingTargets || (v.reportingTargets == own.ReportingTargets && now.Sub(v.reportedAt) < own.ReportAge)
}

// Pool returns the load of a service, from this instance's data or from another
// instance's view, whichever is based on more targets.
func (r *Registry) Pool(service string, now time.Time) Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool := r.ownPool(service, now)
	view, ok := r.views[xxhash.Sum64String(service)]
	if ok && now.Sub(view.receivedAt) <= maxViewAge && view.betterThan(pool, now) {
		pool.Utilization, pool.ReportingTargets, pool.ReportAge = view.utilization, min(view.reportingTargets, pool.UsableTargets), now.Sub(view.reportedAt)
	}
	return pool
}

// ownPool returns the load of a service from this instance's data. Targets are
// weighted by speed, so that queues at slow targets don't hide the capacity of
// others. Targets without a recent report count as free: no instance is known to
// have used them. The mutex must be held.
func (r *Registry) ownPool(service string, now time.Time) Pool {
	s, means := r.serviceByName(service), r.means(service)
	pool := Pool{UsableTargets: s.usable, SpeedsLearned: r.models[service] != nil}
	weight := func(t *Target) float64 { return float64(max(t.Slots, 1)) }
	capacity, busy, ages := float64(s.slots), 0.0, 0.0
	if pool.SpeedsLearned {
		weight = func(t *Target) float64 { return float64(max(t.Slots, 1)) / t.slowness(means, now) }
		capacity = 0
		for _, t := range s.all {
			if !t.Draining {
				capacity += weight(t)
			}
		}
	}
	s.forEachReporting(now, func(t *Target) {
		if t.Draining {
			return
		}
		pool.ReportingTargets++
		busy += weight(t) * t.utilization(0, reportDecayTime, now)
		ages += float64(now.Sub(t.loadAt))
	})
	if pool.ReportingTargets > 0 {
		pool.Utilization = busy / capacity
		pool.ReportAge = time.Duration(ages / float64(pool.ReportingTargets))
	}
	return pool
}

// PoolReports returns this instance's views of services, for other instances.
func (r *Registry) PoolReports(now time.Time) []structs.PoolReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []structs.PoolReport
	for service := range r.byService {
		if r.models[service] == nil {
			continue
		}
		pool := r.ownPool(service, now)
		if pool.ReportingTargets == 0 {
			continue
		}
		reports = append(reports, structs.PoolReport{
			Service: xxhash.Sum64String(service), Utilization: int(pool.Utilization / utilizationUnit), Reporting: pool.ReportingTargets, Age: pool.ReportAge,
		})
	}
	return reports
}

// MergePoolReports stores another instance's views of services, except where a
// recent one is based on more targets.
func (r *Registry) MergePoolReports(reports []structs.PoolReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.views, func(_ uint64, v poolView) bool { return now.Sub(v.receivedAt) > maxViewAge })
	for _, p := range reports {
		if p.Utilization < 0 || p.Reporting <= 0 {
			continue
		}
		before, ok := r.views[p.Service]
		if ok && before.reportingTargets > p.Reporting && now.Sub(before.receivedAt) < maxViewAge/2 {
			continue
		}
		r.views[p.Service] = poolView{
			utilization: float64(p.Utilization) * utilizationUnit, reportingTargets: p.Reporting, reportedAt: now.Add(-max(p.Age, 0)), receivedAt: now,
		}
	}
}
