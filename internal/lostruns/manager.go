package lostruns

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/holders"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// copies is the number of other instances that are told of lost runs.
	copies = 2
	// maxAsked is the number of instances that are asked while the holders change: one
	// may have come back without the runs that it held.
	maxAsked = copies + 1
	// queryQuorum is the number of holders, of maxAsked, of which one at least was told
	// of each run that copies of them acknowledged.
	queryQuorum = maxAsked - copies + 1
	// replyTimeout covers a round trip and a pause of the other instance by CPU
	// throttling.
	replyTimeout = 150 * time.Millisecond
	// firstReplyTimeout is the time after which the other holders are asked, too.
	firstReplyTimeout = 50 * time.Millisecond
	// maxHandedOver bounds the works that are handed over to each instance, below the
	// length of its send queue.
	maxHandedOver = 1 << 10
	// recordPatience is how long the store is waited for after other instances, also if
	// these know the runs: they and this one may end at once.
	recordPatience = 150 * time.Millisecond
	// catchUpTimeout bounds the read of the store in place of replies.
	catchUpTimeout = 150 * time.Millisecond
	// disturbanceTime is how long after the end of a target or an instance first runs are
	// announced.
	disturbanceTime = 5 * time.Second
	// sweepInterval is the time between two sweeps of expired runs.
	sweepInterval = time.Second
)

// Peers sends messages to other instances. Sending never blocks.
type Peers interface {
	Send(to structs.InstanceID, msg structs.Message)
	// TrySend sends a message only if that needs no new connection.
	TrySend(to structs.InstanceID, msg structs.Message) bool
	// Broadcast sends a message to all connected instances.
	Broadcast(msg structs.Message)
}

// Config holds the dependencies of a Manager.
type Config struct {
	Directory *directory.Directory
	// Slots and Key are those of holders.Config.
	Slots int
	Key   func(slot int) string
	Peers Peers
	// Records may be nil: runs are then in memory only.
	Records Records
	Scope   tally.Scope
	Log     *slog.Logger
}

// Manager records and looks up lost runs. It implements serve.LostRuns and is safe for
// concurrent use.
type Manager struct {
	Config
	ring     *holders.Ring
	queries  holders.Queries[*structs.LostRunsReply]
	recorder *recorder
	reads    *freshReads
	metrics  metrics

	mu     sync.Mutex
	runs   *table
	alarms alarms
	// unsupported holds the instances whose builds have no lost runs.
	unsupported map[structs.InstanceID]bool
	// recorded holds the runs that have a record in the store, by key, with the time at
	// which the record may end.
	recorded map[string]time.Time
	// unshared holds the works with runs that too few others know, with the number of
	// instances that still have to be told.
	unshared map[string]int
	// disturbedUntil is the end of the time for which targets or instances count as
	// recently ended.
	disturbedUntil time.Time
}

type metrics struct {
	asked      tally.Counter
	told       tally.Counter
	unanswered tally.Counter
	read       tally.Counter
	// announced counts the first runs of which another instance was told.
	announced tally.Counter
}

// New creates a Manager.
func New(config Config) *Manager {
	m := &Manager{
		Config: config,
		ring:   holders.NewRing(holders.Config{Directory: config.Directory, Slots: config.Slots, Key: config.Key, Count: maxAsked}),
		metrics: metrics{
			asked: config.Scope.Counter("lost_runs_queries"), told: config.Scope.Counter("lost_runs_notices"),
			unanswered: config.Scope.Counter("lost_runs_unanswered"), read: config.Scope.Counter("lost_runs_reads"),
			announced: config.Scope.Counter("first_runs_announced"),
		},
		runs: newTable(), alarms: newAlarms(), unsupported: make(map[structs.InstanceID]bool),
		recorded: make(map[string]time.Time), unshared: make(map[string]int),
	}
	if config.Records != nil {
		m.recorder = newRecorder(config.Records, config.Log)
		m.reads = &freshReads{read: config.Records.CatchUp}
	}
	return m
}

// Run drops expired runs and follows the list of instances until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	if m.recorder != nil {
		work.Go(func() { m.recorder.run(ctx) })
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.mu.Lock()
			m.runs.sweep(now)
			maps.DeleteFunc(m.unshared, func(work string, _ int) bool { return m.runs.works[work] == nil })
			m.alarms.sweep(now)
			m.mu.Unlock()
			m.ring.Refresh()
			m.endRecords(now)
		}
	}
}

// Exchange implements serve.LostRuns.
func (m *Manager) Exchange(work serve.Work, runs structs.Runs) serve.RunsExchange {
	m.merge(work.ID, runs, work.Lifetime)
	all, stable := m.holdersOf(work)
	e := &exchange{manager: m, work: work, runs: runs, rest: all, needed: copies, stable: stable}
	switch {
	case len(runs) > 0:
		e.recording = m.record(work, runs)
		e.tell(min(copies, len(all)))
		e.rest = append(slices.Clone(e.rest), m.connectedExcept(all)...)
	case stable && len(all) > 0 && m.knowsNothing(all[0]):
		e.rest = nil
		e.ask(0)
	case stable:
		e.ask(min(1, len(all)))
	default:
		e.ask(len(all))
	}
	return e
}

// Announce implements serve.LostRuns.
func (m *Manager) Announce(work serve.Work, run structs.Run) serve.RunsExchange {
	run.InProgressAt = m.Directory.Self().ID
	runs := structs.Runs{run}
	m.merge(work.ID, runs, work.Lifetime)
	all, _ := m.holdersOf(work)
	e := &exchange{manager: m, work: work, runs: runs, rest: append(slices.Clone(all), m.connectedExcept(all)...), needed: 1, firstRun: true}
	m.metrics.announced.Inc(1)
	e.tell(min(1, len(e.rest)))
	return e
}

// Disturbed implements serve.LostRuns.
func (m *Manager) Disturbed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.disturbedUntil)
}

// InstanceEnded records that another instance, or an earlier one on this machine, has ended.
func (m *Manager) InstanceEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturb(time.Now())
}

// disturb records that a target or an instance has ended. The mutex must be held.
func (m *Manager) disturb(now time.Time) {
	if until := now.Add(disturbanceTime); until.After(m.disturbedUntil) {
		m.disturbedUntil = until
	}
}

// HandOver tells the connected instances of the lost runs known here, before this instance
// ends. The holders of each piece of work are not known here.
func (m *Manager) HandOver() {
	notices := m.handedOver()
	for _, id := range m.connectedExcept(nil) {
		for _, notice := range notices {
			m.Peers.TrySend(id, notice)
		}
	}
}

// handedOver returns notices of the works with lost runs known here.
func (m *Manager) handedOver() []*structs.LostRunsNotice {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var notices []*structs.LostRunsNotice
	for work, e := range m.runs.works {
		if len(notices) == maxHandedOver {
			break
		}
		if left := e.expiresAt.Sub(now); left > 0 && len(e.runs.Targets(structs.LostRunOpen, structs.LostRunClosed, structs.LostRunTargetEnded)) > 0 {
			notices = append(notices, &structs.LostRunsNotice{Work: work, Runs: e.clone().Outgoing(now), Lifetime: left})
		}
	}
	return notices
}

// merge adds lost runs and returns all that are known of the work. Other instances are
// alarmed before any of them is told.
func (m *Manager) merge(work string, runs structs.Runs, lifetime time.Duration) structs.Runs {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if len(runs) > 0 && m.alarms.raise(lifetime, now) {
		m.Peers.Broadcast(m.alarms.message(now))
	}
	if len(runs.Targets(structs.LostRunTargetEnded)) > 0 {
		m.disturb(now)
	}
	return m.runs.merge(work, runs, lifetime, now)
}

// lost returns the runs that are not in progress at an instance that responds.
func (m *Manager) lost(runs structs.Runs) structs.Runs {
	return slices.DeleteFunc(runs, func(run structs.Run) bool {
		return run.State == structs.LostRunOpen && run.InProgressAt != "" && m.Directory.Usable(run.InProgressAt)
	})
}

// knowsNothing reports whether another instance would have raised an alarm here if it knew
// lost runs.
func (m *Manager) knowsNothing(id structs.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alarms.absent(id, time.Now())
}

// holdersOf returns the holders of a piece of work that know of lost runs, and whether
// they know all recorded ones.
func (m *Manager) holdersOf(work serve.Work) ([]structs.InstanceID, bool) {
	all, stable := m.ring.OfStable(work.Key, work.Lifetime)
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.unsupported) == 0 {
		return all, stable
	}
	return slices.DeleteFunc(slices.Clone(all), func(id structs.InstanceID) bool { return m.unsupported[id] }), stable
}

// knowsEarlierBuilds reports whether there are instances whose builds have no lost runs.
func (m *Manager) knowsEarlierBuilds() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unsupported) > 0
}

// connectedExcept returns the connected instances that know of lost runs, except some.
func (m *Manager) connectedExcept(some []structs.InstanceID) []structs.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(m.alarms.connections(), func(id structs.InstanceID) bool {
		return m.unsupported[id] || slices.Contains(some, id)
	})
}

// Handles reports whether a message is one of this package.
func Handles(message structs.Message) bool {
	switch message.(type) {
	case *structs.LostRunsNotice, *structs.LostRunsReply, *structs.LostRunsAlarm:
		return true
	}
	return false
}

// Receive handles an event of the transport between instances.
func (m *Manager) Receive(event structs.Event) {
	switch e := event.(type) {
	case structs.PeerMessage:
		m.receiveMessage(e.From, e.Msg)
	case structs.PeerUp:
		m.peerUp(e.Peer)
	case structs.PeerDown:
		m.mu.Lock()
		if m.alarms.disconnected(e.Peer) {
			m.disturb(time.Now())
		}
		m.mu.Unlock()
		m.queries.PeerDown(e.Peer)
	case structs.MessageUnsupported:
		if e.Kind == structs.KindLostRunsNotice {
			m.mu.Lock()
			m.unsupported[e.Peer] = true
			m.mu.Unlock()
			m.queries.PeerDown(e.Peer)
		}
	}
}

func (m *Manager) receiveMessage(from structs.InstanceID, message structs.Message) {
	switch msg := message.(type) {
	case *structs.LostRunsNotice:
		now := time.Now()
		known := m.merge(msg.Work, msg.Runs.Incoming(now), msg.Lifetime)
		m.Peers.Send(from, &structs.LostRunsReply{Number: msg.Number, Runs: known.Outgoing(now)})
	case *structs.LostRunsAlarm:
		m.mu.Lock()
		m.alarms.heard(from, msg.Duration, time.Now())
		m.mu.Unlock()
	case *structs.LostRunsReply:
		m.queries.Receive(from, msg.Number, msg)
	}
}

// peerUp sends an alarm that is in force to an instance that has connected.
func (m *Manager) peerUp(id structs.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.alarms.connected(id, now) || !m.alarms.inForce(now) {
		return
	}
	m.Peers.Send(id, m.alarms.message(now))
	for work := range m.unshared {
		m.tellUnshared(id, work, now)
	}
}

// tellUnshared tells an instance of runs that too few others know. The mutex must be held.
func (m *Manager) tellUnshared(id structs.InstanceID, work string, now time.Time) {
	e, ok := m.runs.works[work]
	if ok && now.Before(e.expiresAt) {
		m.Peers.Send(id, &structs.LostRunsNotice{Work: work, Runs: e.clone().Outgoing(now), Lifetime: e.expiresAt.Sub(now)})
		m.unshared[work]--
	}
	if !ok || m.unshared[work] <= 0 {
		delete(m.unshared, work)
	}
}
