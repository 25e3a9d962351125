package relay

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/platform"
)

// Store is the part of the platform's store that a Node uses.
type Store interface {
	feed.Store
	Append(ctx context.Context, a platform.Append) (int64, error)
}

// Peers sends queries to other instances.
type Peers interface {
	Query(ctx context.Context, address string, q Query) (Reply, error)
}

// FollowedTopic is a topic that relays read from the store and pass on.
type FollowedTopic struct {
	Topic *feed.Topic
	// Wait is how long a read waits at the store for a record, Pause the time between two
	// reads.
	Wait  time.Duration
	Pause time.Duration
	// Bounded topics have to reach all instances within Config.MaxStaleness of a change.
	Bounded bool
	// Large topics are read from the store by the first relay of a data centre only; the
	// others start from its copy.
	Large bool
}

// Config holds the dependencies and settings of a Node.
type Config struct {
	Self Holder
	// CPUShare is the machine's share of a core, 1 for a whole core or more.
	CPUShare float64
	// Seeds are addresses of other instances, which may be stale.
	Seeds []string
	Store Store
	Peers Peers
	// Topics are the topics to keep up to date. Queries return as soon as the first of
	// them is confirmed to be current.
	Topics []FollowedTopic
	// MaxStaleness is the time within which a change has to reach all instances; 0 for no
	// bound.
	MaxStaleness time.Duration
	// WritesToStore reports whether this instance writes to the store. It then watches
	// the store itself, even if it is no relay.
	WritesToStore func() bool
	// PeerAddresses lists the addresses of other instances.
	PeerAddresses func() []string
	Health        *feed.Health
	Log           *slog.Logger
}

// Node keeps the topics of an instance up to date, from the store if it is a relay and
// from relays otherwise.
type Node struct {
	Config
	// slots is the topic of the relay slots.
	slots *feed.Topic
	// fallbackAt is the time from which the topics may be read without knowing the slots,
	// slotReadFailures counts failed attempts to read the slots. Both are used by Run
	// only.
	fallbackAt       time.Time
	slotReadFailures int
	// copiesAllowedAt is the time from which copies in the store may be read without
	// knowing the slots.
	copiesAllowedAt time.Time
	// reading indicates that this instance reads the topics from the store.
	reading atomic.Bool
	source  atomic.Pointer[string]
	timing  timing
	// relayHint is the address of the relay that last announced itself to this instance.
	relayHint atomic.Pointer[string]
	// lastQueriedAt is when another instance last polled this one for updates.
	lastQueriedAt atomic.Pointer[time.Time]
	// refreshedAt is when this instance last got fresh copies while relays had none,
	// storeServedAt when it last read them from the store.
	refreshedAt, storeServedAt atomic.Pointer[time.Time]

	mu    sync.Mutex
	table slotTable
	// failures holds the relays that were unresponsive or stale, by address.
	failures map[string]failure
	// vacantSince is when a slot of this data centre was first seen free.
	vacantSince time.Time
	// claimDelay is how long this instance waits before it claims a slot.
	claimDelay time.Duration
	// nextClaimAt is the earliest time of the next claim after a failed one.
	nextClaimAt time.Time
	// claimConflicts counts consecutive claims that failed because another instance wrote
	// first.
	claimConflicts int
}

// failure describes a relay that is unresponsive, that is refused by the store or whose
// copies are stale.
type failure struct {
	// unresponsiveSince is zero if the relay responds, refusedSince if its reads of the
	// store succeed.
	unresponsiveSince, refusedSince time.Time
	avoidUntil                      time.Time
}

// isLasting reports whether more than the age of the relay's copies is wrong.
func (f failure) isLasting() bool {
	return !f.unresponsiveSince.IsZero() || !f.refusedSince.IsZero()
}

// New returns a Node. Run has to be called once.
func New(cfg Config) *Node {
	n := &Node{Config: cfg, table: make(slotTable), failures: make(map[string]failure), timing: newTiming(cfg.MaxStaleness)}
	n.slots = feed.NewTopic(SlotsTopic, n.applySlot)
	n.claimDelay = n.randomClaimDelay()
	n.copiesAllowedAt = time.Now()
	if !n.isSeed() {
		n.copiesAllowedAt = n.copiesAllowedAt.Add(seedFallbackDelay + time.Duration(rand.Float64()*float64(fallbackJitter)/n.cpuShare()))
	}
	return n
}

func (n *Node) applySlot(r platform.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(r.Value) == 0 {
		delete(n.table, r.Key)
		return
	}
	holder, err := decodeHolder(r)
	if err != nil {
		n.Log.Error("ignored malformed slot record", "slot", r.Key, "offset", r.Offset, "error", err.Error())
		delete(n.table, r.Key)
		return
	}
	n.table[r.Key] = holder
	n.Log.Info("relay listed", "slot", r.Key, "machine", holder.Machine, "address", holder.Address)
}

// ReadsStore reports whether this instance reads the topics from the store.
func (n *Node) ReadsStore() bool { return n.reading.Load() }

// MayReadCopies reports whether this instance may read the copies that the store keeps of
// the topics: as a relay, or while the slots cannot be read. In the latter case seeds
// start at once and other instances, which query the seeds, after a random delay.
func (n *Node) MayReadCopies() bool {
	return n.reading.Load() || (!n.slots.Loaded() && time.Now().After(n.copiesAllowedAt))
}

const (
	// pollInterval is the minimum time between two polls, so that changes in quick
	// succession are fetched together.
	pollInterval = 150 * time.Millisecond
	// queryRetryInterval is the time between two queries of a relay whose reads of the
	// store fail.
	queryRetryInterval = 400 * time.Millisecond
	// slotCheckInterval is how often an instance checks whether it holds a slot.
	slotCheckInterval = 200 * time.Millisecond
	// watchInterval is how often an instance checks whether it has to watch the store
	// itself.
	watchInterval = time.Second
	// slotsReadWait is how long a relay's read of the slots waits. watchReadWait is that
	// of an instance that watches the store and has to detect a cut connection.
	slotsReadWait = 12 * time.Second
	watchReadWait = 3 * time.Second
)

// Run keeps the topics up to date until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.scheduleFallback()
	var work sync.WaitGroup
	work.Go(func() { n.watchStore(ctx) })
	for ctx.Err() == nil {
		switch {
		case n.holdsSlot():
			n.readFromStore(ctx, func() bool { return !n.holdsSlot() })
		case !n.slots.Loaded():
			n.discoverSlots(ctx)
			if n.onlySlotsUnavailable(ctx) {
				n.Log.Warn("slots are unavailable, reading the topics from the store")
				n.readFromStore(ctx, n.slots.Loaded)
			}
		default:
			n.followRelays(ctx)
		}
	}
	work.Wait()
}

func (n *Node) holdsSlot() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.table.slotOf(n.Self)
	return ok
}

// readFromStore reads the topics from the store until ended returns true.
func (n *Node) readFromStore(ctx context.Context, ended func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	for _, f := range n.Topics {
		work.Go(func() { n.followStore(ctx, f) })
	}
	work.Go(func() { n.followStore(ctx, FollowedTopic{Topic: n.slots, Wait: slotsReadWait}) })
	work.Go(func() { n.queryWhileFailing(ctx) })
	work.Go(func() { n.announceToSeeds(ctx) })
	n.reading.Store(true)
	n.source.Store(nil)
	n.Log.Info("reading the topics from the store")
	for ctx.Err() == nil && !ended() {
		delay.Sleep(ctx, slotCheckInterval)
	}
	n.reading.Store(false)
	cancel()
	work.Wait()
}

func (n *Node) followStore(ctx context.Context, f FollowedTopic) {
	follower := feed.Follower{
		Store: n.Store, Topic: f.Topic, Wait: f.Wait, Pause: f.Pause, Health: n.Health, Log: n.Log,
	}
	if f.Bounded {
		follower.Limit = n.limitRead
	}
	if f.Large {
		follower.CatchUp = func(ctx context.Context) bool { return n.catchUp(ctx, f) }
	}
	follower.Run(ctx)
}

// watchStore follows the slots at the store while this instance writes to the store
// without being a relay, in order to detect outages.
func (n *Node) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		if n.WritesToStore() && !n.reading.Load() && n.slots.Loaded() {
			n.watchWhile(ctx, func() bool { return n.WritesToStore() && !n.reading.Load() })
		}
		delay.Sleep(ctx, watchInterval)
	}
}

func (n *Node) watchWhile(ctx context.Context, holds func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() { n.followStore(ctx, FollowedTopic{Topic: n.slots, Wait: watchReadWait}) })
	for ctx.Err() == nil && holds() {
		delay.Sleep(ctx, watchInterval)
	}
	cancel()
	work.Wait()
}

// Timeouts of the copy of a large topic from another relay. A topic that is not loaded is
// urgent. One whose history was trimmed is available once the other relay has read it
// again, after its pause.
const (
	firstCatchUpTimeout = 700 * time.Millisecond
	catchUpMargin       = 300 * time.Millisecond
)

// catchUp takes a topic from the relays with earlier slots. It reports whether they had
// newer records.
func (n *Node) catchUp(ctx context.Context, f FollowedTopic) bool {
	n.mu.Lock()
	number, _ := n.table.slotOf(n.Self)
	earlier := n.table.holdersBefore(n.Self.DataCentre, number)
	n.mu.Unlock()
	before, wait := f.Topic.NextOffset(), firstCatchUpTimeout
	if f.Topic.Loaded() {
		wait = f.Pause + catchUpMargin
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, holder := range earlier {
		for ctx.Err() == nil {
			if _, err := n.query(ctx, holder.Address, wait, f.Topic); err != nil {
				n.Log.Debug("failed to copy a topic from a relay", "address", holder.Address, "topic", f.Topic.Name, "error", err.Error())
				break
			}
			if f.Topic.Loaded() && f.Topic.NextOffset() > before {
				return true
			}
		}
	}
	return false
}

// announceInterval is the time between two announcements to the seeds.
const announceInterval = 2 * time.Second

// announceToSeeds sends this relay's address to the seeds. An instance that the store
// refuses knows only the seeds, and the store may refuse those too.
func (n *Node) announceToSeeds(ctx context.Context) {
	for ctx.Err() == nil {
		for _, seed := range n.otherSeeds() {
			if _, err := n.query(ctx, seed, 0); err != nil && !errors.Is(err, errNotRelay) {
				n.Log.Debug("failed to announce this relay to a seed", "address", seed, "error", err.Error())
			}
		}
		delay.Sleep(ctx, announceInterval)
	}
}

// queryWhileFailing queries other instances while this instance's reads of the store
// fail.
func (n *Node) queryWhileFailing(ctx context.Context) {
	for delay.Sleep(ctx, queryRetryInterval) {
		if !n.Health.OK() {
			n.queryAny(ctx, 0)
		}
	}
}

// queryAny queries a random relay or other instance, which may wait for updates.
func (n *Node) queryAny(ctx context.Context, wait time.Duration) {
	address := n.anyAddress()
	if address == "" {
		return
	}
	if _, err := n.queryAll(ctx, address, wait); err != nil {
		n.Log.Debug("failed to query an instance for topics", "address", address, "error", err.Error())
	}
}

// anyAddress picks the address of another relay or, half of the time or if no relay is
// known, of any instance.
func (n *Node) anyAddress() string {
	n.mu.Lock()
	sources := n.table.sources(n.Self)
	n.mu.Unlock()
	var addresses []string
	for _, holder := range sources {
		addresses = append(addresses, holder.Address)
	}
	if len(addresses) == 0 || rand.IntN(2) == 0 {
		addresses = append(addresses[:0], n.PeerAddresses()...)
	}
	if len(addresses) == 0 {
		addresses = n.otherSeeds()
		if hint := n.relayHint.Load(); hint != nil {
			addresses = []string{*hint}
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

func (n *Node) otherSeeds() []string {
	var seeds []string
	for _, seed := range n.Seeds {
		if seed != n.Self.Address {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// errNotRelay indicates that the queried instance is not a relay.
var errNotRelay = errors.New("the instance is not a relay")

// queryAll queries an instance for updates of all topics.
func (n *Node) queryAll(ctx context.Context, address string, wait time.Duration) (Reply, error) {
	topics := []*feed.Topic{n.slots}
	for _, f := range n.Topics {
		topics = append(topics, f.Topic)
	}
	return n.query(ctx, address, wait, topics...)
}

// wholeTopicTimeout is the reply timeout of queries for whole topics.
const wholeTopicTimeout = 900 * time.Millisecond

// query fetches updates of topics from an instance. If that instance is not a relay, it
// merges the reply and returns it with errNotRelay.
func (n *Node) query(ctx context.Context, address string, wait time.Duration, topics ...*feed.Topic) (Reply, error) {
	q := Query{Offsets: make(map[string]int64, len(topics)), Wait: wait, ReplyTimeout: n.timing.replyTimeout}
	for _, t := range topics {
		if t.Loaded() {
			q.Offsets[t.Name] = t.NextOffset()
			continue
		}
		// A relay takes longer to send a whole topic when many instances start at once.
		q.Offsets[t.Name], q.ReplyTimeout = feed.FromStart, wholeTopicTimeout
	}
	if n.reading.Load() {
		q.RelayAddress = n.Self.Address
	}
	sent := time.Now()
	reply, err := n.Peers.Query(ctx, address, q)
	if err != nil {
		return Reply{}, err
	}
	receivedAt := sent.Add(time.Duration(reply.HeldMs) * time.Millisecond)
	for _, t := range topics {
		update, ok := reply.Topics[t.Name]
		if !ok {
			continue
		}
		merged, err := t.MergeCopy(update.Copy, receivedAt)
		if err != nil {
			return Reply{}, errors.Wrapf(err, "merge topic %s from %s", t.Name, address)
		}
		if merged > 0 {
			n.Log.Info("records taken from a copy", "topic", t.Name, "records", merged, "next", t.NextOffset(), "source", address)
		}
		n.updateHealth(t, update)
	}
	if !reply.Relay {
		return reply, errNotRelay
	}
	return reply, nil
}

// updateHealth records a relay's report on the store where this instance does not read
// the store itself. Reports on topics that the relay has not loaded are ignored. If the
// relay's reads fail but its copy is fresh, the store serves other relays: this is not
// recorded as an outage, during which registrations would be allowed to lapse. The same
// holds if this instance got fresh copies without the relays recently.
func (n *Node) updateHealth(t *feed.Topic, update TopicReply) {
	if !update.Whole || n.reading.Load() || (t == n.slots && n.WritesToStore()) {
		return
	}
	fresh := update.AgeMs >= 0 && update.AgeMs <= n.timing.maxAge.Milliseconds()
	now := time.Now()
	if at := n.refreshedAt.Load(); at != nil && now.Sub(*at) < n.timing.fallbackValidity {
		fresh = true
	}
	n.Health.SetFailing(t.Name, update.Failing && !fresh, now)
}

// slotHolders returns a copy of the slot table.
func (n *Node) slotHolders() slotTable {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.table)
}
