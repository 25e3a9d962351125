package targets

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of a target in a dump.
type Dump struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Version  string  `json:"version"`
	Draining bool    `json:"draining"`
	InFlight int     `json:"in_flight"`
	Busy     float64 `json:"busy"`
	Avoided  bool    `json:"avoided"`
	// Utilization is the expected number of requests as a fraction of the slots.
	// Slowness is the time for a unit of work relative to the service's mean. The ages
	// are those of the newest report and speed sample, in seconds, -1 if there is none.
	Utilization float64 `json:"fill"`
	Slowness    float64 `json:"slowness"`
	ReportAge   float64 `json:"report_age"`
	SpeedAge    float64 `json:"speed_age"`
}

// Dump returns the state of all targets, sorted by ID.
func (r *Registry) Dump() []Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	all := make([]Dump, 0, len(r.byID))
	for _, t := range r.byID {
		all = append(all, Dump{
			ID: t.ID, Service: t.Service, Address: t.Address, Version: t.Version, Draining: t.Draining,
			InFlight: t.inFlight, Busy: t.busy(now), Avoided: t.avoided(now),
			Utilization: t.utilization(r.recentPool(t.Service, now).Utilization, r.meanRequestDuration(t.Service), now), Slowness: t.currentSlowness(r.means(t.Service), now),
			ReportAge: age(t.loadAt, now).Seconds(), SpeedAge: age(t.unitTime.UpdatedAt, now).Seconds(),
		})
	}
	slices.SortFunc(all, func(a, b Dump) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
