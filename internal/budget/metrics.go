package budget

import "github.com/uber-go/tally/v4"

type metrics struct {
	granted     tally.Counter
	exhausted   tally.Counter
	unavailable tally.Counter
	// full counts the programs that were refused for lack of memory.
	full      tally.Counter
	claims    tally.Counter
	crashes   tally.Counter
	handovers tally.Counter
	records   tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("budget")
	return metrics{
		granted:     s.Counter("room_granted"),
		exhausted:   s.Counter("room_spent"),
		unavailable: s.Counter("room_unavailable"),
		full:        s.Counter("programs_refused"),
		claims:      s.Counter("partitions_claimed"),
		crashes:     s.Counter("accounts_lost"),
		handovers:   s.Counter("partitions_handed_over"),
		records:     s.Counter("programs_recorded"),
	}
}
