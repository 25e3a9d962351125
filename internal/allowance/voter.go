package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// lease is the lease of this instance's part of a slot.
type lease struct {
	coordinator structs.InstanceID
	until       time.Time
	// movedAt is when the coordinator last changed.
	movedAt time.Time
}

// voter leases this instance's part of each slot to one coordinator at a time. It does
// no I/O.
type voter struct {
	// startedAt is when this instance started.
	startedAt time.Time
	window    time.Duration
	leases    []lease
}

func newVoter(slots int, window time.Duration, now time.Time) *voter {
	return &voter{startedAt: now, window: window, leases: make([]lease, slots)}
}

// grant replies to a coordinator's request. ended reports whether an instance is known
// to have ended, so that it can no longer use its lease.
func (v *voter) grant(
	slot int, to structs.InstanceID, ended func(structs.InstanceID) bool, now time.Time,
) structs.VoteReply {
	l := &v.leases[slot]
	if l.coordinator != to && now.Before(l.until) && !ended(l.coordinator) {
		return structs.VoteReply{}
	}
	reply := structs.VoteReply{Granted: true, Restarted: now.Sub(v.startedAt) < voteTTL}
	if l.coordinator != to {
		reply.Reassigned = l.movedAt.IsZero() || now.Sub(l.movedAt) > v.window
		l.coordinator, l.movedAt = to, now
	}
	l.until = now.Add(voteTTL)
	return reply
}

// release ends the leases of an instance that no longer allocates.
func (v *voter) release(to structs.InstanceID, now time.Time) {
	for i := range v.leases {
		if v.leases[i].coordinator == to {
			v.leases[i].until = now
		}
	}
}
