package allowance

import "github.com/uber-go/tally/v4"

// metrics of the requests of organisations with a limit.
type metrics struct {
	// admitted were let in, refused were over their limit, unknown got no word in
	// time.
	admitted tally.Counter
	refused  tally.Counter
	unknown  tally.Counter
	// returned were let in and given back, since there was no room elsewhere.
	returned tally.Counter
	// asks counts the messages to coordinators, each for all that waits.
	asks tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("allowances")
	return metrics{
		admitted: scope.Counter("admitted"), refused: scope.Counter("refused"),
		unknown: scope.Counter("unknown"), returned: scope.Counter("returned"), asks: scope.Counter("asks"),
	}
}
