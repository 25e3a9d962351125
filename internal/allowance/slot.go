package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// vote is a voter's part of a slot, leased to this instance.
type vote struct {
	until time.Time
	fresh bool
}

// slot is the state of one slot at its coordinator. It does no I/O.
type slot struct {
	number int
	// voters is the number of voters in this instance's view.
	voters int
	votes  map[structs.InstanceID]vote
	// advancedAt is the time up to which the sums below are computed.
	advancedAt time.Time
	// full and fresh are the leased fractions integrated over time, in seconds; moved
	// sums the fractions of the voters that changed to this instance.
	full, fresh, moved float64
	buckets            map[string]*bucket
}

func newSlot(number int) *slot {
	return &slot{number: number, votes: make(map[structs.InstanceID]vote), buckets: make(map[string]*bucket)}
}

// advance updates the sums up to now. Without votes the saved requests are dropped.
func (s *slot) advance(now time.Time) {
	fraction := 1 / float64(max(s.voters, 1))
	for voter, v := range s.votes {
		end := now
		if v.until.Before(end) {
			end = v.until
			delete(s.votes, voter)
		}
		seconds := max(end.Sub(s.advancedAt).Seconds(), 0)
		if v.fresh {
			s.fresh += fraction * seconds
		} else {
			s.full += fraction * seconds
		}
	}
	s.advancedAt = now
	if len(s.votes) == 0 {
		s.full, s.fresh, s.moved = 0, 0, 0
		for _, b := range s.buckets {
			b.clearSaved()
		}
	}
}

// addVote adds a vote. It expires voteTTL after it was requested, and so before the
// voter's lease.
func (s *slot) addVote(voter structs.InstanceID, reply *structs.VoteReply, requestedAt, now time.Time) {
	s.advance(now)
	until := requestedAt.Add(voteTTL)
	if !until.After(now) {
		return
	}
	if reply.Reassigned {
		s.moved += 1 / float64(max(s.voters, 1))
	}
	s.votes[voter] = vote{until: until, fresh: reply.Restarted}
}

// dropVotes stops coordinating the slot.
func (s *slot) dropVotes(now time.Time) {
	clear(s.votes)
	s.advance(now)
}

// weight returns the fraction of a limit that the votes allow now.
func (s *slot) weight(fresh float64) float64 {
	sum := 0.0
	for _, v := range s.votes {
		if v.fresh {
			sum += fresh
		} else {
			sum++
		}
	}
	return min(sum/float64(max(s.voters, 1)), 1)
}

// allocate replies to a request. Without votes this instance is not the coordinator.
func (s *slot) allocate(request *structs.AllowanceRequest, t Tolerance, now time.Time) *structs.AllowanceReply {
	s.advance(now)
	if len(s.votes) == 0 {
		return &structs.AllowanceReply{Number: request.Number, Outcome: structs.AllowanceNotCoordinator}
	}
	b, known := s.buckets[request.Organisation]
	if !known {
		// A new bucket is full, as if it had existed from the start.
		b = &bucket{demand: newDemand()}
		s.buckets[request.Organisation] = b
	}
	b.setLimit(request, t)
	b.refill(s)
	if !known {
		// Starts are only a rate limit outside the invariant, so they may begin full.
		b.starts = b.startsCap
	}
	reply := b.allocate(request, now)
	reply.Number, reply.Outcome = request.Number, structs.AllowanceAllocated
	reply.Remaining, reply.Votes = b.level, len(s.votes)
	return reply
}
