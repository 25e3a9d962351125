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

// Store is what an instance reads the topics from.
type Store interface {
	feed.Store
	Append(ctx context.Context, a platform.Append) (int64, error)
}

// Peers ask other instances.
type Peers interface {
	Ask(ctx context.Context, address string, q Query) (Reply, error)
}

// FollowedTopic is a topic that relays read and pass on.
type FollowedTopic struct {
	Topic *feed.Topic
	// Wait is how long a read waits at the store for a record, Pause the time
	// between two reads.
	Wait  time.Duration
	Pause time.Duration
	// Bounded topics have to be known everywhere within Parts.Bound of a change.
	Bounded bool
	// Large topics are read from the store by the first relay of a data centre; the
	// others take its copy and read on from there.
	Large bool
}

// Config are what a Node works with.
type Config struct {
	Self Holder
	// CPUShare is what the machine can do, 1 for a whole core.
	CPUShare float64
	// Seeds are addresses of other instances, which may be stale.
	Seeds []string
	Store Store
	Peers Peers
	// Topics are passed on; a reader is told at once when the first of them was
	// confirmed.
	Topics []FollowedTopic
	// MaxStaleness is the time within which all have to know what changed; 0 for none.
	MaxStaleness time.Duration
	// WritesToStore tells that this instance writes to the store and has to notice by itself
	// whether the store answers.
	WritesToStore func() bool
	// PeerAddresses lists the addresses of other instances.
	PeerAddresses func() []string
	Health        *feed.Health
	Log           *slog.Logger
}

// Node keeps the topics of an instance up to date, as a relay or from relays.
type Node struct {
	Config
	// slots is the topic of the slots.
	slots *feed.Topic
	// readAlone is when the topics may be read without knowing the slots, learning
	// counts the tries to learn them; both belong to Run.
	readAlone time.Time
	learning  int
	// copiesAfter is when copies may be read without knowing the slots.
	copiesAfter time.Time
	// reading tells that this instance reads the topics from the store.
	reading atomic.Bool
	source  atomic.Pointer[string]
	times   times
	// hint is the address of a relay that greeted this instance as a seed.
	hint atomic.Pointer[string]
	// followedAt is when another instance last asked this one for news.
	followedAt atomic.Pointer[time.Time]

	mu    sync.Mutex
	table table
	// failures are relays that did not answer, by address.
	failures map[string]failure
	// vacant is since when a slot of the data centre is known to be free.
	vacant time.Time
	// claimPause is how long this instance waits before it takes a slot.
	claimPause time.Duration
	// claimAfter is when a slot may be claimed again after a try that failed.
	claimAfter time.Time
	// claimsLost counts claims in a row before which another instance wrote.
	claimsLost int
}

// failure is a relay that does not answer.
type failure struct {
	since, until time.Time
}

// New makes a Node. Run has to be called once.
func New(parts Config) *Node {
	n := &Node{Config: parts, table: make(table), failures: make(map[string]failure), times: timesWithin(parts.MaxStaleness)}
	n.slots = feed.NewTopic(SlotsTopic, n.applySlot)
	n.claimPause = n.drawClaimPause()
	n.copiesAfter = time.Now()
	if !n.isSeed() {
		n.copiesAfter = n.copiesAfter.Add(seedAlone + time.Duration(rand.Float64()*float64(aloneSpan)/n.power()))
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
	e, err := decodeEntry(r)
	if err != nil {
		n.Log.Error("slot ignored", "slot", r.Key, "offset", r.Offset, "error", err.Error())
		delete(n.table, r.Key)
		return
	}
	n.table[r.Key] = e
	n.Log.Info("relay listed", "slot", r.Key, "machine", e.Machine, "address", e.Address)
}

// Reading tells whether this instance reads the topics from the store.
func (n *Node) Reading() bool { return n.reading.Load() }

// MayReadCopies tells whether this instance may read what the store keeps of the topics
// elsewhere: as a relay, or while the store does not give the slots. Then the seeds
// begin, which the others ask, and those follow one by one.
func (n *Node) MayReadCopies() bool {
	return n.reading.Load() || (!n.slots.Loaded() && time.Now().After(n.copiesAfter))
}

const (
	// pollPause is the least time between two questions: changes that come in
	// series are asked for together.
	pollPause = 150 * time.Millisecond
	// askPause is the time between two questions while no relay answers.
	askPause = 400 * time.Millisecond
	// roleInterval is how often it is looked whether the slot is still held.
	roleInterval = 200 * time.Millisecond
	// directInterval is how often it is looked whether this instance has to notice by
	// itself whether the store answers.
	directInterval = time.Second
	// slotsWait is how long a relay's read of the slots waits; directWait is that of
	// an instance that has to notice a cut link to the store.
	slotsWait  = 12 * time.Second
	directWait = 3 * time.Second
)

// Run keeps the topics up to date until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.setReadAlone()
	var work sync.WaitGroup
	work.Go(func() { n.watchStore(ctx) })
	for ctx.Err() == nil {
		switch {
		case n.holdsSlot():
			n.read(ctx, func() bool { return !n.holdsSlot() })
		case !n.slots.Loaded():
			n.learnSlots(ctx)
			if n.slotsAlone(ctx) {
				n.Log.Warn("topics are read without knowing the relays")
				n.read(ctx, n.slots.Loaded)
			}
		default:
			n.followWhile(ctx)
		}
	}
	work.Wait()
}

func (n *Node) holdsSlot() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.table.held(n.Self)
	return ok
}

// read reads the topics from the store until an event.
func (n *Node) read(ctx context.Context, ended func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	for _, f := range n.Topics {
		work.Go(func() { n.followStore(ctx, f) })
	}
	work.Go(func() { n.followStore(ctx, FollowedTopic{Topic: n.slots, Wait: slotsWait}) })
	work.Go(func() { n.askWhileFailing(ctx) })
	work.Go(func() { n.greetSeeds(ctx) })
	n.reading.Store(true)
	n.source.Store(nil)
	n.Log.Info("topics are read from the store")
	for ctx.Err() == nil && !ended() {
		delay.Sleep(ctx, roleInterval)
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
		follower.Limit = n.limit
	}
	if f.Large {
		follower.CatchUp = func(ctx context.Context) bool { return n.catchUp(ctx, f) }
	}
	follower.Run(ctx)
}

// watchStore follows the slots at the store while this instance has to notice by
// itself whether the store answers.
func (n *Node) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		if n.WritesToStore() && !n.reading.Load() && n.slots.Loaded() {
			n.watchWhile(ctx, func() bool { return n.WritesToStore() && !n.reading.Load() })
		}
		delay.Sleep(ctx, directInterval)
	}
}

func (n *Node) watchWhile(ctx context.Context, holds func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() { n.followStore(ctx, FollowedTopic{Topic: n.slots, Wait: directWait}) })
	for ctx.Err() == nil && holds() {
		delay.Sleep(ctx, directInterval)
	}
	cancel()
	work.Wait()
}

// Bounds of the wait for another relay's copy of a large topic. One that is not
// known is urgent; one whose history was dropped is taken once the other relay has
// read it again, after its pause.
const (
	catchUpFirst = 700 * time.Millisecond
	catchUpAgain = 300 * time.Millisecond
)

// catchUp takes a topic from a relay with an earlier slot. It tells whether there
// was more to take than is known.
func (n *Node) catchUp(ctx context.Context, f FollowedTopic) bool {
	n.mu.Lock()
	number, _ := n.table.held(n.Self)
	earlier := n.table.earlier(n.Self.DataCentre, number)
	n.mu.Unlock()
	before, wait := f.Topic.NextOffset(), catchUpFirst
	if f.Topic.Loaded() {
		wait = f.Pause + catchUpAgain
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, e := range earlier {
		for ctx.Err() == nil {
			if err := n.ask(ctx, e.Address, wait, f.Topic); err != nil {
				n.Log.Debug("relay gave no copy", "address", e.Address, "topic", f.Topic.Name, "error", err.Error())
				break
			}
			if f.Topic.Loaded() && f.Topic.NextOffset() > before {
				return true
			}
		}
	}
	return false
}

// greetInterval is the time between two greetings of the seeds.
const greetInterval = 2 * time.Second

// greetSeeds tells the seeds of this relay: they are all that an instance knows which
// the store refuses, and the store may refuse them too.
func (n *Node) greetSeeds(ctx context.Context) {
	for ctx.Err() == nil {
		for _, seed := range n.otherSeeds() {
			if err := n.ask(ctx, seed, 0); err != nil && !errors.Is(err, errNoRelay) {
				n.Log.Debug("seed does not answer", "address", seed, "error", err.Error())
			}
		}
		delay.Sleep(ctx, greetInterval)
	}
}

// askWhileFailing asks others for news while the store refuses this instance.
func (n *Node) askWhileFailing(ctx context.Context) {
	for delay.Sleep(ctx, askPause) {
		if !n.Health.OK() {
			n.askAnyone(ctx, 0)
		}
	}
}

// askAnyone asks another relay, or any instance if none is known, which may wait for
// news.
func (n *Node) askAnyone(ctx context.Context, wait time.Duration) {
	address := n.anyone()
	if address == "" {
		return
	}
	if err := n.askAll(ctx, address, wait); err != nil {
		n.Log.Debug("instance gave no topics", "address", address, "error", err.Error())
	}
}

// anyone is the address of another relay or, for as often as not, of any instance.
func (n *Node) anyone() string {
	n.mu.Lock()
	sources := n.table.sources(n.Self)
	n.mu.Unlock()
	var addresses []string
	for _, e := range sources {
		addresses = append(addresses, e.Address)
	}
	if len(addresses) == 0 || rand.IntN(2) == 0 {
		addresses = append(addresses[:0], n.PeerAddresses()...)
	}
	if len(addresses) == 0 {
		addresses = n.otherSeeds()
		if hint := n.hint.Load(); hint != nil {
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

// errNoRelay tells that an instance that was asked as a relay is none.
var errNoRelay = errors.New("the instance does not read the topics from the store")

// askAll asks an instance for what is new in all topics.
func (n *Node) askAll(ctx context.Context, address string, wait time.Duration) error {
	topics := []*feed.Topic{n.slots}
	for _, f := range n.Topics {
		topics = append(topics, f.Topic)
	}
	return n.ask(ctx, address, wait, topics...)
}

// wholeSilence is how long an answer with a whole topic may be silent.
const wholeSilence = 900 * time.Millisecond

// ask asks an instance for what is new in topics. It returns errNoRelay, with the
// answer taken, if the instance is no relay.
func (n *Node) ask(ctx context.Context, address string, wait time.Duration, topics ...*feed.Topic) error {
	q := Query{Offsets: make(map[string]int64, len(topics)), Wait: wait, ReplyTimeout: n.times.silence}
	for _, t := range topics {
		if t.Loaded() {
			q.Offsets[t.Name] = t.NextOffset()
			continue
		}
		// A whole topic takes a relay a while that many ask at once.
		q.Offsets[t.Name], q.ReplyTimeout = feed.FromStart, wholeSilence
	}
	if n.reading.Load() {
		q.RelayAddress = n.Self.Address
	}
	asked := time.Now()
	answer, err := n.Peers.Ask(ctx, address, q)
	if err != nil {
		return err
	}
	answered := asked.Add(time.Duration(answer.HeldMs) * time.Millisecond)
	for _, t := range topics {
		given, ok := answer.Topics[t.Name]
		if !ok {
			continue
		}
		taken, err := t.MergeCopy(given.Copy, answered)
		if err != nil {
			return errors.Wrapf(err, "topic %s of %s", t.Name, address)
		}
		if taken > 0 {
			n.Log.Info("records taken from a copy", "topic", t.Name, "records", taken, "next", t.NextOffset(), "source", address)
		}
		n.hear(t, given)
	}
	if !answer.Relay {
		return errNoRelay
	}
	return nil
}

// hear takes the word of a relay on the store, where this instance does not know by
// itself. One that has not read a topic yet knows nothing of it; one whose copy is
// fresh all the same is refused alone, and has it from others: that is no outage, in
// which registrations lapse.
func (n *Node) hear(t *feed.Topic, given Given) {
	if !given.Whole || n.reading.Load() || (t == n.slots && n.WritesToStore()) {
		return
	}
	fresh := given.AgeMs >= 0 && given.AgeMs <= n.times.stale.Milliseconds()
	n.Health.SetFailing(t.Name, given.Failing && !fresh, time.Now())
}

// entries is a copy of who holds the slots.
func (n *Node) entries() table {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.table)
}
