package relay

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/platform"
)

// storeLimits are what a store gives to all instances together.
const (
	storeAnswerTime = 4 * time.Millisecond
	storeReads      = 16000 // a second
	storeWrites     = 4000  // a second
	storePage       = 20    // records
	testWait        = 3 * time.Second
	testBound       = 2 * time.Second
)

// storeFault is how the store behaves.
type storeFault struct {
	// away is how long it refuses all calls from the start on.
	away time.Duration
	// slow is by how much its answers take longer.
	slow time.Duration
	// refused is the share of the instances that it refuses.
	refused float64
}

// limitedStore is a store that refuses calls beyond its limits.
type limitedStore struct {
	fault   storeFault
	started time.Time

	mu      sync.Mutex
	moved   chan struct{}
	records map[string][]platform.Record
	trimmed map[string]int64
	second  int64
	reads   int
	writes  int
	calls   int
	// wholeReads counts the first pages of topics that were read.
	wholeReads map[string]int
}

func newLimitedStore(fault storeFault) *limitedStore {
	return &limitedStore{
		fault: fault, started: time.Now(), moved: make(chan struct{}), records: make(map[string][]platform.Record),
		trimmed: make(map[string]int64), wholeReads: make(map[string]int),
	}
}

// put writes a record as something else than an instance does.
func (s *limitedStore) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, []platform.Record{{Key: key, Value: []byte(value)}})
}

func (s *limitedStore) append(topic string, records []platform.Record) int64 {
	first := int64(len(s.records[topic]))
	for _, r := range records {
		r.Offset = int64(len(s.records[topic]))
		s.records[topic] = append(s.records[topic], r)
	}
	close(s.moved)
	s.moved = make(chan struct{})
	return first
}

// trim drops the history of a topic.
func (s *limitedStore) trim(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimmed[topic] = int64(len(s.records[topic]))
}

func (s *limitedStore) counted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// readWhole counts how often a topic was read from its beginning.
func (s *limitedStore) readWhole(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wholeReads[topic]
}

// call counts a call and tells whether it is refused.
func (s *limitedStore) call(write bool) error {
	delay.Sleep(context.Background(), storeAnswerTime+s.fault.slow)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if second := int64(time.Since(s.started) / time.Second); second != s.second {
		s.second, s.reads, s.writes = second, 0, 0
	}
	count, most := &s.reads, storeReads
	if write {
		count, most = &s.writes, storeWrites
	}
	*count++
	if *count > most || time.Since(s.started) < s.fault.away {
		return platform.ErrBusy
	}
	return nil
}

// reachedStore is the store as one instance reaches it.
type reachedStore struct {
	*limitedStore
	refused bool
	// silent has calls hang.
	silent *atomic.Bool
}

// hang waits until the call is given up if the store is silent for the instance.
func (s reachedStore) hang(ctx context.Context) error {
	if !s.silent.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s reachedStore) call(write bool) error {
	if err := s.limitedStore.call(write); err != nil || !s.refused {
		return err
	}
	return platform.ErrBusy
}

func (s reachedStore) NewestPage(ctx context.Context, topic string, _ int, after string) (platform.Newest, bool, error) {
	if err := s.hang(ctx); err != nil {
		return platform.Newest{}, false, err
	}
	if err := s.call(false); err != nil {
		return platform.Newest{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == "" {
		s.wholeReads[topic]++
	}
	newest := make(map[string]platform.Record)
	for _, r := range s.records[topic] {
		newest[r.Key] = r
	}
	var keys []string
	for key, r := range newest {
		if key > after && len(r.Value) > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := platform.Newest{End: int64(len(s.records[topic]))}
	for _, key := range keys[:min(len(keys), storePage)] {
		page.Records = append(page.Records, newest[key])
	}
	return page, len(keys) > storePage, nil
}

func (s reachedStore) Read(
	ctx context.Context, topic string, _ int, from int64, wait time.Duration,
) ([]platform.Record, int64, error) {
	if err := s.call(false); err != nil {
		return nil, from, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		moved, records := s.moved, s.records[topic]
		trimmed := from < s.trimmed[topic]
		s.mu.Unlock()
		switch {
		case trimmed:
			return nil, from, platform.ErrTrimmed
		case s.silent.Load():
			return nil, from, s.hang(ctx)
		case int64(len(records)) > from:
			return slices.Clone(records[from:]), int64(len(records)), nil
		case over:
			return nil, from, nil
		}
		select {
		case <-ctx.Done():
			return nil, from, ctx.Err()
		case <-timer.C:
			over = true
		case <-moved:
		}
	}
}

func (s reachedStore) Append(_ context.Context, a platform.Append) (int64, error) {
	if err := s.call(true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.At != nil && *a.At != int64(len(s.records[a.Topic])) {
		return 0, platform.ErrCondition
	}
	return s.append(a.Topic, a.Records), nil
}

// fleet is instances of one deployment, with a store, without a network.
type fleet struct {
	t     *testing.T
	store *limitedStore
	// dataCentres is the number of data centres.
	dataCentres int
	seeds       []string

	mu    sync.Mutex
	nodes map[string]*testNode
	// started is one more than the number of the last machine that started.
	started int
}

type testNode struct {
	*Node
	fleet  *fleet
	stop   context.CancelFunc
	done   chan struct{}
	topics []*feed.Topic
	// frozen has questions to it hang, storeSilent its calls to the store.
	frozen, storeSilent atomic.Bool
}

const (
	settingsTopic  = "keyed.settings"
	targetsTopic   = "keyed.targets"
	instancesTopic = "keyed.instances"
)

var errUnreachable = errors.New("nobody listens")

// Ask implements Peers.
func (f *fleet) Ask(ctx context.Context, address string, q Query) (Reply, error) {
	f.mu.Lock()
	n := f.nodes[address]
	f.mu.Unlock()
	if !delay.Sleep(ctx, time.Millisecond) || n == nil {
		return Reply{}, errUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, q.Wait+q.ReplyTimeout)
	defer cancel()
	if n.frozen.Load() {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	go func() {
		select {
		case <-n.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return n.HandleQuery(ctx, q)
}

func inFleet(t *testing.T, dataCentres int, fault storeFault, body func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, store: newLimitedStore(fault), dataCentres: dataCentres, nodes: make(map[string]*testNode),
			seeds: []string{address(0), address(1), address(2)},
		}
		f.store.put(settingsTopic, "settings", "v1")
		body(f)
		for _, n := range f.nodes {
			n.stop()
		}
		for _, n := range f.nodes {
			<-n.done
		}
	})
}

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255) }

// start starts an instance; every fifth machine is a large one.
func (f *fleet) start(i int) *testNode {
	return f.startRefused(i, rand.Float64() < f.store.fault.refused)
}

// startRefused is start of an instance that the store may refuse.
func (f *fleet) startRefused(i int, refused bool) *testNode {
	power := 0.2
	if i%5 == 0 {
		power = 0.8
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	n := &testNode{fleet: f, stop: cancel, done: make(chan struct{})}
	var followed []FollowedTopic
	for _, name := range []string{settingsTopic, targetsTopic, instancesTopic} {
		topic := feed.NewTopic(name, func(platform.Record) {})
		n.topics = append(n.topics, topic)
		followed = append(followed, FollowedTopic{
			Topic: topic, Wait: testWait, Large: name == targetsTopic, Bounded: name != instancesTopic,
		})
	}
	followed[1].Pause, followed[2].Pause = time.Second, 300*time.Millisecond
	n.Node = New(Config{
		Self:     Holder{Machine: fmt.Sprint("m", i), Address: address(i), DataCentre: fmt.Sprint("dc", i%f.dataCentres)},
		CPUShare: power, Seeds: f.seeds, Topics: followed, Peers: f,
		Store:         reachedStore{f.store, refused, &n.storeSilent},
		MaxStaleness:  testBound,
		WritesToStore: func() bool { return false }, PeerAddresses: func() []string { return nil },
		Health: feed.NewHealth(), Log: slog.New(slog.DiscardHandler),
	})
	f.mu.Lock()
	f.nodes[address(i)] = n
	f.started = max(f.started, i+1)
	f.mu.Unlock()
	go func() {
		defer close(n.done)
		delay.Sleep(ctx, rand.N(300*time.Millisecond))
		n.Run(ctx)
	}()
	return n
}

// kill ends an instance; it answers no more.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	n := f.nodes[address(i)]
	delete(f.nodes, address(i))
	f.mu.Unlock()
	n.stop()
	<-n.done
}

// lacking counts the instances but one that do not know all that the store holds.
func (f *fleet) lacking(but *testNode) int {
	lacking := 0
	for _, n := range f.nodes {
		if n == but {
			continue
		}
		for _, topic := range n.topics {
			f.store.mu.Lock()
			end := int64(len(f.store.records[topic.Name]))
			f.store.mu.Unlock()
			if !topic.Loaded() || topic.NextOffset() < end {
				lacking++
				break
			}
		}
	}
	return lacking
}

// until waits until all instances know all and returns how long it took.
func (f *fleet) until(most time.Duration) time.Duration { return f.untilBut(nil, most) }

// untilBut is until without one instance.
func (f *fleet) untilBut(but *testNode, most time.Duration) time.Duration {
	begun := time.Now()
	for f.lacking(but) > 0 {
		if time.Since(begun) > most {
			f.t.Errorf("%d of %d instances do not know all after %s", f.lacking(but), len(f.nodes), most)
			return most
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begun)
}

// relays lists the machines that read the topics from the store.
func (f *fleet) relays() []int {
	var relays []int
	for i := range f.started {
		if n, ok := f.nodes[address(i)]; ok && n.Reading() {
			relays = append(relays, i)
		}
	}
	return relays
}
