package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// FairShareBurst is the engine time by weight that a team may run ahead of the
// least served backlogged team before its calls go behind the others'.
const FairShareBurst = 2 * time.Second

// Shares accounts the service of teams by weight, as start-time fair queueing
// does: a team that comes back from idle starts at the least of the
// backlogged, so it has no claim on the past.
type Shares struct {
	usage map[structs.Team]time.Duration
}

// NewShares returns an empty account.
func NewShares() *Shares {
	return &Shares{usage: make(map[structs.Team]time.Duration)}
}

// Add charges a team for engine time.
func (s *Shares) Add(team structs.Team, took time.Duration, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	s.usage[team] += time.Duration(float64(took) / weight)
}

// Join starts a team that was not backlogged at no less than floor.
func (s *Shares) Join(team structs.Team, floor time.Duration) {
	s.usage[team] = max(s.usage[team], floor)
}

// Usage gives a team's charged time by weight.
func (s *Shares) Usage(team structs.Team) time.Duration { return s.usage[team] }

// Floor gives the least usage among backlogged teams, 0 if there is none.
func (s *Shares) Floor(backlogged []structs.Team) time.Duration {
	floor := time.Duration(0)
	for i, team := range backlogged {
		if usage := s.usage[team]; i == 0 || usage < floor {
			floor = usage
		}
	}
	return floor
}

// ExceedsBurst tells whether a team is so far ahead of floor that others go first.
func (s *Shares) ExceedsBurst(rules structs.Rules, team structs.Team, floor time.Duration) bool {
	return rules.FairShare && s.usage[team]-floor > FairShareBurst
}
