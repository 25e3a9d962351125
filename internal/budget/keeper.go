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
	MergeBreaks(breaks []structs.TargetBreak, now time.Time)
}

// Loads are the reports of targets' loads, which instances share with their
// requests for room and the replies to them.
type Loads interface {
	// OwnLoadReports are the newest reports that targets gave this instance.
	OwnLoadReports(now time.Time) []structs.TargetReport
	// LoadReports are new reports that this instance knows, whoever heard them.
	LoadReports(now time.Time) []structs.TargetReport
	MergeLoadReports(loads []structs.TargetReport, now time.Time)
	// PoolReports tell what this instance knows of whole services.
	PoolReports(now time.Time) []structs.PoolReport
	MergePoolReports(pools []structs.PoolReport, now time.Time)
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
	pending   map[structs.RoomLease]*pendingAsk
	handovers map[uint64]chan bool
	number    uint64
	// watchedAt is the version of the directory by which it was last decided whom to
	// watch.
	watchedAt uint64
	// confirms wait to hear whether an instance answers.
	confirms map[structs.InstanceID][]chan struct{}
}

// partition is what this instance knows of one partition. The mutex of the
// Keeper guards it.
type partition struct {
	number int
	// owner and epoch are the newest known ownership; empty if unknown.
	owner structs.InstanceID
	epoch int64
	// served is the newest epoch under which this instance may have handed out
	// room, or has tried to claim accounts that had.
	served int64
	// own is set while this instance owns the partition.
	own *ownership
	// claiming tells that a claim is under way; parked asks wait for it.
	claiming bool
	parked   []parkedAsk
	// claimAfter is when a claim may be tried again after one that failed.
	claimAfter time.Time
}

// parkedAsk is an ask that waits for a claim.
type parkedAsk struct {
	request structs.RoomRequest
	reply   func(answer)
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
	k := &Manager{
		self: parts.Directory.Self(), directory: parts.Directory, store: parts.Store, peers: parts.Peers,
		breaks: parts.Breaks, loads: parts.Loads, health: parts.Health, log: parts.Log, metrics: newMetrics(parts.Scope), ctx: ctx,
		listed: parts.Listed, started: time.Now(),
		pending:   make(map[structs.RoomLease]*pendingAsk),
		handovers: make(map[uint64]chan bool),
		confirms:  make(map[structs.InstanceID][]chan struct{}),
	}
	for i := range parts.Partitions {
		k.partitions = append(k.partitions, &partition{number: i})
	}
	return k
}

// partitionOf is the partition of a program.
func (k *Manager) partitionOf(program string) *partition {
	return k.partitions[xxhash.Sum64String(program)%uint64(len(k.partitions))]
}

// key is what the rendezvous hash of a partition's owner is made of.
func (p *partition) key() string { return PartitionKey(p.number) }

// PartitionKey is the key of a partition's rendezvous hash.
func PartitionKey(number int) string { return "budgets/" + strconv.Itoa(number) }

// spawn works in the background, unless the Keeper has stopped. The mutex is
// held.
func (k *Manager) spawn(work func()) {
	if !k.stopped {
		k.work.Go(work)
	}
}

// stop waits for what works in the background.
func (k *Manager) stop() {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.work.Wait()
}

// nextNumber numbers leases and handovers. The mutex is held.
func (k *Manager) nextNumber() uint64 {
	k.number++
	return k.number
}

// Receive handles an event of the transport between instances.
func (k *Manager) Receive(event structs.Event) {
	switch e := event.(type) {
	case structs.PeerMessage:
		k.receiveMessage(e.From, e.Msg)
	case structs.PeerUp:
		k.peerUp(e.Peer)
	case structs.PeerDown:
		k.peerDown(e.Peer)
	}
}

func (k *Manager) receiveMessage(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.RoomRequest:
		k.receiveRequest(from, *m)
	case *structs.RoomReply:
		k.receiveReply(from, m)
	case *structs.RoomSettle:
		k.receiveSettle(m)
	case *structs.OwnerNotice:
		k.receiveNotice(from, m)
	case *structs.PartitionHandover:
		k.receiveHandover(from, m)
	case *structs.HandoverReply:
		k.receiveHandoverReply(m)
	case *structs.TargetNotice:
		k.breaks.MergeBreaks(m.Breaks, time.Now())
	case *structs.Leaving:
		k.directory.SetLeaving(from)
	default:
		k.log.Warn("message of an unexpected kind ignored", "peer", from, "kind", msg.Kind())
	}
}

// sweepInterval is the time between two searches for programs that cannot come
// back; they may stay some seconds longer.
const sweepInterval = 5 * time.Second

// reliefInterval is the time between two searches for an instance that takes
// over the partitions of one which the store refuses; each asks one instance.
const reliefInterval = 400 * time.Millisecond

// claimInterval is the time between two searches for partitions to claim that
// nobody asked for. The first comes that long after the start, so that
// instances that start together know each other by then.
const claimInterval = 1500 * time.Millisecond

// Run keeps the partitions until the context ends.
func (k *Manager) Run(ctx context.Context) {
	claim := time.NewTicker(claimInterval)
	defer claim.Stop()
	relief := time.NewTicker(reliefInterval)
	defer relief.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			k.stop()
			return
		case <-claim.C:
			k.claimVacant()
		case <-relief.C:
			if !k.health.OK() && !k.leaving.Load() {
				k.relieve(ctx)
			}
		case now := <-sweep.C:
			k.sweep(now)
		}
	}
}

// claimVacant claims the partitions that were handed to this instance, and
// those without a known usable owner for which it ranks first.
func (k *Manager) claimVacant() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watchChanged()
	known := k.knowsOthers()
	for _, p := range k.partitions {
		handed := p.own != nil && !p.own.claimed
		vacant := known && p.own == nil && !k.ownerUsable(p) && k.firstChoice(p) == k.self.ID
		if handed || vacant {
			k.startClaim(p)
		}
	}
}

// firstChoice is the instance that should own a partition, empty if there is
// none.
func (k *Manager) firstChoice(p *partition) structs.InstanceID {
	return k.directory.First(p.key())
}

// listPatience is how long an instance that starts waits for the list of instances
// before it claims what it is asked for: alone it would take itself for the first
// choice of all partitions, as all that start with it would.
const listPatience = 500 * time.Millisecond

// knowsOthers tells whether the list of instances is known.
func (k *Manager) knowsOthers() bool { return k.listed == nil || k.listed() }

// mayClaim tells whether this instance may claim a partition that it is asked for.
func (k *Manager) mayClaim() bool { return k.knowsOthers() || time.Since(k.started) > listPatience }

// OwnsPartitions tells whether this instance owns a partition.
func (k *Manager) OwnsPartitions() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.partitions, func(p *partition) bool { return p.own != nil })
}

// ownerUsable tells whether another instance is known to own the partition and
// answers.
func (k *Manager) ownerUsable(p *partition) bool {
	return p.owner != "" && p.owner != k.self.ID && k.directory.Usable(p.owner)
}

// sweep forgets programs that cannot come back.
func (k *Manager) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.partitions {
		if p.own != nil {
			k.sweepAccounts(p, now)
		}
	}
}
