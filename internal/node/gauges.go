package node

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/instance"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// gaugeInterval is the time between two reports of the core's sizes.
const gaugeInterval = time.Second

// gauges report the sizes of the core's tables and count the outcomes.
type gauges struct {
	scope    tally.Scope
	reported time.Time
}

// report writes the gauges if the last report is some time ago.
func (g *gauges) report(now time.Time, core *instance.Instance) {
	if now.Sub(g.reported) < gaugeInterval {
		return
	}
	g.reported = now
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

// outcomeNames name the kinds of outcomes in the metrics.
var outcomeNames = map[structs.OutcomeKind]string{
	structs.OutcomeAnswered: "answered", structs.OutcomeNotRun: "not-run", structs.OutcomeUnknown: "unknown",
}

// count counts the final answers by outcome and reason.
func (g *gauges) count(cmd structs.Command) {
	end, ok := cmd.(structs.ReplyOutcome)
	if !ok {
		return
	}
	tags := map[string]string{"outcome": outcomeNames[end.Outcome.Kind], "reason": string(end.Outcome.Reason)}
	g.scope.Tagged(tags).Counter("calls_ended").Inc(1)
}
