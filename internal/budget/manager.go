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

// Store is the part of the platform's store that a Manager uses.
type Store interface {
	Append(ctx context.Context, a platform.Append) (int64, error)
	Newest(ctx context.Context, topic string, partition int) (platform.Newest, error)
}

// Peers sends messages to other instances. Sending never blocks; a PeerDown event
// follows a lost message.
type Peers interface {
	Send(to structs.InstanceID, msg structs.Message)
	// Broadcast sends a message to all connected instances.
	Broadcast(msg structs.Message)
	Probe(to structs.InstanceID)
	Watch(peers []structs.InstanceID)
}

// TargetFailures holds the targets that recently broke new connections. Owners pass
// them on with their replies.
type TargetFailures interface {
	TargetFailures(now time.Time) []structs.TargetFailure
	MergeTargetFailures(failures []structs.TargetFailure, now time.Time)
}

// Loads holds the load reports of targets. Instances share them in reservation
// requests and replies.
type Loads interface {
	// OwnLoadReports returns the newest reports that targets sent to this instance.
	OwnLoadReports(now time.Time) []structs.TargetReport
	// LoadReports returns the new reports that this instance knows, from any source.
	LoadReports(now time.Time) []structs.TargetReport
	MergeLoadReports(loads []structs.TargetReport, now time.Time)
	// PoolReports returns what this instance knows of whole services.
	PoolReports(now time.Time) []structs.PoolReport
	MergePoolReports(pools []structs.PoolReport, now time.Time)
}

// Health indicates whether the store serves everything that this instance reads. The
// store may fail for some topics or partitions only, so calls are attempted in any
// case, with shorter timeouts while OK returns false.
type Health interface{ OK() bool }

// Manager allocates tokens from the budgets of programs: directly for the partitions
// that this instance owns, through their owners for the others. It is safe for
// concurrent use.
type Manager struct {
	maxAccounts    int
	self           structs.Peer
	directory      *directory.Directory
	store          Store
	peers          Peers
	targetFailures TargetFailures
	loads          Loads
	health         Health
	log            *slog.Logger
	metrics        metrics
	// ctx ends with the Manager.
	ctx             context.Context
	work            sync.WaitGroup
	leaving         atomic.Bool
	instancesLoaded func() bool
	started         time.Time

	mu sync.Mutex
	// stopped indicates that no more background work is started.
	stopped    bool
	partitions []*partition
	// pending are the requests to other owners in flight.
	pending    map[structs.LeaseID]*pendingRequest
	handovers  map[uint64]chan bool
	lastNumber uint64
	lifetimes  Lifetimes
	// watchVersion is the version of the directory when the watched instances were
	// last computed.
	watchVersion uint64
	// probes are the waits for a probe, by instance.
	probes map[structs.InstanceID][]chan struct{}
}

// partition is the state of one partition as known to this instance. It is guarded by
// the mutex of the Manager.
type partition struct {
	number int
	// owner and epoch are the newest known ownership; owner is empty if unknown.
	owner structs.InstanceID
	epoch int64
	// servedEpoch is the newest epoch under which this instance may have allocated
	// tokens, or has tried to claim with accounts handed over.
	servedEpoch int64
	// own is set while this instance owns the partition.
	own *ownership
	// claiming indicates that a claim is in progress.
	claiming        bool
	waitingForClaim []parkedRequest
	// claimAfter is the earliest time of the next claim after a failed one.
	claimAfter time.Time
}

// parkedRequest is a request that waits for a claim.
type parkedRequest struct {
	request structs.ReservationRequest
	reply   func(result)
}

// Config holds the dependencies of a Manager.
type Config struct {
	Directory *directory.Directory
	// Partitions is the number of partitions of the topic.
	Partitions     int
	Store          Store
	Peers          Peers
	TargetFailures TargetFailures
	Loads          Loads
	Health         Health
	// InstancesLoaded reports whether the list of instances is loaded; nil if it
	// always is.
	InstancesLoaded func() bool
	// MaxAccounts bounds the accounts of the owned partitions, 0 for no bound. Beyond it
	// no program begins; accounts of programs that may return are never dropped.
	MaxAccounts int
	Scope       tally.Scope
	Log         *slog.Logger
}

// New creates a Manager that runs until the context ends.
func New(ctx context.Context, config Config) *Manager {
	m := &Manager{
		maxAccounts: config.MaxAccounts,
		self:        config.Directory.Self(), directory: config.Directory, store: config.Store, peers: config.Peers,
		targetFailures: config.TargetFailures, loads: config.Loads, health: config.Health, log: config.Log, metrics: newMetrics(config.Scope), ctx: ctx,
		instancesLoaded: config.InstancesLoaded, started: time.Now(),
		pending:   make(map[structs.LeaseID]*pendingRequest),
		handovers: make(map[uint64]chan bool),
		probes:    make(map[structs.InstanceID][]chan struct{}),
		lifetimes: defaultLifetimes,
	}
	for i := range config.Partitions {
		m.partitions = append(m.partitions, &partition{number: i})
	}
	return m
}

func (m *Manager) partitionOf(program string) *partition {
	return m.partitions[xxhash.Sum64String(program)%uint64(len(m.partitions))]
}

func (p *partition) key() string { return PartitionKey(p.number) }

// PartitionKey returns the key of a partition for rendezvous hashing.
func PartitionKey(number int) string { return "budgets/" + strconv.Itoa(number) }

// spawn runs work in the background, unless the Manager has stopped. The mutex is
// held.
func (m *Manager) spawn(work func()) {
	if !m.stopped {
		m.work.Go(work)
	}
}

// stop waits for the background work.
func (m *Manager) stop() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.work.Wait()
}

// nextNumber returns a number for a lease or handover. The mutex is held.
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
	case *structs.ReservationRequest:
		m.receiveRequest(from, *msg)
	case *structs.ReservationReply:
		m.receiveReply(from, msg)
	case *structs.ReservationSettle:
		m.receiveSettle(msg)
	case *structs.OwnerNotice:
		m.receiveOwnerNotice(from, msg)
	case *structs.PartitionHandover:
		m.receiveHandover(from, msg)
	case *structs.HandoverReply:
		m.receiveHandoverReply(msg)
	case *structs.TargetFailureNotice:
		m.targetFailures.MergeTargetFailures(msg.Failures, time.Now())
	case *structs.Leaving:
		m.directory.SetLeaving(from)
	default:
		m.log.Warn("ignored message of unexpected kind", "peer", from, "kind", message.Kind())
	}
}

// sweepInterval is the time between two sweeps of expired accounts, which may stay that
// much longer.
const sweepInterval = 5 * time.Second

// evacuateInterval is the time between two attempts to find a successor while the
// store rejects this instance.
const evacuateInterval = 400 * time.Millisecond

// claimInterval is the time between two checks for partitions without an owner. The
// first check runs that long after the start, so that instances that start together
// know each other by then.
const claimInterval = 1500 * time.Millisecond

// Run claims and maintains partitions until the context ends.
func (m *Manager) Run(ctx context.Context) {
	claim := time.NewTicker(claimInterval)
	defer claim.Stop()
	evacuation := time.NewTicker(evacuateInterval)
	defer evacuation.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			m.stop()
			return
		case <-claim.C:
			m.claimVacant()
		case <-evacuation.C:
			if !m.health.OK() && !m.leaving.Load() {
				m.evacuate(ctx)
			}
		case now := <-sweep.C:
			m.sweep(now)
		}
	}
}

// claimVacant claims the partitions that were handed to this instance, and those
// without an available owner for which it ranks first.
func (m *Manager) claimVacant() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rewatchIfChanged()
	known := m.instancesKnown()
	for _, p := range m.partitions {
		if p.own != nil {
			m.extendClaim(p)
		}
		handed := p.own != nil && !p.own.claimed
		vacant := known && p.own == nil && !m.ownerUsable(p) && m.preferredOwner(p) == m.self.ID
		if handed || vacant {
			m.startClaim(p)
		}
	}
}

// preferredOwner returns the instance that should own a partition, empty if there is
// none.
func (m *Manager) preferredOwner(p *partition) structs.InstanceID {
	return m.directory.First(p.key())
}

// listTimeout is how long a starting instance waits for the list of instances before
// it claims partitions on request. Without the list it would rank first for all
// partitions, as would every instance that starts with it.
const listTimeout = 500 * time.Millisecond

// instancesKnown reports whether the list of instances is known.
func (m *Manager) instancesKnown() bool { return m.instancesLoaded == nil || m.instancesLoaded() }

// mayClaim reports whether this instance may claim a partition on request.
func (m *Manager) mayClaim() bool { return m.instancesKnown() || time.Since(m.started) > listTimeout }

// OwnsPartitions reports whether this instance owns any partition.
func (m *Manager) OwnsPartitions() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.partitions, func(p *partition) bool { return p.own != nil })
}

// ownerUsable reports whether another, available instance is known to own the
// partition.
func (m *Manager) ownerUsable(p *partition) bool {
	return p.owner != "" && p.owner != m.self.ID && m.directory.Usable(p.owner)
}

// sweep drops the accounts of expired programs.
func (m *Manager) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.partitions {
		if p.own != nil {
			m.sweepAccounts(p, now)
		}
	}
}
