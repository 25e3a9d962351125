package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// lease is to whom this instance lends its part of a slot.
type lease struct {
	coordinator structs.InstanceID
	until       time.Time
	// movedAt is when it went to another coordinator last.
	movedAt time.Time
}

// voter lends this instance's part of each slot to one coordinator at a time. It
// does no I/O.
type voter struct {
	// startedAt is when this instance started.
	startedAt time.Time
	window    time.Duration
	leases    []lease
}

func newVoter(slots int, window time.Duration, now time.Time) *voter {
	return &voter{startedAt: now, window: window, leases: make([]lease, slots)}
}

// grant answers a coordinator's request. The function ended tells whether an
// instance is known to have ended: it can no longer use what was lent to it.
func (v *voter) grant(
	slot int, to structs.InstanceID, ended func(structs.InstanceID) bool, now time.Time,
) structs.VoteReply {
	l := &v.leases[slot]
	if l.coordinator != to && now.Before(l.until) && !ended(l.coordinator) {
		return structs.VoteReply{}
	}
	reply := structs.VoteReply{Granted: true, Fresh: now.Sub(v.startedAt) < voteTTL}
	if l.coordinator != to {
		reply.Moved = l.movedAt.IsZero() || now.Sub(l.movedAt) > v.window
		l.coordinator, l.movedAt = to, now
	}
	l.until = now.Add(voteTTL)
	return reply
}

// release ends what was lent to an instance that deals out nothing any more.
func (v *voter) release(to structs.InstanceID, now time.Time) {
	for i := range v.leases {
		if v.leases[i].coordinator == to {
			v.leases[i].until = now
		}
	}
}
