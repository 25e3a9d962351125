package budget

import (
	"context"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// replyTimeout is how long a remote owner may stay silent before another
	// instance is asked who owns the partition. A round trip takes a few
	// milliseconds; an owner answers at once unless the turn has to wait.
	replyTimeout = 300 * time.Millisecond
	// ownerTimeout bounds the search for an owner: its loss is noticed within
	// the liveness timeout, and a claim takes two calls to the store.
	ownerTimeout = time.Second
	// admissionTimeout bounds the wait for room that other turns of the program may
	// give back, which run for some hundred milliseconds.
	admissionTimeout = 1500 * time.Millisecond
	// maxUnavailable is how many instances are asked that cannot claim a partition:
	// the store then does not serve it to anyone.
	maxUnavailable = 3
	// ownerRetryInterval is the time between two tries to find an owner.
	ownerRetryInterval = 20 * time.Millisecond
)

// result is what became of one try to get room.
type result struct {
	outcome structs.RoomOutcome
	// owner is a better one to ask, empty if unknown.
	owner structs.InstanceID
	// target ran the program's last turn, empty if unknown.
	target string
	// first tells that no turn of the program is known before this one.
	first bool
}

// noReply is the outcome of a request whose owner went silent.
const noReply structs.RoomOutcome = 0

// pendingRequest is a request of this instance to another owner.
type pendingRequest struct {
	owner   structs.InstanceID
	request structs.RoomRequest
	result  chan result
}

// reservation is room that a turn of this instance holds.
type reservation struct {
	manager *Manager
	request structs.RoomRequest
	target  string
	first   bool
}

// LastTarget ran the program's last turn, empty if unknown.
func (h reservation) LastTarget() string { return h.target }

// FirstTurn tells that no turn of the program has run yet, as far as its owner knows.
func (h reservation) FirstTurn() bool { return h.first }

// Settle gives back what was not used and tells how the turn ended.
func (h reservation) Settle(end serve.TurnEnd) {
	h.manager.receiveSettle(&structs.RoomSettle{
		Lease: h.request.Lease, Partition: h.request.Partition, Program: h.request.Program, Used: end.Used,
		Target: end.Target, Failed: end.Failed,
	})
}

// Reserve waits for room for a turn. It returns serve.ErrSpent if the budget
// has none, serve.ErrNoRoom if turns under way hold what is left,
// serve.ErrStoreAway if a record is needed that the store does not take,
// serve.ErrNoOwner if no owner is found, or the error of the context.
func (m *Manager) Reserve(ctx context.Context, turn serve.Turn) (serve.Lease, error) {
	wait, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	lease, err := m.reserve(wait, turn)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, serve.ErrNoRoom
	}
	return lease, err
}

// reserve waits for room until the context ends.
func (m *Manager) reserve(ctx context.Context, turn serve.Turn) (serve.Lease, error) {
	p := m.partitionOf(turn.Program)
	request := structs.RoomRequest{
		Partition: p.number, Program: turn.Program, Budget: turn.Budget, Most: turn.Most, Retention: turn.Retention,
	}
	search := ownerSearch{manager: m, partition: p}
	started := time.Now()
	for {
		got, err := search.try(ctx, &request)
		if err != nil {
			return nil, err
		}
		switch got.outcome {
		case structs.RoomGranted:
			return reservation{m, request, got.target, got.first}, nil
		case structs.RoomSpent:
			return nil, serve.ErrSpent
		case structs.RoomNoRecord:
			return nil, serve.ErrStoreAway
		}
		if len(search.unavailable) >= maxUnavailable {
			return nil, serve.ErrStoreAway
		}
		if time.Since(started) > ownerTimeout || m.isolated() {
			return nil, serve.ErrNoOwner
		}
		if !delay.Sleep(ctx, ownerRetryInterval) {
			return nil, ctx.Err()
		}
	}
}

// isolated tells that neither the store nor any other instance answers, so that
// an owner will not be found soon.
func (m *Manager) isolated() bool {
	return !m.health.OK() && len(m.directory.Others()) == 0
}

// ownerSearch finds the owner of a partition for one turn.
type ownerSearch struct {
	manager   *Manager
	partition *partition
	// unavailable are the instances that could neither hand out room nor claim.
	unavailable []structs.InstanceID
	// suspect is an owner that did not answer this instance.
	suspect structs.InstanceID
	// redirect is the owner that the last instance asked has named.
	redirect structs.InstanceID
}

// try asks the instance that should know. Each try has a lease of its own, so
// that a late answer to an earlier one is told apart.
func (s *ownerSearch) try(ctx context.Context, request *structs.RoomRequest) (result, error) {
	m := s.manager
	results := make(chan result, 1)
	m.mu.Lock()
	request.Lease = structs.RoomLease{Holder: m.self.ID, Number: m.nextNumber()}
	request.Suspect = s.suspect
	to := s.candidate()
	request.Named = to != "" && to == s.redirect
	if to == m.self.ID {
		m.request(s.partition, *request, func(got result) { results <- got })
	} else if to != "" {
		m.pending[request.Lease] = &pendingRequest{owner: to, request: *request, result: results}
	}
	m.mu.Unlock()
	if to == "" {
		return s.noCandidate(), nil
	}
	if to != m.self.ID {
		message := *request
		message.Loads = m.loads.OwnLoads(time.Now())
		m.peers.Send(to, &message)
	}
	return s.await(ctx, request, to, results)
}

// noCandidate is the answer if there is no instance left to ask.
func (s *ownerSearch) noCandidate() result {
	if len(s.unavailable) > 0 {
		return result{outcome: structs.RoomNoRecord}
	}
	return result{outcome: noReply}
}

// candidate is whom to ask: the known owner, or the instance that should claim
// the partition. The mutex is held.
func (s *ownerSearch) candidate() structs.InstanceID {
	m, p := s.manager, s.partition
	if p.own != nil || s.redirect == m.self.ID {
		return m.self.ID
	}
	if m.ownerUsable(p) && p.owner != s.suspect && !slices.Contains(s.unavailable, p.owner) {
		return p.owner
	}
	return m.directory.FirstBut(p.key(), func(id structs.InstanceID) bool {
		return id == s.suspect || slices.Contains(s.unavailable, id)
	})
}

// await waits for the answer of the instance asked.
func (s *ownerSearch) await(
	ctx context.Context, request *structs.RoomRequest, to structs.InstanceID, results chan result,
) (result, error) {
	m := s.manager
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	for {
		select {
		case got := <-results:
			s.update(to, got)
			return got, nil
		case <-ctx.Done():
			m.abandon(request, to, results)
			return result{}, ctx.Err()
		case <-timer.C:
			if to != m.self.ID {
				// An owner lets a turn wait while others of its program run:
				// a silent one is found by a heartbeat.
				m.peers.Probe(to)
			}
		}
	}
}

// update draws the conclusions from an answer.
func (s *ownerSearch) update(to structs.InstanceID, got result) {
	switch got.outcome {
	case structs.RoomUnavailable:
		s.unavailable = append(s.unavailable, to)
		s.redirect = ""
	case structs.RoomNotOwner:
		s.redirect = got.owner
		s.manager.learnOwner(s.partition, got.owner)
	case noReply:
		s.suspect = to
	}
}

// learnOwner takes another instance's word on who owns a partition.
func (m *Manager) learnOwner(p *partition, owner structs.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner != "" && owner != m.self.ID && p.own == nil {
		m.setOwner(p, owner, 0)
	}
}

// abandon withdraws a request whose turn is no longer wanted; room that it was
// or will be given goes back.
func (m *Manager) abandon(request *structs.RoomRequest, to structs.InstanceID, results chan result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, request.Lease)
	if to != m.self.ID {
		return // receiveReply gives back what a late answer grants
	}
	m.spawn(func() {
		select {
		case got := <-results:
			if got.outcome == structs.RoomGranted {
				reservation{manager: m, request: *request}.Settle(serve.TurnEnd{})
			}
		case <-m.ctx.Done():
		}
	})
}

// receiveReply takes the answer of another owner.
func (m *Manager) receiveReply(from structs.InstanceID, msg *structs.RoomReply) {
	m.breaks.Hear(msg.Breaks, time.Now())
	m.loads.HearLoads(msg.Loads, time.Now())
	m.loads.HearPools(msg.Pools, time.Now())
	m.mu.Lock()
	pending, ok := m.pending[msg.Lease]
	delete(m.pending, msg.Lease)
	m.mu.Unlock()
	if ok {
		pending.result <- result{outcome: msg.Outcome, owner: msg.Owner, target: msg.Target, first: msg.First}
		return
	}
	if msg.Outcome == structs.RoomGranted {
		m.peers.Send(from, &structs.RoomSettle{Lease: msg.Lease, Partition: msg.Partition, Program: msg.Program})
	}
}

// receiveRequest takes another instance's request for room.
func (m *Manager) receiveRequest(from structs.InstanceID, r structs.RoomRequest) {
	if r.Partition < 0 || r.Partition >= len(m.partitions) {
		m.log.Warn("request for an unknown partition ignored", "peer", from, "partition", r.Partition)
		return
	}
	m.loads.HearLoads(r.Loads, time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.request(m.partitions[r.Partition], r, func(got result) {
		m.peers.Send(from, &structs.RoomReply{
			Lease: r.Lease, Outcome: got.outcome, Owner: got.owner, Partition: r.Partition, Program: r.Program,
			Breaks: m.breaks.Breaks(time.Now()), Target: got.target, First: got.first,
			Loads: m.loads.Loads(time.Now()), Pools: m.loads.PoolReports(time.Now()),
		})
	})
}

// request hands out room if this instance owns the partition, names the owner
// if another does, and claims the partition if nobody usable does. The mutex
// is held.
func (m *Manager) request(p *partition, r structs.RoomRequest, reply func(result)) {
	if r.Named && p.own == nil {
		// A claim of this instance took effect without an answer, or somebody
		// is mistaken: the store tells.
		m.setOwner(p, "", 0)
	}
	switch {
	case p.own != nil:
		m.admit(p, r, reply)
	case m.ownerUsable(p):
		if r.Suspect == p.owner {
			m.peers.Probe(p.owner)
		}
		reply(result{outcome: structs.RoomNotOwner, owner: p.owner})
	case m.leaving.Load() || time.Now().Before(p.claimAfter) || !m.mayClaim():
		reply(result{outcome: structs.RoomUnavailable})
	default:
		p.waitingForClaim = append(p.waitingForClaim, parkedRequest{r, reply})
		m.startClaim(p)
	}
}
