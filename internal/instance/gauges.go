package instance

import (
	"github.com/banyanglade/banyanglade/internal/dispatch"
	"github.com/banyanglade/banyanglade/internal/owner"
)

// Gauges holds the sizes of the core's tables, for metrics.
type Gauges struct {
	// Callers is the number of callers waiting for a response.
	Callers    int
	Owner      owner.Gauges
	Dispatcher dispatch.Gauges
	// Suspected is the number of peers that do not respond.
	Suspected int
	// SettingsNext is the offset of the next settings record to apply.
	SettingsNext uint64
}

// Gauges returns the current sizes of the core's tables.
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
