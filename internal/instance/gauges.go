package instance

import (
	"github.com/banyanglade/banyanglade/internal/dispatch"
	"github.com/banyanglade/banyanglade/internal/owner"
)

// Gauges are the sizes of the core's tables, for metrics.
type Gauges struct {
	// Callers wait for an answer of this instance.
	Callers    int
	Owner      owner.Gauges
	Dispatcher dispatch.Gauges
	// Suspected peers do not answer.
	Suspected int
	// SettingsNext is the settings offset applied.
	SettingsNext uint64
}

// Gauges gives the sizes of the core's tables.
func (i *Instance) Gauges() Gauges {
	g := Gauges{
		Callers: i.gateway.InFlight(), Owner: i.owner.Gauges(), Dispatcher: i.dispatch.Gauges(),
		SettingsNext: i.proposer.Next(),
	}
	for _, p := range i.view.Peers() {
		if i.view.Suspected(p.ID) {
			g.Suspected++
		}
	}
	return g
}
