package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// vote is a voter's part of a slot, lent to this instance.
type vote struct {
	until time.Time
	fresh bool
}

// slot is what this instance coordinates of the organisations of one slot. It
// does no I/O.
type slot struct {
	number int
	// voters is how many voters the slot has in this instance's view.
	voters int
	votes  map[structs.InstanceID]vote
	// advancedAt is up to when the sums below were taken.
	advancedAt time.Time
	// full and fresh sum up the parts of the votes over time, in seconds of the
	// whole; moved the parts of the voters that changed to this instance.
	full, fresh, moved float64
	buckets            map[string]*bucket
}

func newSlot(number int) *slot {
	return &slot{number: number, votes: make(map[structs.InstanceID]vote), buckets: make(map[string]*bucket)}
}

// advance sums up what the votes allowed until now. Without any vote nothing of
// what was saved up is left.
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

// addVote takes a vote that was asked for at a time. It counts until a vote's
// lifetime after that, so that the voter is bound for longer.
func (s *slot) addVote(voter structs.InstanceID, reply *structs.VoteReply, requestedAt, now time.Time) {
	s.advance(now)
	until := requestedAt.Add(voteTTL)
	if !until.After(now) {
		return
	}
	if reply.Moved {
		s.moved += 1 / float64(max(s.voters, 1))
	}
	s.votes[voter] = vote{until: until, fresh: reply.Fresh}
}

// dropVotes gives up what this instance coordinates.
func (s *slot) dropVotes(now time.Time) {
	clear(s.votes)
	s.advance(now)
}

// weight is the part of a limit that the votes allow now.
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

// allocate answers an ask. Without votes this instance is not the coordinator.
func (s *slot) allocate(request *structs.AllowanceAsk, t Tolerance, now time.Time) *structs.AllowanceReply {
	s.advance(now)
	if len(s.votes) == 0 {
		return &structs.AllowanceReply{Number: request.Number, Outcome: structs.AllowanceNoShare}
	}
	b, known := s.buckets[request.Organisation]
	if !known {
		// It has saved up as much as if it had been asked for from the start.
		b = &bucket{demand: newDemand()}
		s.buckets[request.Organisation] = b
	}
	b.setLimit(request, t)
	b.refill(s)
	if !known {
		// What limits starts is no bound to be kept, so they need not begin empty.
		b.starts = b.startsCap
	}
	reply := b.allocate(request, now)
	reply.Number, reply.Outcome = request.Number, structs.AllowanceDealt
	reply.Left, reply.Votes = b.level, len(s.votes)
	return reply
}
