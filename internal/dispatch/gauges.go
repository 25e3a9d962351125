package dispatch

import "github.com/banyanglade/banyanglade/internal/policy"

// Gauges are the sizes of a dispatcher's tables, for metrics.
type Gauges struct {
	// Pools is the number of pools queued here. Waiting and Running count the
	// calls that wait and those that hold a permit.
	Pools   int
	Waiting int
	Running int
	// Ejected counts the targets that get no new work because of failures or
	// slowness.
	Ejected int
	// PendingReleases counts the cache releases not yet confirmed by their
	// targets.
	PendingReleases int
}

// Gauges returns the current sizes of the dispatcher's tables.
func (d *Dispatcher) Gauges() Gauges {
	g := Gauges{Pools: len(d.pools), Waiting: d.Waiting()}
	for _, p := range d.pools {
		g.PendingReleases += len(p.pendingReleases)
		for _, t := range p.targets {
			g.Running += len(t.running)
			if t.health.State == policy.Ejected {
				g.Ejected++
			}
		}
	}
	return g
}
