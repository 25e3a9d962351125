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
	// ownerPatience bounds the search for an owner: its loss is noticed within
	// the liveness timeout, and a claim takes two calls to the store.
	ownerPatience = time.Second
	// roomPatience bounds the wait for room that other turns of the program may
	// give back, which run for some hundred milliseconds.
	roomPatience = 1500 * time.Millisecond
	// maxUnable is how many instances are asked that cannot claim a partition:
	// the store then does not serve it to anyone.
	maxUnable = 3
	// ownerPause is the time between two tries to find an owner.
	ownerPause = 20 * time.Millisecond
)

// answer is what became of one try to get room.
type answer struct {
	outcome structs.RoomOutcome
	// owner is a better one to ask, empty if unknown.
	owner structs.InstanceID
	// target ran the program's last turn, empty if unknown.
	target string
	// first tells that no turn of the program is known before this one.
	first bool
}

// lost is the outcome of a request whose owner went silent.
const lost structs.RoomOutcome = 0

// pendingAsk is a request of this instance to another owner.
type pendingAsk struct {
	asked   structs.InstanceID
	request structs.RoomRequest
	answer  chan answer
}

// heldRoom is room that a turn of this instance holds.
type heldRoom struct {
	keeper  *Manager
	request structs.RoomRequest
	target  string
	first   bool
}

// LastTarget ran the program's last turn, empty if unknown.
func (h heldRoom) LastTarget() string { return h.target }

// FirstTurn tells that no turn of the program has run yet, as far as its owner knows.
func (h heldRoom) FirstTurn() bool { return h.first }

// Settle gives back what was not used and tells how the turn ended.
func (h heldRoom) Settle(end serve.TurnResult) {
	h.keeper.receiveSettle(&structs.RoomSettle{
		Lease: h.request.Lease, Partition: h.request.Partition, Program: h.request.Program, Used: end.UsedTokens,
		Target: end.Target, Failed: end.Failed,
	})
}

// Reserve waits for room for a turn. It returns serve.ErrBudgetSpent if the budget
// has none, serve.ErrBudgetHeld if turns under way hold what is left,
// serve.ErrStoreUnavailable if a record is needed that the store does not take,
// serve.ErrNoOwner if no owner is found, or the error of the context.
func (k *Manager) Reserve(ctx context.Context, turn serve.Turn) (serve.Lease, error) {
	wait, cancel := context.WithTimeout(ctx, roomPatience)
	defer cancel()
	lease, err := k.reserve(wait, turn)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, serve.ErrBudgetHeld
	}
	return lease, err
}

// reserve waits for room until the context ends.
func (k *Manager) reserve(ctx context.Context, turn serve.Turn) (serve.Lease, error) {
	p := k.partitionOf(turn.Program)
	request := structs.RoomRequest{
		Partition: p.number, Program: turn.Program, Budget: turn.Budget, Most: turn.MaxTokens, Retention: turn.Retention,
	}
	search := search{keeper: k, partition: p}
	started := time.Now()
	for {
		got, err := search.try(ctx, &request)
		if err != nil {
			return nil, err
		}
		switch got.outcome {
		case structs.RoomGranted:
			return heldRoom{k, request, got.target, got.first}, nil
		case structs.RoomSpent:
			return nil, serve.ErrBudgetSpent
		case structs.RoomNoRecord:
			return nil, serve.ErrStoreUnavailable
		}
		if len(search.unable) >= maxUnable {
			return nil, serve.ErrStoreUnavailable
		}
		if time.Since(started) > ownerPatience || k.isolated() {
			return nil, serve.ErrNoOwner
		}
		if !delay.Sleep(ctx, ownerPause) {
			return nil, ctx.Err()
		}
	}
}

// isolated tells that neither the store nor any other instance answers, so that
// an owner will not be found soon.
func (k *Manager) isolated() bool {
	return !k.health.OK() && len(k.directory.Others()) == 0
}

// search finds the owner of a partition for one turn.
type search struct {
	keeper    *Manager
	partition *partition
	// unable are the instances that could neither hand out room nor claim.
	unable []structs.InstanceID
	// suspect is an owner that did not answer this instance.
	suspect structs.InstanceID
	// named is the owner that the last instance asked has named.
	named structs.InstanceID
}

// try asks the instance that should know. Each try has a lease of its own, so
// that a late answer to an earlier one is told apart.
func (s *search) try(ctx context.Context, request *structs.RoomRequest) (answer, error) {
	k := s.keeper
	answers := make(chan answer, 1)
	k.mu.Lock()
	request.Lease = structs.RoomLease{Holder: k.self.ID, Number: k.nextNumber()}
	request.Suspect = s.suspect
	asked := s.choose()
	request.Named = asked != "" && asked == s.named
	if asked == k.self.ID {
		k.request(s.partition, *request, func(got answer) { answers <- got })
	} else if asked != "" {
		k.pending[request.Lease] = &pendingAsk{asked: asked, request: *request, answer: answers}
	}
	k.mu.Unlock()
	if asked == "" {
		return s.nobody(), nil
	}
	if asked != k.self.ID {
		message := *request
		message.Loads = k.loads.OwnLoadReports(time.Now())
		k.peers.Send(asked, &message)
	}
	return s.await(ctx, request, asked, answers)
}

// nobody is the answer if there is no instance left to ask.
func (s *search) nobody() answer {
	if len(s.unable) > 0 {
		return answer{outcome: structs.RoomNoRecord}
	}
	return answer{outcome: lost}
}

// choose is whom to ask: the known owner, or the instance that should claim
// the partition. The mutex is held.
func (s *search) choose() structs.InstanceID {
	k, p := s.keeper, s.partition
	if p.own != nil || s.named == k.self.ID {
		return k.self.ID
	}
	if k.ownerUsable(p) && p.owner != s.suspect && !slices.Contains(s.unable, p.owner) {
		return p.owner
	}
	return k.directory.FirstExcept(p.key(), func(id structs.InstanceID) bool {
		return id == s.suspect || slices.Contains(s.unable, id)
	})
}

// await waits for the answer of the instance asked.
func (s *search) await(
	ctx context.Context, request *structs.RoomRequest, asked structs.InstanceID, answers chan answer,
) (answer, error) {
	k := s.keeper
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	for {
		select {
		case got := <-answers:
			s.learn(asked, got)
			return got, nil
		case <-ctx.Done():
			k.abandon(request, asked, answers)
			return answer{}, ctx.Err()
		case <-timer.C:
			if asked != k.self.ID {
				// An owner lets a turn wait while others of its program run:
				// a silent one is found by a heartbeat.
				k.peers.Probe(asked)
			}
		}
	}
}

// learn draws the conclusions from an answer.
func (s *search) learn(asked structs.InstanceID, got answer) {
	switch got.outcome {
	case structs.RoomUnavailable:
		s.unable = append(s.unable, asked)
		s.named = ""
	case structs.RoomNotOwner:
		s.named = got.owner
		s.keeper.learnOwner(s.partition, got.owner)
	case lost:
		s.suspect = asked
	}
}

// learnOwner takes another instance's word on who owns a partition.
func (k *Manager) learnOwner(p *partition, owner structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if owner != "" && owner != k.self.ID && p.own == nil {
		k.setOwner(p, owner, 0)
	}
}

// abandon withdraws a request whose turn is no longer wanted; room that it was
// or will be given goes back.
func (k *Manager) abandon(request *structs.RoomRequest, asked structs.InstanceID, answers chan answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, request.Lease)
	if asked != k.self.ID {
		return // receiveReply gives back what a late answer grants
	}
	k.spawn(func() {
		select {
		case got := <-answers:
			if got.outcome == structs.RoomGranted {
				heldRoom{keeper: k, request: *request}.Settle(serve.TurnResult{})
			}
		case <-k.ctx.Done():
		}
	})
}

// receiveReply takes the answer of another owner.
func (k *Manager) receiveReply(from structs.InstanceID, m *structs.RoomReply) {
	k.breaks.MergeBreaks(m.Breaks, time.Now())
	k.loads.MergeLoadReports(m.Loads, time.Now())
	k.loads.MergePoolReports(m.Pools, time.Now())
	k.mu.Lock()
	pending, ok := k.pending[m.Lease]
	delete(k.pending, m.Lease)
	k.mu.Unlock()
	if ok {
		pending.answer <- answer{outcome: m.Outcome, owner: m.Owner, target: m.Target, first: m.First}
		return
	}
	if m.Outcome == structs.RoomGranted {
		k.peers.Send(from, &structs.RoomSettle{Lease: m.Lease, Partition: m.Partition, Program: m.Program})
	}
}

// receiveRequest takes another instance's request for room.
func (k *Manager) receiveRequest(from structs.InstanceID, r structs.RoomRequest) {
	if r.Partition < 0 || r.Partition >= len(k.partitions) {
		k.log.Warn("request for an unknown partition ignored", "peer", from, "partition", r.Partition)
		return
	}
	k.loads.MergeLoadReports(r.Loads, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.request(k.partitions[r.Partition], r, func(got answer) {
		k.peers.Send(from, &structs.RoomReply{
			Lease: r.Lease, Outcome: got.outcome, Owner: got.owner, Partition: r.Partition, Program: r.Program,
			Breaks: k.breaks.Breaks(time.Now()), Target: got.target, First: got.first,
			Loads: k.loads.LoadReports(time.Now()), Pools: k.loads.PoolReports(time.Now()),
		})
	})
}

// request hands out room if this instance owns the partition, names the owner
// if another does, and claims the partition if nobody usable does. The mutex
// is held.
func (k *Manager) request(p *partition, r structs.RoomRequest, reply func(answer)) {
	if r.Named && p.own == nil {
		// A claim of this instance took effect without an answer, or somebody
		// is mistaken: the store tells.
		k.setOwner(p, "", 0)
	}
	switch {
	case p.own != nil:
		k.admit(p, r, reply)
	case k.ownerUsable(p):
		if r.Suspect == p.owner {
			k.peers.Probe(p.owner)
		}
		reply(answer{outcome: structs.RoomNotOwner, owner: p.owner})
	case k.leaving.Load() || time.Now().Before(p.claimAfter) || !k.mayClaim():
		reply(answer{outcome: structs.RoomUnavailable})
	default:
		p.parked = append(p.parked, parkedAsk{r, reply})
		k.startClaim(p)
	}
}
