package lostruns

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Callers whose work loses many runs must not fill the memory: the runs of all works are
// bounded, and the newest work is kept.
func TestRunsOfAllWorksAreBounded(t *testing.T) {
	known, now := newTable(), time.Now()
	var runs structs.Runs
	for i := range maxRuns {
		runs = append(runs, structs.Run{ID: fmt.Sprint(i), Target: fmt.Sprint(i), State: structs.LostRunOpen})
	}
	works := 2 * maxAllRuns / maxRuns
	for i := range works {
		known.merge(fmt.Sprint("work", i), runs, testLifetime, now)
	}
	total := 0
	for _, e := range known.works {
		total += len(e.runs)
	}
	if total != known.runs || total > maxAllRuns {
		t.Errorf("%d runs are held, %d counted, the bound is %d", total, known.runs, maxAllRuns)
	}
	if got := len(known.merge(fmt.Sprint("work", works-1), nil, testLifetime, now)); got != maxRuns {
		t.Errorf("%d runs of the newest work are known, want %d", got, maxRuns)
	}
	known.sweep(now.Add(2 * testLifetime))
	if known.runs != 0 {
		t.Errorf("%d runs are counted after all have expired", known.runs)
	}
}
