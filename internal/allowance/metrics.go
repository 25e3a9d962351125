package allowance

import "github.com/uber-go/tally/v4"

// metrics of the requests of organisations with a limit.
type metrics struct {
	// atOnce were let in with what this instance held, waited had to wait for
	// word from a coordinator.
	atOnce tally.Counter
	waited tally.Counter
	// refused were over their limit, unknown got no word in time.
	refused tally.Counter
	unknown tally.Counter
	// asks counts the messages to coordinators.
	asks tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("allowances")
	return metrics{
		atOnce: scope.Counter("admitted_at_once"), waited: scope.Counter("waited"),
		refused: scope.Counter("refused"), unknown: scope.Counter("unknown"), asks: scope.Counter("asks"),
	}
}
