package targets

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Who lets programs begin has to know the load of a service as a whole. The owners
// of budgets hear most of all targets; their view goes with each of their replies.

const (
	// poolReportLife is the time in which a report fades to what its target usually
	// reports, in the load of the service.
	poolReportLife = 400 * time.Millisecond
	// toldAge is how old another instance's view may be: the load changes within
	// the time of a program.
	toldAge = time.Second
	// fillUnit is the part of the slots in which views are told.
	fillUnit = 1e-3
)

// Pool is the load of a service as a whole.
type Pool struct {
	// Utilization is what runs and waits, in parts of the work that the service's targets
	// can do, as Known of All usable ones told.
	Utilization float64
	Reporting   int
	Usable      int
	// ReportAge is the mean age of the reports.
	ReportAge time.Duration
	// SpeedsLearned tells that the speeds of the targets are learned.
	SpeedsLearned bool
}

// poolView is another instance's view of a service.
type poolView struct {
	fill  float64
	known int
	// at is when the reports were given, in the mean, heard when it was told.
	at, heard time.Time
}

// better tells whether a view rests on more targets, or on newer reports, than
// what this instance knows itself.
func (v poolView) better(own Pool, now time.Time) bool {
	return v.known > own.Reporting || (v.known == own.Reporting && now.Sub(v.at) < own.ReportAge)
}

// Pool tells the load of a service for who may begin. The better informed view
// counts, of this instance or of another one.
func (r *Registry) Pool(service string, now time.Time) Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool := r.ownPool(service, now)
	view, ok := r.views[xxhash.Sum64String(service)]
	if ok && now.Sub(view.heard) <= toldAge && view.better(pool, now) {
		pool.Utilization, pool.Reporting, pool.ReportAge = view.fill, min(view.known, pool.Usable), now.Sub(view.at)
	}
	return pool
}

// ownPool is the load of a service by what this instance knows of its targets. A
// queue at a slow target says little of the room that the others have, so each
// counts by its speed. One that has told nothing lately was asked for nothing, as
// far as is known: it counts as free. The mutex is held.
func (r *Registry) ownPool(service string, now time.Time) Pool {
	s, usual := r.of(service), r.usual(service)
	pool := Pool{Usable: s.usable, SpeedsLearned: r.works[service] != nil}
	weight := func(t *Target) float64 { return float64(max(t.Slots, 1)) }
	capacity, busy, ages := float64(s.slots), 0.0, 0.0
	if pool.SpeedsLearned {
		weight = func(t *Target) float64 { return float64(max(t.Slots, 1)) / t.slowness(usual, now) }
		capacity = 0
		for _, t := range s.all {
			if !t.Draining {
				capacity += weight(t)
			}
		}
	}
	s.eachTold(now, func(t *Target) {
		if t.Draining {
			return
		}
		pool.Reporting++
		busy += weight(t) * t.fill(0, poolReportLife, now)
		ages += float64(now.Sub(t.loadAt))
	})
	if pool.Reporting > 0 {
		pool.Utilization = busy / capacity
		pool.ReportAge = time.Duration(ages / float64(pool.Reporting))
	}
	return pool
}

// PoolReports tell other instances what this one knows of its services.
func (r *Registry) PoolReports(now time.Time) []structs.PoolReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []structs.PoolReport
	for service := range r.byService {
		if r.works[service] == nil {
			continue
		}
		pool := r.ownPool(service, now)
		if pool.Reporting == 0 {
			continue
		}
		reports = append(reports, structs.PoolReport{
			Service: xxhash.Sum64String(service), Utilization: int(pool.Utilization / fillUnit), Reporting: pool.Reporting, Age: pool.ReportAge,
		})
	}
	return reports
}

// MergePoolReports takes another instance's view of services, unless a better informed
// one is new.
func (r *Registry) MergePoolReports(reports []structs.PoolReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.views, func(_ uint64, v poolView) bool { return now.Sub(v.heard) > toldAge })
	for _, p := range reports {
		if p.Utilization < 0 || p.Reporting <= 0 {
			continue
		}
		before, ok := r.views[p.Service]
		if ok && before.known > p.Reporting && now.Sub(before.heard) < toldAge/2 {
			continue
		}
		r.views[p.Service] = poolView{
			fill: float64(p.Utilization) * fillUnit, known: p.Reporting, at: now.Add(-max(p.Age, 0)), heard: now,
		}
	}
}
