package allowance

import "github.com/uber-go/tally/v4"

// metrics count the requests of organisations with a limit.
type metrics struct {
	// admitted and refused count decisions, unknown the requests without a decision in
	// time.
	admitted tally.Counter
	refused  tally.Counter
	unknown  tally.Counter
	// returned counts the admitted requests that were released unused.
	returned tally.Counter
	// requests counts the requests to coordinators.
	requests tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("allowances")
	return metrics{
		admitted: scope.Counter("admitted"), refused: scope.Counter("refused"),
		unknown: scope.Counter("unknown"), returned: scope.Counter("returned"), requests: scope.Counter("asks"),
	}
}
