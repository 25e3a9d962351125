package lostruns

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxWorks bounds the pieces of work in memory.
	maxWorks = 1 << 14
	// maxRuns bounds the runs of one piece of work.
	maxRuns = 64
	// maxAllRuns bounds the runs in memory.
	maxAllRuns = 1 << 15
)

// entry holds the runs of a piece of work.
type entry struct {
	runs      structs.Runs
	expiresAt time.Time
}

// table holds lost runs by work.
type table struct {
	works map[string]*entry
	// runs is the number of runs of all works.
	runs int
}

func newTable() *table { return &table{works: make(map[string]*entry)} }

// merge adds runs and returns all runs of the work.
func (t *table) merge(work string, runs structs.Runs, lifetime time.Duration, now time.Time) structs.Runs {
	known, ok := t.works[work]
	if ok && !now.Before(known.expiresAt) {
		t.drop(work)
		ok = false
	}
	if len(runs) == 0 {
		if !ok {
			return nil
		}
		return known.clone()
	}
	if !ok {
		if len(t.works) >= maxWorks {
			t.evict(work)
		}
		known = new(entry)
		t.works[work] = known
	}
	before := len(known.runs)
	known.runs = known.runs.Merge(runs)
	known.runs = known.runs[max(len(known.runs)-maxRuns, 0):]
	t.runs += len(known.runs) - before
	for t.runs > maxAllRuns {
		t.evict(work)
	}
	if expiresAt := now.Add(lifetime); expiresAt.After(known.expiresAt) {
		known.expiresAt = expiresAt
	}
	return known.clone()
}

// remove removes a run.
func (t *table) remove(work, run string) {
	e, ok := t.works[work]
	if !ok {
		return
	}
	before := len(e.runs)
	e.runs = e.runs.Without(run)
	t.runs += len(e.runs) - before
	if len(e.runs) == 0 {
		delete(t.works, work)
	}
}

// drop removes a piece of work.
func (t *table) drop(work string) {
	if e, ok := t.works[work]; ok {
		t.runs -= len(e.runs)
		delete(t.works, work)
	}
}

func (e *entry) clone() structs.Runs { return append(structs.Runs(nil), e.runs...) }

// evict drops some piece of work other than one.
func (t *table) evict(except string) {
	for work := range t.works {
		if work != except {
			t.drop(work)
			return
		}
	}
}

// sweep drops the work that has expired.
func (t *table) sweep(now time.Time) {
	for work, e := range t.works {
		if !now.Before(e.expiresAt) {
			t.drop(work)
		}
	}
}
