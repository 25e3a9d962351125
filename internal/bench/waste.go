package bench

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Waste is cache memory that was held without use, in token-seconds.
type Waste struct {
	// Ended was held for programs that had ended, with or without a close.
	Ended float64
	// Paused was held in pauses and not used after them.
	Paused float64
	// Held is all that was held for programs.
	Held float64
}

// Total is the whole waste.
func (w Waste) Total() float64 { return w.Ended + w.Paused }

// wasteMeter measures the waste at one engine by samples.
type wasteMeter struct {
	waste Waste
	// unused is what each program's entry has held since its last use.
	unused map[structs.ProgramID]float64
}

func newWasteMeter() wasteMeter {
	return wasteMeter{unused: make(map[structs.ProgramID]float64)}
}

// sample charges one interval of what the engine holds.
func (h *wasteMeter) sample(r *runner, state wire.CacheState, interval time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(state.Programs)) {
		tokens := state.Programs[key]
		program := r.driver.programs[structs.ProgramID(key)]
		if program == nil {
			continue
		}
		charge := float64(tokens) * interval.Seconds()
		h.waste.Held += charge
		switch {
		case program.finished:
			h.waste.Ended += charge
		case !program.isRunningAt(r):
			h.unused[program.spec.ID] += charge
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.unused)) {
		charge := h.unused[id]
		if _, ok := state.Programs[string(id)]; !ok || r.driver.programs[id].finished {
			h.waste.Paused += charge
			delete(h.unused, id)
		}
	}
}

// recordUse settles what was held before a run: used if the run hit it.
func (h *wasteMeter) recordUse(id structs.ProgramID, hit bool) {
	if !hit {
		h.waste.Paused += h.unused[id]
	}
	delete(h.unused, id)
}

// finish counts what was never used by the end of the run.
func (h *wasteMeter) finish() {
	for _, id := range slices.Sorted(maps.Keys(h.unused)) {
		h.waste.Paused += h.unused[id]
	}
	clear(h.unused)
}
