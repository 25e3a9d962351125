package conversation

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// Store is the part of the platform's store that a Manager uses.
type Store interface {
	Append(ctx context.Context, a platform.Append) (int64, error)
	NewestPage(ctx context.Context, topic string, partition int, after string) (platform.Newest, bool, error)
	ReadPage(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.Page, error)
	Trim(ctx context.Context, topic string, partition int, before int64) error
}

// Peers sends messages to other instances. Sending never blocks; a lost message
// is followed by PeerDown.
type Peers interface {
	Send(to structs.InstanceID, msg structs.Message)
	// Broadcast sends a message to all connected instances.
	Broadcast(msg structs.Message)
	// Probe requests a heartbeat from an instance. If none arrives, PeerDown
	// follows and the connection is closed.
	Probe(to structs.InstanceID)
}

// Health reports whether the store responds to this instance's reads of other
// topics.
type Health interface{ OK() bool }

// Manager stores and finds conversations. It is safe for concurrent use.
type Manager struct {
	self      structs.Peer
	directory *directory.Directory
	store     Store
	peers     Peers
	health    Health
	log       *slog.Logger
	metrics   metrics
	started   time.Time
	// ctx ends when the Manager stops.
	ctx  context.Context
	work sync.WaitGroup

	mu sync.Mutex
	// stopped prevents new background work.
	stopped    bool
	memory     memory
	partitions []*partition
	// pending holds this instance's queries to others, by number.
	pending    map[uint64]*pendingQuery
	lastNumber uint64
	// avoidUntil is the time until which an instance that could not access the
	// store is avoided.
	avoidUntil map[structs.InstanceID]time.Time
	// storeMonitor tracks this instance's access to the store; state is its last
	// logged state.
	storeMonitor policy.StoreMonitor
	state        policy.StoreState
	// nextDirectAttempt is when this instance tries again while its appends
	// fail.
	nextDirectAttempt time.Time
	// hedges bounds the hedged attempts.
	hedges         policy.RetryBudget
	outage         outage
	maxAppendBytes int
}

// pendingQuery is a message to another instance that awaits a reply.
type pendingQuery struct {
	to    structs.InstanceID
	reply chan structs.Message
}

// Config configures a Manager.
type Config struct {
	Directory *directory.Directory
	// Partitions is the number of partitions of the topic.
	Partitions int
	// MaxCallBytes bounds the size of an append, 0 if the platform sets no
	// limit.
	MaxCallBytes int
	Store        Store
	Peers        Peers
	Health       Health
	Scope        tally.Scope
	Log          *slog.Logger
}

// New returns a Manager that works until the context ends.
func New(ctx context.Context, config Config) *Manager {
	m := &Manager{
		self: config.Directory.Self(), directory: config.Directory, store: config.Store, peers: config.Peers,
		health: config.Health, log: config.Log, metrics: newMetrics(config.Scope), started: time.Now(), ctx: ctx,
		memory:         newMemory(),
		pending:        make(map[uint64]*pendingQuery),
		avoidUntil:     make(map[structs.InstanceID]time.Time),
		outage:         outage{changed: make(chan struct{})},
		state:          policy.StoreHealthy,
		hedges:         policy.NewRetryBudget(),
		maxAppendBytes: config.MaxCallBytes,
	}
	if m.maxAppendBytes == 0 {
		m.maxAppendBytes = defaultAppendBytes
	}
	for i := range config.Partitions {
		m.partitions = append(m.partitions, newPartition(i))
	}
	return m
}

// partitionOf returns the home partition of a program's turns.
func (m *Manager) partitionOf(program string) *partition {
	return m.partitions[xxhash.Sum64String(program)%uint64(len(m.partitions))]
}

// spawn runs work in the background, unless the Manager has stopped. The caller
// must hold m.mu.
func (m *Manager) spawn(work func()) {
	if !m.stopped {
		m.work.Go(work)
	}
}

// Run drops expired turns until the context ends, then waits for background
// work.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.mu.Lock()
			m.stopped = true
			m.mu.Unlock()
			m.work.Wait()
			return
		case <-ticker.C:
			m.sweep(ctx)
		}
	}
}

// Receive handles an event of the transport between instances.
func (m *Manager) Receive(event structs.Event) {
	switch e := event.(type) {
	case structs.PeerMessage:
		m.receiveMessage(e.From, e.Msg)
	case structs.PeerDown:
		m.peerDown(e.Peer)
	}
}

func (m *Manager) receiveMessage(from structs.InstanceID, msg structs.Message) {
	switch msg := msg.(type) {
	case *structs.ConversationRequest:
		m.receiveLookup(from, msg)
	case *structs.ConversationReply:
		m.deliverReply(from, msg.Number, msg)
	case *structs.TurnsNotice:
		m.receiveNotice(msg)
	case *structs.StoreTurnsRequest:
		m.receiveAppendRequest(from, msg)
	case *structs.StoreTurnsReply:
		m.deliverReply(from, msg.Number, msg)
	}
}

// Handles reports whether a message belongs to this package.
func Handles(msg structs.Message) bool {
	switch msg.Kind() {
	case structs.KindConversationRequest, structs.KindConversationReply, structs.KindTurnsNotice,
		structs.KindStoreTurnsRequest, structs.KindStoreTurnsReply:
		return true
	}
	return false
}

// addTurns adds turns that a partition of the store holds to memory.
func (m *Manager) addTurns(turns []structs.StoredTurn, partition int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addTurnsLocked(turns, partition)
}

// addTurnsLocked is addTurns for callers that hold m.mu.
func (m *Manager) addTurnsLocked(turns []structs.StoredTurn, partition int) {
	now := time.Now()
	for _, turn := range turns {
		m.memory.add(turn, partition, now)
	}
	m.metrics.bytes.Update(float64(m.memory.bytes))
	m.metrics.turns.Update(float64(len(m.memory.turns)))
}

func turnsOf(entries []*entry) []structs.StoredTurn {
	turns := make([]structs.StoredTurn, len(entries))
	for i, e := range entries {
		turns[i] = e.StoredTurn
	}
	return turns
}
