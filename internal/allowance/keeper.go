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
	// replyTimeout is how long a coordinator may take to answer before it is asked
	// for a heartbeat and whoever coordinates then is asked instead. A round trip
	// takes a few milliseconds; one that used up its share of the processor pauses
	// for up to 100 ms. What is dealt out is used within this time.
	replyTimeout = 200 * time.Millisecond
	// holdPause bounds the time until room is asked for again for requests that are
	// held.
	holdPause = 100 * time.Millisecond
	// noSharePause is the time before somebody is asked again who holds no votes:
	// a new coordinator collects them within a few round trips.
	noSharePause = 40 * time.Millisecond
	// patience is how long a request waits for word from a coordinator. Turning a
	// request of a program under way away ends the program, so it is longer than
	// the loss of a coordinator goes unnoticed.
	patience = 1100 * time.Millisecond
	// holdMost is how long a request of a program under way is held if there will
	// be room by then: refusing it ends the program. It is below patience.
	holdMost = 900 * time.Millisecond
	// doubtedInterval is the time between two requests for the vote of an instance
	// that did not answer: each may cost a dial.
	doubtedInterval = time.Second
)

// Peers sends messages to other instances. Sending never blocks.
type Peers interface {
	Send(to structs.InstanceID, msg structs.Message)
	Probe(to structs.InstanceID)
}

// Config are what a Keeper works with.
type Config struct {
	Directory *directory.Directory
	// Slots is the number of slots, of which maxSlots are used at most, Key the key
	// of a slot's rendezvous hash. Slots that share the keys of the budgets'
	// partitions have their owners as coordinators, to whom connections exist.
	Slots     int
	Key       func(slot int) string
	Tolerance Tolerance
	Peers     Peers
	// Listed tells whether all instances are known. Nobody votes before: votes
	// count by the number of all.
	Listed func() bool
	Scope  tally.Scope
	Log    *slog.Logger
}

// Manager lets requests in within their organisations' limits. It is safe for
// concurrent use.
type Manager struct {
	Config
	self    structs.InstanceID
	metrics metrics

	mu      sync.Mutex
	voter   *voter
	slots   []*slot
	lines   map[string]*line
	number  uint64
	pending map[uint64]sentAsk
	// requests holds when votes were asked for, by number.
	requests map[uint64]sentRequest
	doubted  map[structs.InstanceID]time.Time
	// active tells that some organisation has a limit.
	active bool
	// leaving tells that this instance coordinates nothing any more.
	leaving bool
}

// sentAsk is an ask under way.
type sentAsk struct {
	line *line
	to   structs.InstanceID
}

// sentRequest is a request for a vote under way.
type sentRequest struct {
	slot int
	to   structs.InstanceID
	at   time.Time
}

// New makes a Keeper.
func New(parts Config) *Manager {
	parts.Slots = min(parts.Slots, maxSlots)
	k := &Manager{
		Config: parts, self: parts.Directory.Self().ID, metrics: newMetrics(parts.Scope),
		voter: newVoter(parts.Slots, parts.Tolerance.Window, time.Now()),
		lines: make(map[string]*line), pending: make(map[uint64]sentAsk),
		requests: make(map[uint64]sentRequest), doubted: make(map[structs.InstanceID]time.Time),
	}
	for i := range parts.Slots {
		k.slots = append(k.slots, newSlot(i))
	}
	return k
}

// SetActive tells whether any organisation has a limit. Without one no messages
// are sent.
func (k *Manager) SetActive(active bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.active = active
}

// Run collects votes until the context ends.
func (k *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.mu.Lock()
			k.renew(time.Now())
			k.mu.Unlock()
		}
	}
}

// Leave gives up what this instance coordinates. It has to be called before
// others are told that this instance leaves: they lend their votes anew then.
func (k *Manager) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	now := time.Now()
	for _, s := range k.slots {
		s.dropVotes(now)
	}
}

// slotOf is the slot of an organisation.
func (k *Manager) slotOf(organisation string) int {
	return int(xxhash.Sum64String(organisation) % uint64(len(k.slots)))
}

// Admit lets a request in or tells why not: with a *serve.OverLimitError,
// serve.ErrLimitUnknown if nobody who could tell answers, or the error of the
// context.
func (k *Manager) Admit(ctx context.Context, entry serve.AllowanceRequest) (serve.Permit, error) {
	if !entry.Limit.Limited() {
		return noPermit{}, nil
	}
	now := time.Now()
	w := &waiter{
		first: entry.First, rank: min(max(entry.Priority, 0), structs.AllowanceRanks-1),
		program: programHash(entry.Program), until: now.Add(holdMost), verdict: make(chan verdict, 1),
	}
	k.mu.Lock()
	l := k.lineOf(entry)
	l.waiting = append(l.waiting, w)
	k.startAsk(l, now)
	k.mu.Unlock()
	return k.await(ctx, l, w)
}

// programHash stands for a program in messages, 0 for none.
func programHash(program string) uint64 {
	if program == "" {
		return 0
	}
	return xxhash.Sum64String(program)
}

// await waits for the verdict on a request.
func (k *Manager) await(ctx context.Context, l *line, w *waiter) (serve.Permit, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var err error
	select {
	case got := <-w.verdict:
		return k.conclude(l, w, got)
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = serve.ErrLimitUnknown
	}
	k.mu.Lock()
	left := l.leave(w)
	k.mu.Unlock()
	if !left {
		return k.conclude(l, w, <-w.verdict)
	}
	k.metrics.unknown.Inc(1)
	return nil, err
}

func (k *Manager) conclude(l *line, w *waiter, got verdict) (serve.Permit, error) {
	if got.admitted {
		k.metrics.admitted.Inc(1)
		return permit{keeper: k, line: l, first: w.first}, nil
	}
	k.metrics.refused.Inc(1)
	k.mu.Lock()
	limit := l.limit
	k.mu.Unlock()
	return nil, &serve.OverLimitError{
		RetryAfter: got.reply.RetryAfter, Limit: limit, Remaining: got.reply.Left, Votes: got.reply.Votes,
		Coordinator: got.coordinator,
	}
}

// lineOf is what waits of an organisation, under its newest limit. The mutex is
// held.
func (k *Manager) lineOf(entry serve.AllowanceRequest) *line {
	l := k.lines[entry.Organisation]
	if l == nil {
		l = &line{organisation: entry.Organisation}
		k.lines[entry.Organisation] = l
	}
	if entry.Version >= l.version {
		l.limit, l.version = entry.Limit, entry.Version
	}
	return l
}

// startAsk asks the coordinator of an organisation, unless an ask is under way.
// The mutex is held.
func (k *Manager) startAsk(l *line, now time.Time) {
	if l.asking != 0 {
		return
	}
	slot := k.slotOf(l.organisation)
	to := k.Directory.First(k.Key(slot))
	if to == "" {
		return
	}
	k.number++
	ask := l.askOf(to, k.number, slot)
	k.pending[ask.Number] = sentAsk{line: l, to: to}
	k.metrics.asks.Inc(1)
	if to == k.self {
		k.settle(k.serveAsk(ask, now), now)
		return
	}
	k.Peers.Send(to, ask)
	time.AfterFunc(replyTimeout, func() { k.unanswered(ask.Number) })
}

// unanswered asks anew after an ask that got no answer in time. What a later
// answer grants is used by nobody.
func (k *Manager) unanswered(number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	sent, ok := k.pending[number]
	if !ok {
		return
	}
	k.Peers.Probe(sent.to)
	k.askAnew(number, sent)
}

// askAnew gives an ask up and asks again if requests wait. The mutex is held.
func (k *Manager) askAnew(number uint64, sent sentAsk) {
	delete(k.pending, number)
	sent.line.asking, sent.line.asked = 0, nil
	k.askForWaiting(sent.line)
}

// askForWaiting asks again if requests wait, or permits are to be given back. The
// mutex is held.
func (k *Manager) askForWaiting(l *line) {
	if len(l.waiting) > 0 || l.returned > 0 || l.returnedStarts > 0 {
		k.startAsk(l, time.Now())
	}
}

// settle takes an answer. The mutex is held.
func (k *Manager) settle(reply *structs.AllowanceReply, now time.Time) {
	sent, ok := k.pending[reply.Number]
	if !ok {
		return
	}
	delete(k.pending, reply.Number)
	newcomers := len(sent.line.waiting) > len(sent.line.asked)
	sent.line.settle(reply, sent.to, now)
	if len(sent.line.waiting) == 0 {
		k.askForWaiting(sent.line)
		return
	}
	pause := noSharePause
	switch {
	case reply.Outcome != structs.AllowanceDealt:
	case newcomers:
		pause = 0
	default:
		pause = min(reply.RetryAfter, holdPause)
	}
	time.AfterFunc(pause, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.askForWaiting(sent.line)
	})
}

// serveAsk answers an ask as the coordinator. The mutex is held.
func (k *Manager) serveAsk(ask *structs.AllowanceAsk, now time.Time) *structs.AllowanceReply {
	if ask.Slot < 0 || ask.Slot >= len(k.slots) || !(org.Limit{PerSecond: ask.PerSecond}).Limited() {
		return &structs.AllowanceReply{Number: ask.Number, Outcome: structs.AllowanceNoShare}
	}
	reply := k.slots[ask.Slot].serve(ask, k.Tolerance, now)
	if reply.Outcome == structs.AllowanceNoShare {
		k.confirmFirst(ask.Slot)
	}
	return reply
}

// confirmFirst asks the instance that should coordinate a slot for a heartbeat,
// since others took this one for it. After a loss of all instances the list holds
// some that are gone for good, and nothing else would tell this one so: a slot had
// no coordinator for 7 s.
func (k *Manager) confirmFirst(slot int) {
	if first := k.Directory.First(k.Key(slot)); first != "" && first != k.self {
		k.Peers.Probe(first)
	}
}

// Handles tells whether a message is about allowances.
func Handles(msg structs.Message) bool {
	switch msg.Kind() {
	case structs.KindAllowanceAsk, structs.KindAllowanceReply, structs.KindVoteRequest, structs.KindVoteReply:
		return true
	}
	return false
}

// Receive handles an event of the transport between instances. The directory
// must know of it before.
func (k *Manager) Receive(event structs.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	switch e := event.(type) {
	case structs.PeerMessage:
		k.receiveMessage(e.From, e.Msg, now)
	case structs.PeerDown:
		k.renew(now)
		k.askElsewhere(e.Peer)
	}
}

func (k *Manager) receiveMessage(from structs.InstanceID, msg structs.Message, now time.Time) {
	switch m := msg.(type) {
	case *structs.AllowanceAsk:
		k.Peers.Send(from, k.serveAsk(m, now))
	case *structs.AllowanceReply:
		if k.pending[m.Number].to == from {
			k.settle(m, now)
		}
	case *structs.VoteRequest:
		if reply, ok := k.lend(m, from, now); ok {
			k.Peers.Send(from, reply)
		}
	case *structs.VoteReply:
		if k.requests[m.Number].to == from {
			k.takeVote(m, now)
		}
	case *structs.Leaving:
		k.voter.release(from, now)
		k.renew(now)
	}
}

// askElsewhere asks anew what was asked of an instance that does not answer. The
// mutex is held.
func (k *Manager) askElsewhere(id structs.InstanceID) {
	for number, sent := range k.pending {
		if sent.to == id {
			k.askAnew(number, sent)
		}
	}
}
