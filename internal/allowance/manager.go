package allowance

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// replyTimeout is how long a coordinator may take to reply before it is probed and
	// the request is sent again, possibly to another coordinator. A round trip takes a
	// few milliseconds, a pause by CPU throttling up to 100 ms. Permits are used within
	// this time.
	replyTimeout = 200 * time.Millisecond
	// maxHeldRetryInterval bounds the time between two requests for waiters that are
	// held.
	maxHeldRetryInterval = 100 * time.Millisecond
	// noVotesRetryInterval is the pause after a reply without votes: a new coordinator
	// collects them within a few round trips.
	noVotesRetryInterval = 40 * time.Millisecond
	// admissionTimeout bounds the wait for a coordinator's decision. It is longer than
	// the detection of a crashed coordinator, since refusing a request ends its
	// program.
	admissionTimeout = 1100 * time.Millisecond
	// maxHold is how long a request of a program in progress is held if it should fit
	// by then, since refusing it ends the program. It is below admissionTimeout.
	maxHold = 900 * time.Millisecond
	// unresponsiveRetryInterval is the time between two vote requests to an
	// unresponsive instance, each of which may cost a dial.
	unresponsiveRetryInterval = time.Second
)

// Peers sends messages to other instances. Sending never blocks.
type Peers interface {
	Send(to structs.InstanceID, msg structs.Message)
	Probe(to structs.InstanceID)
}

// Config holds the parameters and dependencies of a Manager.
type Config struct {
	Directory *directory.Directory
	// Slots is the number of slots, at most maxSlots of which are used. Key returns
	// the key of a slot for rendezvous hashing. With the keys of the budget
	// partitions, their owners coordinate the slots, and connections to them exist
	// already.
	Slots     int
	Key       func(slot int) string
	Tolerance Tolerance
	Peers     Peers
	// InstancesLoaded reports whether the list of instances is loaded. Before that this
	// instance grants and requests no votes, since their weight depends on the number of
	// instances.
	InstancesLoaded func() bool
	Scope           tally.Scope
	Log             *slog.Logger
}

// Manager admits requests within the limits of their organisations. It is safe for
// concurrent use.
type Manager struct {
	Config
	self    structs.InstanceID
	metrics metrics

	mu         sync.Mutex
	voter      *voter
	slots      []*slot
	queues     map[string]*queue
	lastNumber uint64
	pending    map[uint64]pendingRequest
	// voteRequests are the vote requests in flight, by number.
	voteRequests map[uint64]pendingVote
	lastTried    map[structs.InstanceID]time.Time
	// active indicates that some organisation has a limit.
	active bool
	// leaving indicates that this instance no longer coordinates.
	leaving bool
}

// pendingRequest is a request to a coordinator in flight.
type pendingRequest struct {
	queue *queue
	to    structs.InstanceID
}

// pendingVote is a vote request in flight.
type pendingVote struct {
	slot int
	to   structs.InstanceID
	at   time.Time
}

// New creates a Manager.
func New(config Config) *Manager {
	config.Slots = min(config.Slots, maxSlots)
	m := &Manager{
		Config: config, self: config.Directory.Self().ID, metrics: newMetrics(config.Scope),
		voter:  newVoter(config.Slots, config.Tolerance.Window, time.Now()),
		queues: make(map[string]*queue), pending: make(map[uint64]pendingRequest),
		voteRequests: make(map[uint64]pendingVote), lastTried: make(map[structs.InstanceID]time.Time),
	}
	for i := range config.Slots {
		m.slots = append(m.slots, newSlot(i))
	}
	return m
}

// SetActive sets whether any organisation has a limit. No messages are sent otherwise.
func (m *Manager) SetActive(active bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active = active
}

// Run renews votes until the context ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.mu.Lock()
			m.renew(time.Now())
			m.mu.Unlock()
		}
	}
}

// Leave stops coordinating. It must be called before other instances are notified that
// this one is leaving, since they then lease their votes to others.
func (m *Manager) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	now := time.Now()
	for _, s := range m.slots {
		s.dropVotes(now)
	}
}

// slotOf returns the slot of an organisation.
func (m *Manager) slotOf(organisation string) int {
	return int(xxhash.Sum64String(organisation) % uint64(len(m.slots)))
}

// Admit admits a request or returns a *serve.OverLimitError, serve.ErrLimitUnknown if
// no coordinator replies in time, or the error of the context.
func (m *Manager) Admit(ctx context.Context, request serve.AllowanceRequest) (serve.Permit, error) {
	if !request.Limit.Limited() {
		return noPermit{}, nil
	}
	now := time.Now()
	w := &waiter{
		first: request.First, rank: min(max(request.Priority, 0), structs.AllowanceRanks-1),
		program: programHash(request.Program), holdUntil: now.Add(maxHold), decision: make(chan decision, 1),
	}
	m.mu.Lock()
	q := m.queueOf(request)
	q.waiting = append(q.waiting, w)
	m.sendRequest(q, now)
	m.mu.Unlock()
	return m.awaitDecision(ctx, q, w)
}

// programHash identifies a program in messages; 0 for none.
func programHash(program string) uint64 {
	if program == "" {
		return 0
	}
	return xxhash.Sum64String(program)
}

// awaitDecision waits for the decision on a request.
func (m *Manager) awaitDecision(ctx context.Context, q *queue, w *waiter) (serve.Permit, error) {
	timer := time.NewTimer(admissionTimeout)
	defer timer.Stop()
	var err error
	select {
	case got := <-w.decision:
		return m.permitOrError(q, w, got)
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = serve.ErrLimitUnknown
	}
	m.mu.Lock()
	left := q.remove(w)
	m.mu.Unlock()
	if !left {
		return m.permitOrError(q, w, <-w.decision)
	}
	m.metrics.unknown.Inc(1)
	return nil, err
}

func (m *Manager) permitOrError(q *queue, w *waiter, got decision) (serve.Permit, error) {
	if got.admitted {
		m.metrics.admitted.Inc(1)
		return permit{manager: m, queue: q, first: w.first}, nil
	}
	m.metrics.refused.Inc(1)
	m.mu.Lock()
	limit := q.limit
	m.mu.Unlock()
	return nil, &serve.OverLimitError{
		RetryAfter: got.reply.RetryAfter, Limit: limit, Remaining: got.reply.Remaining, Votes: got.reply.Votes,
		Coordinator: got.coordinator,
	}
}

// queueOf returns the queue of an organisation and updates its limit. The mutex is
// held.
func (m *Manager) queueOf(request serve.AllowanceRequest) *queue {
	q := m.queues[request.Organisation]
	if q == nil {
		q = &queue{organisation: request.Organisation}
		m.queues[request.Organisation] = q
	}
	if request.Version >= q.version {
		q.limit, q.version = request.Limit, request.Version
	}
	return q
}

// sendRequest sends a request to the coordinator of an organisation, unless one is in
// flight. The mutex is held.
func (m *Manager) sendRequest(q *queue, now time.Time) {
	if q.pendingNumber != 0 {
		return
	}
	slot := m.slotOf(q.organisation)
	to := m.Directory.First(m.Key(slot))
	if to == "" {
		return
	}
	m.lastNumber++
	request := q.requestTo(to, m.lastNumber, slot)
	m.pending[request.Number] = pendingRequest{queue: q, to: to}
	m.metrics.requests.Inc(1)
	if to == m.self {
		m.handleReply(m.handleRequest(request, now), now)
		return
	}
	m.Peers.Send(to, request)
	time.AfterFunc(replyTimeout, func() { m.requestTimedOut(request.Number) })
}

// requestTimedOut retries a request without a reply. Permits granted by a late reply
// are not used.
func (m *Manager) requestTimedOut(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sent, ok := m.pending[number]
	if !ok {
		return
	}
	m.Peers.Probe(sent.to)
	m.retryRequest(number, sent)
}

// retryRequest abandons a request and sends a new one if needed. The mutex is held.
func (m *Manager) retryRequest(number uint64, sent pendingRequest) {
	delete(m.pending, number)
	sent.queue.pendingNumber, sent.queue.pendingWaiters = 0, nil
	m.requestIfNeeded(sent.queue)
}

// requestIfNeeded sends a request if requests wait or permits are to be returned. The
// mutex is held.
func (m *Manager) requestIfNeeded(q *queue) {
	if len(q.waiting) > 0 || q.returned > 0 || q.returnedStarts > 0 {
		m.sendRequest(q, time.Now())
	}
}

// handleReply applies a coordinator's reply. The mutex is held.
func (m *Manager) handleReply(reply *structs.AllowanceReply, now time.Time) {
	sent, ok := m.pending[reply.Number]
	if !ok {
		return
	}
	delete(m.pending, reply.Number)
	newcomers := len(sent.queue.waiting) > len(sent.queue.pendingWaiters)
	sent.queue.applyReply(reply, sent.to, now)
	if len(sent.queue.waiting) == 0 {
		m.requestIfNeeded(sent.queue)
		return
	}
	pause := noVotesRetryInterval
	switch {
	case reply.Outcome != structs.AllowanceAllocated:
	case newcomers:
		pause = 0
	default:
		pause = min(reply.RetryAfter, maxHeldRetryInterval)
	}
	time.AfterFunc(pause, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.requestIfNeeded(sent.queue)
	})
}

// handleRequest replies to a request as the coordinator. The mutex is held.
func (m *Manager) handleRequest(request *structs.AllowanceRequest, now time.Time) *structs.AllowanceReply {
	if request.Slot < 0 || request.Slot >= len(m.slots) || !(org.Limit{PerSecond: request.PerSecond}).Limited() {
		return &structs.AllowanceReply{Number: request.Number, Outcome: structs.AllowanceNotCoordinator}
	}
	reply := m.slots[request.Slot].allocate(request, m.Tolerance, now)
	if reply.Outcome == structs.AllowanceNotCoordinator {
		m.probePreferred(request.Slot)
	}
	return reply
}

// probePreferred probes the instance that should coordinate a slot, after others took
// this one for the coordinator. After a crash of all instances the list may hold
// instances that never return, which this instance would not detect otherwise.
func (m *Manager) probePreferred(slot int) {
	if first := m.Directory.First(m.Key(slot)); first != "" && first != m.self {
		m.Peers.Probe(first)
	}
}

// Handles reports whether a message is handled by this package.
func Handles(msg structs.Message) bool {
	switch msg.Kind() {
	case structs.KindAllowanceRequest, structs.KindAllowanceReply, structs.KindVoteRequest, structs.KindVoteReply:
		return true
	}
	return false
}

// Receive handles an event of the transport between instances. The directory must have
// been updated with the event before.
func (m *Manager) Receive(event structs.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch e := event.(type) {
	case structs.PeerMessage:
		m.receiveMessage(e.From, e.Msg, now)
	case structs.PeerDown:
		m.renew(now)
		m.retryRequestsTo(e.Peer)
	}
}

func (m *Manager) receiveMessage(from structs.InstanceID, message structs.Message, now time.Time) {
	switch msg := message.(type) {
	case *structs.AllowanceRequest:
		m.Peers.Send(from, m.handleRequest(msg, now))
	case *structs.AllowanceReply:
		if m.pending[msg.Number].to == from {
			m.handleReply(msg, now)
		}
	case *structs.VoteRequest:
		if reply, ok := m.grantVote(msg, from, now); ok {
			m.Peers.Send(from, reply)
		}
	case *structs.VoteReply:
		if m.voteRequests[msg.Number].to == from {
			m.acceptVote(msg, now)
		}
	case *structs.Leaving:
		m.voter.release(from, now)
		m.renew(now)
	}
}

// retryRequestsTo retries the requests sent to an unavailable instance. The mutex is
// held.
func (m *Manager) retryRequestsTo(id structs.InstanceID) {
	for number, sent := range m.pending {
		if sent.to == id {
			m.retryRequest(number, sent)
		}
	}
}
