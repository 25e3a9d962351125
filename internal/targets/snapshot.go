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
			InFlight: t.inFlight, Busy: t.busy(now), Avoided: now.Before(t.avoidUntil) || now.Before(t.heardUntil),
		})
	}
	slices.SortFunc(all, func(a, b Snapshot) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
