package allowance

import (
	"cmp"
	"slices"
	"time"
)

// Dump is what an instance tells of allowances on request.
type Dump struct {
	// Waiting is what waits here, by organisation.
	Waiting []Waiting `json:"waiting"`
	// Coordinated is what it deals out.
	Coordinated []Coordinated `json:"coordinated"`
}

// Waiting is what waits at an instance of one organisation, under the limit that
// the instance knows.
type Waiting struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"limit_per_second"`
	Burst        float64 `json:"limit_burst"`
	Requests     int     `json:"requests"`
}

// Coordinated is what a coordinator has to deal out to one organisation.
type Coordinated struct {
	Slot         int     `json:"slot"`
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"limit_per_second"`
	Level        float64 `json:"requests_left"`
	Capacity     float64 `json:"requests_left_most"`
	Starts       float64 `json:"programs_left"`
	PerProgram   float64 `json:"requests_per_program"`
	// Use is what was dealt out over the last second or two against the limit.
	Use    float64 `json:"use"`
	Votes  int     `json:"votes"`
	Voters int     `json:"voters"`
}

// Dump tells the state.
func (k *Manager) Dump() Dump {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	out := Dump{Waiting: []Waiting{}, Coordinated: []Coordinated{}}
	for _, l := range k.lines {
		out.Waiting = append(out.Waiting, Waiting{
			Organisation: l.organisation, PerSecond: l.limit.PerSecond, Burst: l.limit.Burst, Requests: len(l.waiting),
		})
	}
	for _, s := range k.slots {
		s.advance(now)
		for name, b := range s.buckets {
			out.Coordinated = append(out.Coordinated, Coordinated{
				Slot: s.number, Organisation: name, PerSecond: b.limit.PerSecond, Level: b.level, Capacity: b.capacity,
				Starts: b.starts, PerProgram: b.needs.perProgram, Use: b.use.rate(now) / b.limit.PerSecond, Votes: len(s.votes), Voters: s.voters,
			})
		}
	}
	slices.SortFunc(out.Waiting, func(a, b Waiting) int { return cmp.Compare(a.Organisation, b.Organisation) })
	slices.SortFunc(out.Coordinated, func(a, b Coordinated) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return out
}
