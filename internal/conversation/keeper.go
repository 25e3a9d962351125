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

// Store is what a Keeper needs of the platform's store.
type Store interface {
	Append(ctx context.Context, a platform.Append) (int64, error)
	NewestPage(ctx context.Context, topic string, partition int, after string) (platform.Newest, bool, error)
	ReadPage(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.Page, error)
	Trim(ctx context.Context, topic string, partition int, before int64) error
}

// Peers sends messages to other instances. Sending never blocks; a message
// that is lost is followed by PeerDown.
type Peers interface {
	Send(to structs.InstanceID, msg structs.Message)
	// Broadcast sends a message to all instances that are connected.
	Broadcast(msg structs.Message)
	// Probe asks an instance for a heartbeat; without one PeerDown follows and
	// the connection ends.
	Probe(to structs.InstanceID)
}

// Health tells whether the store answers this instance's reads of other topics.
type Health interface{ OK() bool }

// Manager keeps conversations. It is safe for concurrent use.
type Manager struct {
	self      structs.Peer
	directory *directory.Directory
	store     Store
	peers     Peers
	health    Health
	log       *slog.Logger
	metrics   metrics
	started   time.Time
	// ctx ends with the Keeper.
	ctx  context.Context
	work sync.WaitGroup

	mu sync.Mutex
	// stopped tells that no more work is begun.
	stopped    bool
	memory     memory
	partitions []*partition
	// pending are this instance's questions to others, by number.
	pending map[uint64]*question
	number  uint64
	// unableUntil is how long an instance that could not read or write the
	// store is passed over.
	unableUntil map[structs.InstanceID]time.Time
	// path is this instance's access to the store, state its state as last logged.
	path  policy.StoreMonitor
	state policy.StoreState
	// directAfter is when an instance whose appends fail tries again.
	directAfter time.Time
	// hedges bounds the second tries of appends that take long.
	hedges policy.RetryBudget
	outage outage
	// callBytes bounds an append.
	callBytes int
}

// question is a message of this instance that another one answers.
type question struct {
	asked  structs.InstanceID
	answer chan structs.Message
}

// Config are what a Keeper works with.
type Config struct {
	Directory *directory.Directory
	// Partitions is the number of the topic's partitions.
	Partitions int
	// MaxCallBytes bounds an append, 0 if the platform names no limit.
	MaxCallBytes int
	Store        Store
	Peers        Peers
	Health       Health
	Scope        tally.Scope
	Log          *slog.Logger
}

// New makes a Keeper that works until the context ends.
func New(ctx context.Context, parts Config) *Manager {
	k := &Manager{
		self: parts.Directory.Self(), directory: parts.Directory, store: parts.Store, peers: parts.Peers,
		health: parts.Health, log: parts.Log, metrics: newMetrics(parts.Scope), started: time.Now(), ctx: ctx,
		memory:      newMemory(),
		pending:     make(map[uint64]*question),
		unableUntil: make(map[structs.InstanceID]time.Time),
		outage:      outage{changed: make(chan struct{})},
		state:       policy.StoreHealthy,
		hedges:      policy.NewRetryBudget(),
		callBytes:   parts.MaxCallBytes,
	}
	if k.callBytes == 0 {
		k.callBytes = defaultCallBytes
	}
	for i := range parts.Partitions {
		k.partitions = append(k.partitions, newPartition(i))
	}
	return k
}

// partitionOf is the partition that holds the turns of a program.
func (k *Manager) partitionOf(program string) *partition {
	return k.partitions[xxhash.Sum64String(program)%uint64(len(k.partitions))]
}

// spawn works in the background, unless the Keeper has stopped. The mutex is
// held.
func (k *Manager) spawn(work func()) {
	if !k.stopped {
		k.work.Go(work)
	}
}

// Run drops what can no longer be named until the context ends.
func (k *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.mu.Lock()
			k.stopped = true
			k.mu.Unlock()
			k.work.Wait()
			return
		case <-ticker.C:
			k.sweep(ctx)
		}
	}
}

// Receive handles an event of the transport between instances.
func (k *Manager) Receive(event structs.Event) {
	switch e := event.(type) {
	case structs.PeerMessage:
		k.receiveMessage(e.From, e.Msg)
	case structs.PeerDown:
		k.peerDown(e.Peer)
	}
}

func (k *Manager) receiveMessage(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.ConversationRequest:
		k.receiveRequest(from, m)
	case *structs.ConversationReply:
		k.answered(from, m.Number, m)
	case *structs.TurnsNotice:
		k.receiveNotice(m)
	case *structs.StoreTurnsRequest:
		k.receiveKeep(from, m)
	case *structs.StoreTurnsReply:
		k.answered(from, m.Number, m)
	}
}

// Handles tells whether a message is about conversations.
func Handles(msg structs.Message) bool {
	switch msg.Kind() {
	case structs.KindConversationRequest, structs.KindConversationReply, structs.KindTurnsNotice,
		structs.KindStoreTurnsRequest, structs.KindStoreTurnsReply:
		return true
	}
	return false
}

// learn takes turns that a partition of the store holds.
func (k *Manager) learn(turns []structs.StoredTurn, partition int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.add(turns, partition)
}

// add is learn with the mutex held.
func (k *Manager) add(turns []structs.StoredTurn, partition int) {
	now := time.Now()
	for _, turn := range turns {
		k.memory.add(turn, partition, now)
	}
	k.metrics.bytes.Update(float64(k.memory.bytes))
	k.metrics.turns.Update(float64(len(k.memory.turns)))
}

// turnsOf copies the turns out of entries.
func turnsOf(entries []*entry) []structs.StoredTurn {
	turns := make([]structs.StoredTurn, len(entries))
	for i, e := range entries {
		turns[i] = e.StoredTurn
	}
	return turns
}
