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
	k.dropExpiredRequests(now)
	for _, s := range k.slots {
		key := k.Key(s.number)
		if k.Directory.First(key) != k.self {
			continue
		}
		voters := k.Directory.Listed(key, maxVoters)
		s.advance(now)
		s.voters = len(voters)
		for _, voter := range voters {
			k.requestVote(s, voter, now)
		}
	}
}

// dropExpiredRequests drops requests whose votes would not count any more.
func (k *Manager) dropExpiredRequests(now time.Time) {
	for number, sent := range k.voteRequests {
		if now.Sub(sent.at) > voteTTL {
			delete(k.voteRequests, number)
		}
	}
}

// requestVote asks one voter. The mutex is held.
func (k *Manager) requestVote(s *slot, voter structs.InstanceID, now time.Time) {
	switch {
	case voter == k.self || k.Directory.Usable(voter):
		delete(k.lastTried, voter)
	case now.Sub(k.lastTried[voter]) < unresponsiveRetryInterval:
		return
	default:
		k.lastTried[voter] = now
	}
	k.lastNumber++
	request := &structs.VoteRequest{Number: k.lastNumber, Slot: s.number}
	k.voteRequests[request.Number] = pendingVote{slot: s.number, to: voter, at: now}
	if voter != k.self {
		k.Peers.Send(voter, request)
		return
	}
	if reply, ok := k.grantVote(request, k.self, now); ok {
		k.acceptVote(reply, now)
	}
}

// grantVote answers a request for this instance's vote. The mutex is held.
func (k *Manager) grantVote(msg *structs.VoteRequest, to structs.InstanceID, now time.Time) (*structs.VoteReply, bool) {
	if msg.Slot < 0 || msg.Slot >= len(k.slots) || !k.Listed() {
		return nil, false
	}
	reply := k.voter.grant(msg.Slot, to, k.Directory.Ended, now)
	reply.Number = msg.Number
	return &reply, true
}

// acceptVote takes the answer to a request for a vote. The mutex is held.
func (k *Manager) acceptVote(reply *structs.VoteReply, now time.Time) {
	sent, ok := k.voteRequests[reply.Number]
	delete(k.voteRequests, reply.Number)
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
