package allowance

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of the allowances at an instance.
type Dump struct {
	// Waiting lists the waiting requests, by organisation.
	Waiting []Waiting `json:"waiting"`
	// Coordinated lists the organisations coordinated by this instance.
	Coordinated []Coordinated `json:"coordinated"`
}

// Waiting is the number of waiting requests of an organisation, with the limit known
// to the instance.
type Waiting struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"limit_per_second"`
	Burst        float64 `json:"limit_burst"`
	Requests     int     `json:"requests"`
}

// Coordinated is the bucket of an organisation at its coordinator.
type Coordinated struct {
	Slot         int     `json:"slot"`
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"limit_per_second"`
	Level        float64 `json:"requests_left"`
	Capacity     float64 `json:"requests_left_most"`
	Starts       float64 `json:"programs_left"`
	PerProgram   float64 `json:"requests_per_program"`
	// Utilization is the recent utilization of the limit.
	Utilization float64 `json:"use"`
	Votes       int     `json:"votes"`
	Voters      int     `json:"voters"`
}

// Dump returns the current state.
func (m *Manager) Dump() Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := Dump{Waiting: []Waiting{}, Coordinated: []Coordinated{}}
	for _, q := range m.queues {
		out.Waiting = append(out.Waiting, Waiting{
			Organisation: q.organisation, PerSecond: q.limit.PerSecond, Burst: q.limit.Burst, Requests: len(q.waiting),
		})
	}
	for _, s := range m.slots {
		s.advance(now)
		for name, b := range s.buckets {
			out.Coordinated = append(out.Coordinated, Coordinated{
				Slot: s.number, Organisation: name, PerSecond: b.limit.PerSecond, Level: b.level, Capacity: b.capacity,
				Starts: b.starts, PerProgram: b.demand.perProgram, Utilization: b.usage.rate(now) / b.limit.PerSecond, Votes: len(s.votes), Voters: s.voters,
			})
		}
	}
	slices.SortFunc(out.Waiting, func(a, b Waiting) int { return cmp.Compare(a.Organisation, b.Organisation) })
	slices.SortFunc(out.Coordinated, func(a, b Coordinated) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return out
}
