package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// renew asks the voters of the slots for which this instance ranks first. The
// mutex is held.
func (k *Manager) renew(now time.Time) {
	if !k.active || k.leaving || !k.Listed() {
		return
	}
	k.forgetRequests(now)
	for _, s := range k.slots {
		key := k.Key(s.number)
		if k.Directory.First(key) != k.self {
			continue
		}
		voters := k.Directory.TopN(key, maxVoters)
		s.advance(now)
		s.voters = len(voters)
		for _, voter := range voters {
			k.requestVote(s, voter, now)
		}
	}
}

// forgetRequests drops requests whose votes would not count any more.
func (k *Manager) forgetRequests(now time.Time) {
	for number, sent := range k.requests {
		if now.Sub(sent.at) > voteLife {
			delete(k.requests, number)
		}
	}
}

// requestVote asks one voter. The mutex is held.
func (k *Manager) requestVote(s *slot, voter structs.InstanceID, now time.Time) {
	switch {
	case voter == k.self || k.Directory.Usable(voter):
		delete(k.doubted, voter)
	case now.Sub(k.doubted[voter]) < doubtedInterval:
		return
	default:
		k.doubted[voter] = now
	}
	k.number++
	request := &structs.VoteRequest{Number: k.number, Slot: s.number}
	k.requests[request.Number] = sentRequest{slot: s.number, to: voter, at: now}
	if voter != k.self {
		k.Peers.Send(voter, request)
		return
	}
	if reply, ok := k.lend(request, k.self, now); ok {
		k.takeVote(reply, now)
	}
}

// lend answers a request for this instance's vote. The mutex is held.
func (k *Manager) lend(m *structs.VoteRequest, to structs.InstanceID, now time.Time) (*structs.VoteReply, bool) {
	if m.Slot < 0 || m.Slot >= len(k.slots) || !k.Listed() {
		return nil, false
	}
	reply := k.voter.lend(m.Slot, to, k.Directory.Ended, now)
	reply.Number = m.Number
	return &reply, true
}

// takeVote takes the answer to a request for a vote. The mutex is held.
func (k *Manager) takeVote(reply *structs.VoteReply, now time.Time) {
	sent, ok := k.requests[reply.Number]
	delete(k.requests, reply.Number)
	if !ok || !reply.Granted || k.leaving {
		return
	}
	s := k.slots[sent.slot]
	had := len(s.votes)
	s.addVote(sent.to, reply, sent.at, now)
	if had == 0 {
		k.Log.Info("allowances coordinated here", "slot", s.number, "voters", s.voters, "start_carried", reply.Moved)
	}
}
