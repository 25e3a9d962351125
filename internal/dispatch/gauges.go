package dispatch

import "github.com/banyanglade/banyanglade/internal/policy"

// Gauges are the sizes of a dispatcher's tables, for metrics.
type Gauges struct {
	// Pools have their queue here; Waiting calls wait in them, Running ones
	// hold a permit.
	Pools   int
	Waiting int
	Running int
	// Ejected targets get no work for a while.
	Ejected int
	// PendingReleases of cache are owed.
	PendingReleases int
}

// Gauges gives the sizes of the dispatcher's tables.
func (d *Dispatcher) Gauges() Gauges {
	g := Gauges{Pools: len(d.pools), Waiting: d.Waiting()}
	for _, p := range d.pools {
		g.PendingReleases += len(p.releases)
		for _, t := range p.targets {
			g.Running += len(t.running)
			if t.health.State == policy.Ejected {
				g.Ejected++
			}
		}
	}
	return g
}
