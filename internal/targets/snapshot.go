package targets

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is a target as a dump shows it.
type Snapshot struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Draining bool    `json:"draining"`
	InFlight int     `json:"in_flight"`
	Busy     float64 `json:"busy"`
	Avoided  bool    `json:"avoided"`
	// Fill is the expected number of requests in parts of the slots, Slowness the
	// time for the same work over the usual; the ages are those of the newest
	// report and sample in seconds, -1 for none.
	Fill      float64 `json:"fill"`
	Slowness  float64 `json:"slowness"`
	ReportAge float64 `json:"report_age"`
	SpeedAge  float64 `json:"speed_age"`
}

// Snapshot lists all targets by id.
func (r *Registry) Snapshot() []Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	all := make([]Snapshot, 0, len(r.byID))
	for _, t := range r.byID {
		all = append(all, Snapshot{
			ID: t.ID, Service: t.Service, Address: t.Address, Draining: t.Draining,
			InFlight: t.inFlight, Busy: t.busy(now), Avoided: t.avoided(now),
			Fill: t.fill(r.pool(t.Service, now).Utilization, r.usualRequest(t.Service), now), Slowness: t.present(r.usual(t.Service), now),
			ReportAge: age(t.loadAt, now).Seconds(), SpeedAge: age(t.speed.UpdatedAt, now).Seconds(),
		})
	}
	slices.SortFunc(all, func(a, b Snapshot) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
