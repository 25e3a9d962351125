package node

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/instance"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// gauges reports the table sizes of the core and counts outcomes.
type gauges struct {
	scope      tally.Scope
	reportedAt time.Time
}

// report updates the gauges once per gaugeInterval.
func (g *gauges) report(now time.Time, core *instance.Instance) {
	if now.Sub(g.reportedAt) < gaugeInterval {
		return
	}
	g.reportedAt = now
	sizes := core.Gauges()
	set := func(name string, value int) { g.scope.Gauge(name).Update(float64(value)) }
	set("callers_waiting", sizes.Callers)
	set("owner_shards", sizes.Owner.Shards)
	set("owner_shards_log_down", sizes.Owner.LogDown)
	set("owner_programs", sizes.Owner.Programs)
	set("owner_calls", sizes.Owner.Calls)
	set("owner_records_pending", sizes.Owner.Records)
	set("dispatcher_pools", sizes.Dispatcher.Pools)
	set("dispatcher_calls_waiting", sizes.Dispatcher.Waiting)
	set("dispatcher_calls_running", sizes.Dispatcher.Running)
	set("dispatcher_targets_ejected", sizes.Dispatcher.Ejected)
	set("dispatcher_releases_owed", sizes.Dispatcher.PendingReleases)
	set("peers_suspected", sizes.Suspected)
	set("settings_offset", int(sizes.SettingsNext))
}

// outcomeNames maps outcome kinds to metric label values.
var outcomeNames = map[structs.OutcomeKind]string{
	structs.OutcomeAnswered: "answered", structs.OutcomeNotRun: "not-run", structs.OutcomeUnknown: "unknown",
}

// countOutcome counts completed calls by outcome and reason.
func (g *gauges) countOutcome(cmd structs.Command) {
	end, ok := cmd.(structs.ReplyOutcome)
	if !ok {
		return
	}
	tags := map[string]string{"outcome": outcomeNames[end.Outcome.Kind], "reason": string(end.Outcome.Reason)}
	g.scope.Tagged(tags).Counter("calls_ended").Inc(1)
}
