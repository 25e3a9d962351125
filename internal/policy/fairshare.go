package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// FairShareBurst is the weighted engine time by which a team may exceed the
// least served backlogged team before its calls yield to others.
const FairShareBurst = 2 * time.Second

// Shares accounts engine time per team by weight, as in start-time fair
// queueing: a team that was idle restarts at the floor of the backlogged teams,
// so it cannot claim past capacity.
type Shares struct {
	usage map[structs.Team]time.Duration
}

// NewShares returns an empty account.
func NewShares() *Shares {
	return &Shares{usage: make(map[structs.Team]time.Duration)}
}

// Add charges a team for engine time.
func (s *Shares) Add(team structs.Team, duration time.Duration, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	s.usage[team] += time.Duration(float64(duration) / weight)
}

// Join raises the usage of a team that becomes backlogged to at least floor.
func (s *Shares) Join(team structs.Team, floor time.Duration) {
	s.usage[team] = max(s.usage[team], floor)
}

// Usage returns a team's weighted engine time.
func (s *Shares) Usage(team structs.Team) time.Duration { return s.usage[team] }

// Floor returns the minimum usage among backlogged teams, 0 if there are none.
func (s *Shares) Floor(backlogged []structs.Team) time.Duration {
	floor := time.Duration(0)
	for i, team := range backlogged {
		if usage := s.usage[team]; i == 0 || usage < floor {
			floor = usage
		}
	}
	return floor
}

// ExceedsBurst reports whether a team is so far ahead of floor that other teams
// go first.
func (s *Shares) ExceedsBurst(rules structs.Rules, team structs.Team, floor time.Duration) bool {
	return rules.FairShare && s.usage[team]-floor > FairShareBurst
}
