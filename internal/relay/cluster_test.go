package relay

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
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

// Limits of the simulated store, shared by all instances.
const (
	storeLatency   = 4 * time.Millisecond
	maxStoreReads  = 16000 // a second
	maxStoreWrites = 4000  // a second
	storePageSize  = 20    // records
	testWait       = 3 * time.Second
	testBound      = 2 * time.Second
)

// storeFault configures how the store fails.
type storeFault struct {
	// outage is how long the store refuses all calls from its start.
	outage time.Duration
	// extraLatency is added to the latency of each call.
	extraLatency time.Duration
	// refusedFraction is the fraction of instances that the store refuses.
	refusedFraction float64
}

// limitedStore is an in-memory store that refuses calls beyond its rate limits.
type limitedStore struct {
	fault   storeFault
	started time.Time

	mu      sync.Mutex
	updated chan struct{}
	records map[string][]platform.Record
	trimmed map[string]int64
	second  int64
	reads   int
	writes  int
	calls   int
	// wholeReads counts, per topic, the reads of the first page.
	wholeReads map[string]int
}

func newLimitedStore(fault storeFault) *limitedStore {
	return &limitedStore{
		fault: fault, started: time.Now(), updated: make(chan struct{}), records: make(map[string][]platform.Record),
		trimmed: make(map[string]int64), wholeReads: make(map[string]int),
	}
}

// put appends a record without a call to the store.
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
	close(s.updated)
	s.updated = make(chan struct{})
	return first
}

// trim drops the history of a topic.
func (s *limitedStore) trim(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimmed[topic] = int64(len(s.records[topic]))
}

func (s *limitedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wholeReadCount returns how often a topic was read from its start.
func (s *limitedStore) wholeReadCount(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wholeReads[topic]
}

// call counts a call and returns an error if it is refused.
func (s *limitedStore) call(write bool) error {
	delay.Sleep(context.Background(), storeLatency+s.fault.extraLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if second := int64(time.Since(s.started) / time.Second); second != s.second {
		s.second, s.reads, s.writes = second, 0, 0
	}
	count, limit := &s.reads, maxStoreReads
	if write {
		count, limit = &s.writes, maxStoreWrites
	}
	*count++
	if *count > limit || time.Since(s.started) < s.fault.outage {
		return platform.ErrBusy
	}
	return nil
}

// instanceStore is the store as seen by one instance.
type instanceStore struct {
	*limitedStore
	// refused makes the store refuse calls.
	refused *atomic.Bool
	// hanging makes calls block until they are cancelled.
	hanging *atomic.Bool
}

// hang blocks until the context ends if calls of this instance hang.
func (s instanceStore) hang(ctx context.Context) error {
	if !s.hanging.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s instanceStore) call(write bool) error {
	if err := s.limitedStore.call(write); err != nil || !s.refused.Load() {
		return err
	}
	return platform.ErrBusy
}

func (s instanceStore) NewestPage(ctx context.Context, topic string, _ int, after string) (platform.Newest, bool, error) {
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
	for _, key := range keys[:min(len(keys), storePageSize)] {
		page.Records = append(page.Records, newest[key])
	}
	return page, len(keys) > storePageSize, nil
}

func (s instanceStore) ReadPage(ctx context.Context, topic string, _ int, from int64, wait time.Duration) (platform.Page, error) {
	page := platform.Page{Next: from, End: from}
	if err := s.call(false); err != nil {
		return page, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		updated, records := s.updated, s.records[topic]
		trimmed := from < s.trimmed[topic]
		s.mu.Unlock()
		switch {
		case trimmed:
			return page, platform.ErrTrimmed
		case s.hanging.Load():
			return page, s.hang(ctx)
		case int64(len(records)) > from:
			end := int64(len(records))
			return platform.Page{Records: slices.Clone(records[from:]), Next: end, End: end}, nil
		case expired:
			return page, nil
		}
		select {
		case <-ctx.Done():
			return page, ctx.Err()
		case <-timer.C:
			expired = true
		case <-updated:
		}
	}
}

func (s instanceStore) Append(_ context.Context, a platform.Append) (int64, error) {
	if err := s.call(true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.ExpectedEnd != nil && *a.ExpectedEnd != int64(len(s.records[a.Topic])) {
		return 0, platform.ErrCondition
	}
	return s.append(a.Topic, a.Records), nil
}

// cluster simulates the instances of a deployment and their store without a network.
type cluster struct {
	t           *testing.T
	store       *limitedStore
	dataCentres int
	seeds       []string

	// polls counts the queries that may wait for updates, immediateQueries the others of
	// instances that are no relays.
	polls, immediateQueries atomic.Int64

	mu    sync.Mutex
	nodes map[string]*testNode
	// knownPeers is the list of instances that all instances know, nil at first.
	knownPeers []string
	// started is one more than the highest machine number started.
	started int
}

type testNode struct {
	*Node
	cluster *cluster
	stop    context.CancelFunc
	done    chan struct{}
	topics  []*feed.Topic
	// frozen makes queries to the node hang, storeHangs its calls to the store.
	// storeRefuses makes the store refuse them.
	frozen, storeHangs, storeRefuses atomic.Bool
}

const (
	settingsTopic  = "keyed.settings"
	targetsTopic   = "keyed.targets"
	instancesTopic = "keyed.instances"
)

var errUnreachable = errors.New("instance is unreachable")

// Query implements Peers.
func (c *cluster) Query(ctx context.Context, address string, q Query) (Reply, error) {
	c.mu.Lock()
	n := c.nodes[address]
	c.mu.Unlock()
	switch {
	case q.Wait > 0:
		c.polls.Add(1)
	case q.RelayAddress == "":
		c.immediateQueries.Add(1)
	}
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
	reply, err := n.HandleQuery(ctx, q)
	if n.frozen.Load() {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	return reply, err
}

func withCluster(t *testing.T, dataCentres int, fault storeFault, body func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, store: newLimitedStore(fault), dataCentres: dataCentres, nodes: make(map[string]*testNode),
			seeds: []string{address(0), address(1), address(2)},
		}
		c.store.put(settingsTopic, "settings", "v1")
		body(c)
		for _, n := range c.nodes {
			n.stop()
		}
		for _, n := range c.nodes {
			<-n.done
		}
	})
}

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255) }

// start starts an instance; every fifth machine is a large one.
func (c *cluster) start(i int) *testNode {
	return c.startRefused(i, rand.Float64() < c.store.fault.refusedFraction)
}

// startRefused starts an instance that the store may refuse.
func (c *cluster) startRefused(i int, refused bool) *testNode {
	cpuShare := 0.2
	if i%5 == 0 {
		cpuShare = 0.8
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	n := &testNode{cluster: c, stop: cancel, done: make(chan struct{})}
	n.storeRefuses.Store(refused)
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
		Self:     Holder{Machine: fmt.Sprint("m", i), Address: address(i), DataCentre: fmt.Sprint("dc", i%c.dataCentres)},
		CPUShare: cpuShare, Seeds: c.seeds, Topics: followed, Peers: c,
		Store:         instanceStore{c.store, &n.storeRefuses, &n.storeHangs},
		MaxStaleness:  testBound,
		WritesToStore: func() bool { return false }, PeerAddresses: c.peerAddresses,
		Health: feed.NewHealth(), Log: slog.New(slog.DiscardHandler),
	})
	c.mu.Lock()
	c.nodes[address(i)] = n
	c.started = max(c.started, i+1)
	c.mu.Unlock()
	go func() {
		defer close(n.done)
		delay.Sleep(ctx, rand.N(300*time.Millisecond))
		n.Run(ctx)
	}()
	return n
}

// freeze makes the queries of other instances and calls to the store hang.
func (n *testNode) freeze() { n.frozen.Store(true); n.storeHangs.Store(true) }

// wake ends freeze.
func (n *testNode) wake() { n.frozen.Store(false); n.storeHangs.Store(false) }

// kill stops an instance and makes it unreachable.
func (c *cluster) kill(i int) {
	c.mu.Lock()
	n := c.nodes[address(i)]
	delete(c.nodes, address(i))
	c.mu.Unlock()
	n.stop()
	<-n.done
}

// behind counts the instances, without the excluded ones, that lack records of the store.
func (c *cluster) behind(except ...*testNode) int {
	behind := 0
	for _, n := range c.nodes {
		if slices.Contains(except, n) {
			continue
		}
		for _, topic := range n.topics {
			c.store.mu.Lock()
			end := int64(len(c.store.records[topic.Name]))
			c.store.mu.Unlock()
			if !topic.Loaded() || topic.NextOffset() < end {
				behind++
				break
			}
		}
	}
	return behind
}

// waitUntilSynced waits until all instances hold all records and returns the time taken.
func (c *cluster) waitUntilSynced(limit time.Duration) time.Duration {
	return c.waitUntilSyncedExcept(limit)
}

// waitUntilSyncedExcept is waitUntilSynced without some instances.
func (c *cluster) waitUntilSyncedExcept(limit time.Duration, except ...*testNode) time.Duration {
	started := time.Now()
	for c.behind(except...) > 0 {
		if time.Since(started) > limit {
			c.t.Errorf("%d of %d instances lack records after %s", c.behind(except...), len(c.nodes), limit)
			return limit
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(started)
}

// announcePeers makes all instances known to each other.
func (c *cluster) announcePeers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownPeers = slices.Sorted(maps.Keys(c.nodes))
}

func (c *cluster) peerAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownPeers
}

// relayNodes lists the instances of a data centre that read the topics from the store.
func (c *cluster) relayNodes(dataCentre string) []*testNode {
	var nodes []*testNode
	for _, i := range c.relays() {
		if n := c.nodes[address(i)]; n.Self.DataCentre == dataCentre {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// relays lists the machines that read the topics from the store.
func (c *cluster) relays() []int {
	var relays []int
	for i := range c.started {
		if n, ok := c.nodes[address(i)]; ok && n.ReadsStore() {
			relays = append(relays, i)
		}
	}
	return relays
}
