package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// loan is to whom this instance lends its part of a slot.
type loan struct {
	to    structs.InstanceID
	until time.Time
	// moved is when it went to another coordinator last.
	moved time.Time
}

// voter lends this instance's part of each slot to one coordinator at a time. It
// does no I/O.
type voter struct {
	// born is when this instance started.
	born   time.Time
	window time.Duration
	loans  []loan
}

func newVoter(slots int, window time.Duration, now time.Time) *voter {
	return &voter{born: now, window: window, loans: make([]loan, slots)}
}

// lend answers a coordinator's request. The function ended tells whether an
// instance is known to have ended: it can no longer use what was lent to it.
func (v *voter) lend(
	slot int, to structs.InstanceID, ended func(structs.InstanceID) bool, now time.Time,
) structs.VoteReply {
	l := &v.loans[slot]
	if l.to != to && now.Before(l.until) && !ended(l.to) {
		return structs.VoteReply{}
	}
	reply := structs.VoteReply{Granted: true, Fresh: now.Sub(v.born) < voteLife}
	if l.to != to {
		reply.Moved = l.moved.IsZero() || now.Sub(l.moved) > v.window
		l.to, l.moved = to, now
	}
	l.until = now.Add(voteLife)
	return reply
}

// release ends what was lent to an instance that deals out nothing any more.
func (v *voter) release(to structs.InstanceID, now time.Time) {
	for i := range v.loans {
		if v.loans[i].to == to {
			v.loans[i].until = now
		}
	}
}
