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
	// replyTimeout is the time without a reply from a remote owner after which it is
	// probed. A round trip takes a few milliseconds, and an owner replies at once
	// unless the turn has to wait.
	replyTimeout = 300 * time.Millisecond
	// ownerTimeout bounds the search for an owner. It covers the detection of a crash
	// and a claim.
	ownerTimeout = time.Second
	// admissionTimeout bounds the wait for tokens that other turns of the program may
	// return.
	admissionTimeout = 1500 * time.Millisecond
	// maxUnavailable is how many instances may fail to claim a partition before the
	// store is taken to be unavailable for it.
	maxUnavailable = 3
	// ownerRetryInterval is the pause between two attempts to find an owner.
	ownerRetryInterval = 20 * time.Millisecond
)

// result is the outcome of one reservation request.
type result struct {
	outcome structs.ReservationOutcome
	// owner is the owner named in the reply; empty if unknown.
	owner structs.InstanceID
	// target ran the program's last turn; empty if unknown.
	target string
	// first indicates that no earlier turn of the program is known.
	first bool
}

// noReply is the outcome of a request to an owner that became unresponsive.
const noReply structs.ReservationOutcome = 0

// pendingRequest is a request to another owner in flight.
type pendingRequest struct {
	owner   structs.InstanceID
	request structs.ReservationRequest
	result  chan result
}

// reservation is the granted reservation of a turn of this instance.
type reservation struct {
	manager *Manager
	request structs.ReservationRequest
	target  string
	first   bool
}

// LastTarget returns the target of the program's last turn; empty if unknown.
func (r reservation) LastTarget() string { return r.target }

// FirstTurn reports whether no turn of the program has run yet, as far as its owner
// knows.
func (r reservation) FirstTurn() bool { return r.first }

// Settle returns the unused tokens and reports how the turn ended.
func (r reservation) Settle(turnResult serve.TurnResult) {
	r.manager.receiveSettle(&structs.ReservationSettle{
		Lease: r.request.Lease, Partition: r.request.Partition, Program: r.request.Program, Used: turnResult.UsedTokens,
		Target: turnResult.Target, Failed: turnResult.Failed,
	})
}

// Reserve waits for a reservation for a turn. It returns serve.ErrBudgetSpent if the
// budget is exhausted, serve.ErrBudgetHeld if turns in progress hold the rest,
// serve.ErrStoreUnavailable if the store does not accept a record that is needed,
// serve.ErrBudgetsFull if the owner has no memory for another program,
// serve.ErrNoOwner if no owner is found, or the error of the context.
func (m *Manager) Reserve(ctx context.Context, turn serve.Turn) (serve.Lease, error) {
	wait, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	lease, err := m.reserve(wait, turn)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, serve.ErrBudgetHeld
	}
	return lease, err
}

// reserve waits for a reservation until the context ends.
func (m *Manager) reserve(ctx context.Context, turn serve.Turn) (serve.Lease, error) {
	p := m.partitionOf(turn.Program)
	request := structs.ReservationRequest{
		Partition: p.number, Program: turn.Program, Budget: turn.Budget, MaxTokens: turn.MaxTokens, Retention: turn.Retention,
		TimeLeft: turn.TimeLeft,
	}
	search := ownerSearch{manager: m, partition: p}
	started := time.Now()
	for {
		got, err := search.try(ctx, &request)
		if err != nil {
			return nil, err
		}
		switch got.outcome {
		case structs.ReservationGranted:
			return reservation{m, request, got.target, got.first}, nil
		case structs.ReservationOverBudget:
			return nil, serve.ErrBudgetSpent
		case structs.ReservationNotRecorded:
			return nil, serve.ErrStoreUnavailable
		case structs.ReservationAccountsFull:
			return nil, serve.ErrBudgetsFull
		}
		if len(search.unavailable) >= maxUnavailable {
			return nil, serve.ErrStoreUnavailable
		}
		if time.Since(started) > ownerTimeout || m.isolated() {
			return nil, serve.ErrNoOwner
		}
		if !delay.Sleep(ctx, ownerRetryInterval) {
			return nil, ctx.Err()
		}
	}
}

// isolated reports whether neither the store nor any other instance is available, so
// that no owner will be found soon.
func (m *Manager) isolated() bool {
	return !m.health.OK() && len(m.directory.Others()) == 0
}

// ownerSearch finds the owner of a partition for one turn.
type ownerSearch struct {
	manager   *Manager
	partition *partition
	// unavailable are the instances that could neither allocate nor claim.
	unavailable []structs.InstanceID
	// suspect is an owner that did not reply to this instance.
	suspect structs.InstanceID
	// redirect is the owner named in the last reply.
	redirect structs.InstanceID
}

// try sends the request to the candidate. Each attempt has its own lease, so that late
// replies to earlier attempts are distinguished.
func (s *ownerSearch) try(ctx context.Context, request *structs.ReservationRequest) (result, error) {
	m := s.manager
	results := make(chan result, 1)
	m.mu.Lock()
	request.Lease = structs.LeaseID{Holder: m.self.ID, Number: m.nextNumber()}
	request.Suspect = s.suspect
	to := s.candidate()
	request.Redirected = to != "" && to == s.redirect
	if to == m.self.ID {
		m.handleRequest(s.partition, *request, func(got result) { results <- got })
	} else if to != "" {
		m.pending[request.Lease] = &pendingRequest{owner: to, request: *request, result: results}
	}
	m.mu.Unlock()
	if to == "" {
		return s.noCandidate(), nil
	}
	if to != m.self.ID {
		message := *request
		message.Loads = m.loads.OwnLoadReports(time.Now())
		m.peers.Send(to, &message)
	}
	return s.await(ctx, request, to, results)
}

// noCandidate returns the result if no instance is left to try.
func (s *ownerSearch) noCandidate() result {
	if len(s.unavailable) > 0 {
		return result{outcome: structs.ReservationNotRecorded}
	}
	return result{outcome: noReply}
}

// candidate returns the instance to try: the known owner, or the one that should claim
// the partition. The mutex is held.
func (s *ownerSearch) candidate() structs.InstanceID {
	m, p := s.manager, s.partition
	if p.own != nil || s.redirect == m.self.ID {
		return m.self.ID
	}
	if m.ownerUsable(p) && p.owner != s.suspect && !slices.Contains(s.unavailable, p.owner) {
		return p.owner
	}
	return m.directory.FirstExcept(p.key(), func(id structs.InstanceID) bool {
		return id == s.suspect || slices.Contains(s.unavailable, id)
	})
}

// await waits for the reply.
func (s *ownerSearch) await(
	ctx context.Context, request *structs.ReservationRequest, to structs.InstanceID, results chan result,
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
				// The owner may be unresponsive, or let the turn wait for others of
				// its program.
				m.peers.Probe(to)
			}
		}
	}
}

// update records the result of an attempt.
func (s *ownerSearch) update(to structs.InstanceID, got result) {
	switch got.outcome {
	case structs.ReservationUnavailable:
		s.unavailable = append(s.unavailable, to)
		s.redirect = ""
	case structs.ReservationNotOwner:
		s.redirect = got.owner
		s.manager.learnOwner(s.partition, got.owner)
	case noReply:
		s.suspect = to
	}
}

// learnOwner sets the owner that another instance named.
func (m *Manager) learnOwner(p *partition, owner structs.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner != "" && owner != m.self.ID && p.own == nil {
		m.setOwner(p, owner, 0)
	}
}

// abandon withdraws a request whose turn is no longer wanted and returns tokens that
// were or will be granted.
func (m *Manager) abandon(request *structs.ReservationRequest, to structs.InstanceID, results chan result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, request.Lease)
	if to != m.self.ID {
		return // receiveReply returns the tokens that a late reply grants
	}
	m.spawn(func() {
		select {
		case got := <-results:
			if got.outcome == structs.ReservationGranted {
				reservation{manager: m, request: *request}.Settle(serve.TurnResult{})
			}
		case <-m.ctx.Done():
		}
	})
}

// receiveReply handles the reply of another owner.
func (m *Manager) receiveReply(from structs.InstanceID, msg *structs.ReservationReply) {
	m.targetFailures.MergeTargetFailures(msg.Failures, time.Now())
	m.loads.MergeLoadReports(msg.Loads, time.Now())
	m.loads.MergePoolReports(msg.Pools, time.Now())
	m.mu.Lock()
	pending, ok := m.pending[msg.Lease]
	delete(m.pending, msg.Lease)
	m.mu.Unlock()
	if ok {
		pending.result <- result{outcome: msg.Outcome, owner: msg.Owner, target: msg.LastTarget, first: msg.FirstTurn}
		return
	}
	if msg.Outcome == structs.ReservationGranted {
		m.peers.Send(from, &structs.ReservationSettle{Lease: msg.Lease, Partition: msg.Partition, Program: msg.Program})
	}
}

// receiveRequest handles the request of another instance.
func (m *Manager) receiveRequest(from structs.InstanceID, r structs.ReservationRequest) {
	if r.Partition < 0 || r.Partition >= len(m.partitions) {
		m.log.Warn("ignored request for unknown partition", "peer", from, "partition", r.Partition)
		return
	}
	m.loads.MergeLoadReports(r.Loads, time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handleRequest(m.partitions[r.Partition], r, func(got result) {
		m.peers.Send(from, &structs.ReservationReply{
			Lease: r.Lease, Outcome: got.outcome, Owner: got.owner, Partition: r.Partition, Program: r.Program,
			Failures: m.targetFailures.TargetFailures(time.Now()), LastTarget: got.target, FirstTurn: got.first,
			Loads: m.loads.LoadReports(time.Now()), Pools: m.loads.PoolReports(time.Now()),
		})
	})
}

// handleRequest admits the turn if this instance owns the partition, names the owner if
// another available instance does, and claims the partition otherwise. The mutex is
// held.
func (m *Manager) handleRequest(p *partition, r structs.ReservationRequest, reply func(result)) {
	if r.Redirected && p.own == nil {
		// Either a claim of this instance took effect without a response, or the
		// sender is mistaken. Forget the owner, so that the store is read again.
		m.setOwner(p, "", 0)
	}
	switch {
	case p.own != nil:
		m.admit(p, r, reply)
	case m.ownerUsable(p):
		if r.Suspect == p.owner {
			m.peers.Probe(p.owner)
		}
		reply(result{outcome: structs.ReservationNotOwner, owner: p.owner})
	case m.leaving.Load() || time.Now().Before(p.claimAfter) || !m.mayClaim():
		reply(result{outcome: structs.ReservationUnavailable})
	default:
		p.waitingForClaim = append(p.waitingForClaim, parkedRequest{r, reply})
		m.startClaim(p)
	}
}
