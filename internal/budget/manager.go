package budget

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// Store is what a Keeper needs of the platform's store.
type Store interface {
	Append(ctx context.Context, a platform.Append) (int64, error)
	Newest(ctx context.Context, topic string, partition int) (platform.Newest, error)
}

// Peers sends messages to other instances. Sending never blocks; a message
// that is lost is followed by PeerDown.
type Peers interface {
	Send(to structs.InstanceID, msg structs.Message)
	// Broadcast sends a message to all instances that are connected.
	Broadcast(msg structs.Message)
	Probe(to structs.InstanceID)
	Watch(peers []structs.InstanceID)
}

// Breaks are the targets that broke connections lately. Owners pass them on with
// their replies, which reach all instances that serve programs.
type Breaks interface {
	Breaks(now time.Time) []structs.TargetBreak
	Hear(breaks []structs.TargetBreak, now time.Time)
}

// Loads are the reports of targets' loads, which instances share with their
// requests for room and the replies to them.
type Loads interface {
	// OwnLoads are the newest reports that targets gave this instance.
	OwnLoads(now time.Time) []structs.TargetReport
	// Loads are new reports that this instance knows, whoever heard them.
	Loads(now time.Time) []structs.TargetReport
	HearLoads(loads []structs.TargetReport, now time.Time)
	// PoolReports tell what this instance knows of whole services.
	PoolReports(now time.Time) []structs.PoolReport
	HearPools(pools []structs.PoolReport, now time.Time)
}

// Health tells whether the store answers all that this instance reads. It may
// fail to serve some topics or partitions while it serves others, so what a
// partition can do is found out by trying; the tries are shorter meanwhile.
type Health interface{ OK() bool }

// Manager hands out room in programs' budgets: for the partitions that this
// instance owns by itself, for the others through their owners. It is safe for
// concurrent use.
type Manager struct {
	self      structs.Peer
	directory *directory.Directory
	store     Store
	peers     Peers
	breaks    Breaks
	loads     Loads
	health    Health
	log       *slog.Logger
	metrics   metrics
	// ctx ends with the Keeper.
	ctx     context.Context
	work    sync.WaitGroup
	leaving atomic.Bool
	listed  func() bool
	started time.Time

	mu sync.Mutex
	// stopped tells that no more work is begun.
	stopped    bool
	partitions []*partition
	// pending are this instance's requests to other owners.
	pending    map[structs.RoomLease]*pendingRequest
	handovers  map[uint64]chan bool
	lastNumber uint64
	// watchVersion is the version of the directory by which it was last decided whom to
	// watch.
	watchVersion uint64
	// probes wait to hear whether an instance answers.
	probes map[structs.InstanceID][]chan struct{}
}

// partition is what this instance knows of one partition. The mutex of the
// Keeper guards it.
type partition struct {
	number int
	// owner and epoch are the newest known ownership; empty if unknown.
	owner structs.InstanceID
	epoch int64
	// servedEpoch is the newest epoch under which this instance may have handed out
	// room, or has tried to claim accounts that had.
	servedEpoch int64
	// own is set while this instance owns the partition.
	own *ownership
	// claiming tells that a claim is under way; parked asks wait for it.
	claiming        bool
	waitingForClaim []parkedRequest
	// claimAfter is when a claim may be tried again after one that failed.
	claimAfter time.Time
}

// parkedRequest is an ask that waits for a claim.
type parkedRequest struct {
	request structs.RoomRequest
	reply   func(result)
}

// Config are what a Keeper works with.
type Config struct {
	Directory *directory.Directory
	// Partitions is the number of the topic's partitions.
	Partitions int
	Store      Store
	Peers      Peers
	Breaks     Breaks
	Loads      Loads
	Health     Health
	// Listed tells whether the list of instances is known; nil if it always is.
	Listed func() bool
	Scope  tally.Scope
	Log    *slog.Logger
}

// New makes a Keeper that works until the context ends.
func New(ctx context.Context, parts Config) *Manager {
	m := &Manager{
		self: parts.Directory.Self(), directory: parts.Directory, store: parts.Store, peers: parts.Peers,
		breaks: parts.Breaks, loads: parts.Loads, health: parts.Health, log: parts.Log, metrics: newMetrics(parts.Scope), ctx: ctx,
		listed: parts.Listed, started: time.Now(),
		pending:   make(map[structs.RoomLease]*pendingRequest),
		handovers: make(map[uint64]chan bool),
		probes:    make(map[structs.InstanceID][]chan struct{}),
	}
	for i := range parts.Partitions {
		m.partitions = append(m.partitions, &partition{number: i})
	}
	return m
}

// partitionOf is the partition of a program.
func (m *Manager) partitionOf(program string) *partition {
	return m.partitions[xxhash.Sum64String(program)%uint64(len(m.partitions))]
}

// key is what the rendezvous hash of a partition's owner is made of.
func (p *partition) key() string { return PartitionKey(p.number) }

// PartitionKey is the key of a partition's rendezvous hash.
func PartitionKey(number int) string { return "budgets/" + strconv.Itoa(number) }

// spawn works in the background, unless the Keeper has stopped. The mutex is
// held.
func (m *Manager) spawn(work func()) {
	if !m.stopped {
		m.work.Go(work)
	}
}

// stop waits for what works in the background.
func (m *Manager) stop() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.work.Wait()
}

// nextNumber numbers leases and handovers. The mutex is held.
func (m *Manager) nextNumber() uint64 {
	m.lastNumber++
	return m.lastNumber
}

// Receive handles an event of the transport between instances.
func (m *Manager) Receive(event structs.Event) {
	switch e := event.(type) {
	case structs.PeerMessage:
		m.receiveMessage(e.From, e.Msg)
	case structs.PeerUp:
		m.peerUp(e.Peer)
	case structs.PeerDown:
		m.peerDown(e.Peer)
	}
}

func (m *Manager) receiveMessage(from structs.InstanceID, message structs.Message) {
	switch msg := message.(type) {
	case *structs.RoomRequest:
		m.receiveRequest(from, *msg)
	case *structs.RoomReply:
		m.receiveReply(from, msg)
	case *structs.RoomSettle:
		m.receiveSettle(msg)
	case *structs.OwnerNotice:
		m.receiveNotice(from, msg)
	case *structs.PartitionHandover:
		m.receiveHandover(from, msg)
	case *structs.HandoverReply:
		m.receiveHandoverReply(msg)
	case *structs.TargetNotice:
		m.breaks.Hear(msg.Breaks, time.Now())
	case *structs.Leaving:
		m.directory.SetLeaving(from)
	default:
		m.log.Warn("message of an unexpected kind ignored", "peer", from, "kind", message.Kind())
	}
}

// sweepInterval is the time between two searches for programs that cannot come
// back; they may stay some seconds longer.
const sweepInterval = 5 * time.Second

// evacuateInterval is the time between two searches for an instance that takes
// over the partitions of one which the store refuses; each asks one instance.
const evacuateInterval = 400 * time.Millisecond

// claimInterval is the time between two searches for partitions to claim that
// nobody asked for. The first comes that long after the start, so that
// instances that start together know each other by then.
const claimInterval = 1500 * time.Millisecond

// Run keeps the partitions until the context ends.
func (m *Manager) Run(ctx context.Context) {
	claim := time.NewTicker(claimInterval)
	defer claim.Stop()
	relief := time.NewTicker(evacuateInterval)
	defer relief.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			m.stop()
			return
		case <-claim.C:
			m.claimVacant()
		case <-relief.C:
			if !m.health.OK() && !m.leaving.Load() {
				m.evacuate(ctx)
			}
		case now := <-sweep.C:
			m.sweep(now)
		}
	}
}

// claimVacant claims the partitions that were handed to this instance, and
// those without a known usable owner for which it ranks first.
func (m *Manager) claimVacant() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rewatchIfChanged()
	known := m.instancesKnown()
	for _, p := range m.partitions {
		handed := p.own != nil && !p.own.claimed
		vacant := known && p.own == nil && !m.ownerUsable(p) && m.preferredOwner(p) == m.self.ID
		if handed || vacant {
			m.startClaim(p)
		}
	}
}

// preferredOwner is the instance that should own a partition, empty if there is
// none.
func (m *Manager) preferredOwner(p *partition) structs.InstanceID {
	return m.directory.First(p.key())
}

// listTimeout is how long an instance that starts waits for the list of instances
// before it claims what it is asked for: alone it would take itself for the first
// choice of all partitions, as all that start with it would.
const listTimeout = 500 * time.Millisecond

// instancesKnown tells whether the list of instances is known.
func (m *Manager) instancesKnown() bool { return m.listed == nil || m.listed() }

// mayClaim tells whether this instance may claim a partition that it is asked for.
func (m *Manager) mayClaim() bool { return m.instancesKnown() || time.Since(m.started) > listTimeout }

// OwnsPartitions tells whether this instance owns a partition.
func (m *Manager) OwnsPartitions() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.partitions, func(p *partition) bool { return p.own != nil })
}

// ownerUsable tells whether another instance is known to own the partition and
// answers.
func (m *Manager) ownerUsable(p *partition) bool {
	return p.owner != "" && p.owner != m.self.ID && m.directory.Usable(p.owner)
}

// sweep forgets programs that cannot come back.
func (m *Manager) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.partitions {
		if p.own != nil {
			m.sweepAccounts(p, now)
		}
	}
}
