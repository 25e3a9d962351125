package bench

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Waste is cache usage by programs, in token-seconds.
type Waste struct {
	// Ended is the usage by programs that make no more calls, closed or not.
	Ended float64
	// Paused is the usage in pauses without a cache hit afterwards.
	Paused float64
	// Held is the total usage by programs.
	Held float64
}

// Total returns the usage that was of no benefit.
func (w Waste) Total() float64 { return w.Ended + w.Paused }

// wasteMeter measures the waste at one engine by sampling.
type wasteMeter struct {
	waste Waste
	// unused is the usage by each program since its last call at the engine.
	unused map[structs.ProgramID]float64
}

func newWasteMeter() wasteMeter {
	return wasteMeter{unused: make(map[structs.ProgramID]float64)}
}

// sample charges one interval of the cache state.
func (m *wasteMeter) sample(r *simEngine, state wire.CacheState, interval time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(state.Programs)) {
		tokens := state.Programs[key]
		program := r.driver.programs[structs.ProgramID(key)]
		if program == nil {
			continue
		}
		charge := float64(tokens) * interval.Seconds()
		m.waste.Held += charge
		switch {
		case program.finished:
			m.waste.Ended += charge
		case !program.isRunningAt(r):
			m.unused[program.spec.ID] += charge
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.unused)) {
		charge := m.unused[id]
		if _, ok := state.Programs[string(id)]; !ok || r.driver.programs[id].finished {
			m.waste.Paused += charge
			delete(m.unused, id)
		}
	}
}

// recordUse settles the unused usage before a run: it is waste unless the run hit
// the cache.
func (m *wasteMeter) recordUse(id structs.ProgramID, hit bool) {
	if !hit {
		m.waste.Paused += m.unused[id]
	}
	delete(m.unused, id)
}

// finish charges usage that is still unused at the end of the run as waste.
func (m *wasteMeter) finish() {
	for _, id := range slices.Sorted(maps.Keys(m.unused)) {
		m.waste.Paused += m.unused[id]
	}
	clear(m.unused)
}
