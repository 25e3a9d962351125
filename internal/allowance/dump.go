package allowance

import (
	"cmp"
	"slices"
	"time"
)

// Dump is what an instance tells of allowances on request.
type Dump struct {
	// Held is what it may let in at once, by organisation.
	Held []Held `json:"held"`
	// Coordinated is what it deals out.
	Coordinated []Coordinated `json:"coordinated"`
}

// Held is what an instance holds of one organisation's allowance.
type Held struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"limit_per_second"`
	Burst        float64 `json:"limit_burst"`
	Requests     int     `json:"requests_held"`
	Rate         float64 `json:"requests_per_second_here"`
	Waiting      int     `json:"waiting"`
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
	Votes        int     `json:"votes"`
	Voters       int     `json:"voters"`
}

// Dump tells the state.
func (k *Keeper) Dump() Dump {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	out := Dump{Held: []Held{}, Coordinated: []Coordinated{}}
	for _, p := range k.purses {
		out.Held = append(out.Held, Held{
			Organisation: p.organisation, PerSecond: p.limit.PerSecond, Burst: p.limit.Burst,
			Requests: p.held(now), Rate: p.rateAt(now), Waiting: len(p.waiting),
		})
	}
	for _, s := range k.slots {
		s.advance(now)
		for name, b := range s.buckets {
			out.Coordinated = append(out.Coordinated, Coordinated{
				Slot: s.number, Organisation: name, PerSecond: b.limit.PerSecond, Level: b.level, Capacity: b.capacity,
				Starts: b.starts, PerProgram: b.perProgram(), Votes: len(s.votes), Voters: s.voters,
			})
		}
	}
	slices.SortFunc(out.Held, func(a, b Held) int { return cmp.Compare(a.Organisation, b.Organisation) })
	slices.SortFunc(out.Coordinated, func(a, b Coordinated) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return out
}
