package allowance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// renew requests votes for the slots for which this instance ranks first. The mutex is
// held.
func (m *Manager) renew(now time.Time) {
	if !m.active || m.leaving || !m.InstancesLoaded() {
		return
	}
	m.dropExpiredRequests(now)
	for _, s := range m.slots {
		key := m.Key(s.number)
		if m.Directory.First(key) != m.self {
			continue
		}
		voters := m.Directory.TopN(key, maxVoters)
		s.advance(now)
		s.voters = len(voters)
		for _, voter := range voters {
			m.requestVote(s, voter, now)
		}
	}
}

// dropExpiredRequests drops requests whose votes would have expired.
func (m *Manager) dropExpiredRequests(now time.Time) {
	for number, sent := range m.voteRequests {
		if now.Sub(sent.at) > voteTTL {
			delete(m.voteRequests, number)
		}
	}
}

// requestVote sends a request to one voter. The mutex is held.
func (m *Manager) requestVote(s *slot, voter structs.InstanceID, now time.Time) {
	switch {
	case voter == m.self || m.Directory.Usable(voter):
		delete(m.lastTried, voter)
	case now.Sub(m.lastTried[voter]) < unresponsiveRetryInterval:
		return
	default:
		m.lastTried[voter] = now
	}
	m.lastNumber++
	request := &structs.VoteRequest{Number: m.lastNumber, Slot: s.number}
	m.voteRequests[request.Number] = pendingVote{slot: s.number, to: voter, at: now}
	if voter != m.self {
		m.Peers.Send(voter, request)
		return
	}
	if reply, ok := m.grantVote(request, m.self, now); ok {
		m.acceptVote(reply, now)
	}
}

// grantVote replies to a request for this instance's vote. The mutex is held.
func (m *Manager) grantVote(msg *structs.VoteRequest, to structs.InstanceID, now time.Time) (*structs.VoteReply, bool) {
	if msg.Slot < 0 || msg.Slot >= len(m.slots) || !m.InstancesLoaded() {
		return nil, false
	}
	reply := m.voter.grant(msg.Slot, to, m.Directory.Ended, now)
	reply.Number = msg.Number
	return &reply, true
}

// acceptVote handles the reply to a vote request. The mutex is held.
func (m *Manager) acceptVote(reply *structs.VoteReply, now time.Time) {
	sent, ok := m.voteRequests[reply.Number]
	delete(m.voteRequests, reply.Number)
	if !ok || !reply.Granted || m.leaving {
		return
	}
	s := m.slots[sent.slot]
	had := len(s.votes)
	s.addVote(sent.to, reply, sent.at, now)
	if had == 0 {
		m.Log.Info("allowances coordinated here", "slot", s.number, "voters", s.voters, "start_carried", reply.Reassigned)
	}
}
