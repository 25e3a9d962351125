package edge

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

var errUnavailable = errors.New("the store is unavailable")

// topicStore is a store whose topics can be made unavailable one by one. It returns no
// records.
type topicStore struct{ targetsUnavailable, instancesUnavailable atomic.Bool }

func (s *topicStore) unavailable(topic string) bool {
	if topic == platform.TopicTargets {
		return s.targetsUnavailable.Load()
	}
	return s.instancesUnavailable.Load()
}

func (s *topicStore) NewestPage(_ context.Context, topic string, _ int, _ string) (platform.Newest, bool, error) {
	if s.unavailable(topic) {
		return platform.Newest{}, false, errUnavailable
	}
	return platform.Newest{}, false, nil
}

func (s *topicStore) ReadPage(ctx context.Context, topic string, _ int, from int64, wait time.Duration) (platform.Page, error) {
	page := platform.Page{Next: from, End: from}
	if s.unavailable(topic) {
		return page, errUnavailable
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return page, nil
}

// feedHarness runs a target feed with followers of two topics, in virtual time.
type feedHarness struct {
	store    topicStore
	feed     *targetFeed
	registry *targets.Registry
	scope    tally.TestScope
	// connections lists the addresses whose idle connections were closed.
	connections closedConnections
	versions    versionChanges
}

// versionChanges counts the calls of VersionsChanged.
type versionChanges int

func (c *versionChanges) VersionsChanged() { *c++ }

// closedConnections records the addresses whose idle connections are closed.
type closedConnections []string

func (c *closedConnections) CloseIdle(address string) { *c = append(*c, address) }

// targetEntry returns the entry of a target with a start in Unix milliseconds; 0 for a
// target that does not report its start.
func targetEntry(start int64, state string) []byte {
	startField := ""
	if start != 0 {
		startField = fmt.Sprintf(`,"born":%d`, start)
	}
	return fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:80","Zone":"dc","Version":"v1","Slots":4,"State":%q,`+
		`"ColdRemainingMs":0,"Sequence":1%s}`, state, startField)
}

// put applies an entry of the target.
func (h *feedHarness) put(offset int64, value []byte) {
	h.feed.apply(platform.Record{Key: "t", Offset: offset, Value: value})
}

// pick picks the target, nil if it is not usable.
func (h *feedHarness) pick() *targets.Target {
	return h.registry.Pick(targets.Criteria{Service: "s"}, time.Now())
}

func (h *feedHarness) refused(cause string) int64 {
	counter, ok := h.scope.Snapshot().Counters()["targets.entries_refused+cause="+cause]
	if !ok {
		return 0
	}
	return counter.Value()
}

// testHeartbeat is the time between two registrations of a target.
const testHeartbeat = 1200 * time.Millisecond

func withFeedHarness(t *testing.T, body func(h *feedHarness)) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		health := feed.NewHealth()
		h := &feedHarness{registry: targets.NewRegistry("dc", exchange.NewPool(tally.NoopScope)), scope: tally.NewTestScope("", nil)}
		h.feed = newTargetFeed(platform.Machine{TargetHeartbeat: testHeartbeat}, h.registry, &h.connections, &h.versions, health, h.scope, log)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		for _, name := range []string{platform.TopicTargets, topicInstances} {
			f := feed.Follower{
				Store: &h.store, Topic: feed.NewTopic(name, func(platform.Record) {}), Wait: time.Second, Health: health, Log: log,
			}
			if name == platform.TopicTargets {
				f.Topic.OnConfirm = h.feed.confirmed
			}
			work.Go(func() { f.Run(ctx) })
		}
		h.feed.apply(platform.Record{Key: "t", Value: []byte(targetEntry(0, "ready"))})
		body(h)
		cancel()
		work.Wait()
	})
}

// drop ends the target's registration.
func (h *feedHarness) drop() { h.feed.apply(platform.Record{Key: "t", Offset: 1}) }

// hasAfter reports whether the target is registered after a delay.
func (h *feedHarness) hasAfter(d time.Duration) bool {
	time.Sleep(d)
	h.feed.sweep(time.Now())
	return h.registry.Has("t")
}

func TestDroppedTargetIsRemovedAtOnce(t *testing.T) {
	withFeedHarness(t, func(h *feedHarness) {
		time.Sleep(10 * time.Second)
		h.drop()
		if h.hasAfter(0) {
			t.Error("a target without a registration was not removed")
		}
	})
}

// A registration that ends around an outage may only have lapsed. The target has time to
// register again, counted from the recovery of the targets' own topic.
func TestLapsedTargetHasTimeToRegisterAgain(t *testing.T) {
	withFeedHarness(t, func(h *feedHarness) {
		h.store.targetsUnavailable.Store(true)
		h.store.instancesUnavailable.Store(true)
		time.Sleep(5 * time.Second)
		h.drop()
		h.store.targetsUnavailable.Store(false)
		if !h.hasAfter(reregisterGrace / 2) {
			t.Error("the target was removed before it could register again")
		}
		// The list of instances is still unavailable.
		if h.hasAfter(reregisterGrace) {
			t.Error("the target was not removed after the grace period")
		}
	})
}

// An outage in which no registration can lapse must not delay the removal of a target that
// leaves.
func TestTargetThatLeavesAroundAShortOutageIsRemovedAtOnce(t *testing.T) {
	for _, after := range []time.Duration{0, reregisterGrace / 2} {
		withFeedHarness(t, func(h *feedHarness) {
			time.Sleep(10 * time.Second)
			h.store.targetsUnavailable.Store(true)
			time.Sleep(testHeartbeat)
			if h.feed.health.OK() {
				t.Fatal("the outage was not noticed")
			}
			h.store.targetsUnavailable.Store(false)
			time.Sleep(maxRecoveryTime + after)
			h.drop()
			if h.hasAfter(0) {
				t.Errorf("a target that left %s after the outage was not removed", after)
			}
		})
	}
}

// maxRecoveryTime is longer than a follower takes to notice that the store is back.
const maxRecoveryTime = 500 * time.Millisecond

func TestTargetThatRegistersAgainStays(t *testing.T) {
	withFeedHarness(t, func(h *feedHarness) {
		h.store.targetsUnavailable.Store(true)
		time.Sleep(5 * time.Second)
		h.drop()
		h.store.targetsUnavailable.Store(false)
		h.feed.apply(platform.Record{Key: "t", Offset: 2, Value: []byte(targetEntry(0, "ready"))})
		if !h.hasAfter(2 * reregisterGrace) {
			t.Error("a target that registered again was removed")
		}
	})
}

// A malformed entry makes its target unusable and affects no other target. The next
// well-formed entry makes the target usable again.
func TestEntryOfAnotherWriterIsIgnored(t *testing.T) {
	withFeedHarness(t, func(h *feedHarness) {
		h.feed.apply(platform.Record{Key: "other", Value: targetEntry(0, "ready")})
		h.put(1, []byte(`{"Service":"s"}`))
		if h.registry.Has("t") || !h.registry.Has("other") {
			t.Error("the entry's target is registered, or another one is not")
		}
		h.put(2, []byte("\xff"))
		h.put(3, targetEntry(0, "warming"))
		if h.registry.Has("t") {
			t.Error("a target with an unknown state is registered")
		}
		for _, cause := range []string{"missing_field", "encoding", "unknown_state"} {
			if h.refused(cause) != 1 {
				t.Errorf("%d entries refused for %s", h.refused(cause), cause)
			}
		}
		h.put(4, targetEntry(0, "ready"))
		if !h.registry.Has("t") {
			t.Error("the target is not registered again")
		}
	})
}

// A target that restarts under the same id is a new target: the state of the earlier
// incarnation is dropped, and its idle connections are closed.
func TestRestartedTargetReplacesTheEarlierOne(t *testing.T) {
	withFeedHarness(t, func(h *feedHarness) {
		h.put(1, targetEntry(1000, "ready"))
		first := h.pick()
		h.registry.RecordFailure(first, time.Now())
		h.put(2, targetEntry(2000, "ready"))
		next := h.pick()
		if next == first || next.Incarnation() == first.Incarnation() || next.ID != first.ID {
			t.Error("the later incarnation is treated as the earlier one")
		}
		if h.registry.IsRegistered(first.Incarnation()) || h.registry.PickIncarnation(first.Incarnation()) != nil {
			t.Error("the earlier incarnation still counts as running")
		}
		if got := []string(h.connections); !slices.Contains(got, "10.0.0.1:80") {
			t.Errorf("connections closed: %v", got)
		}
	})
}

// An entry of an earlier incarnation changes nothing when it takes effect late, even
// after the entry of the later incarnation was dropped.
func TestEntryOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	withFeedHarness(t, func(h *feedHarness) {
		time.Sleep(10 * time.Second) // long after any outage
		h.put(1, targetEntry(2000, "ready"))
		present := h.pick()
		h.put(2, targetEntry(1000, "draining"))
		if h.pick() != present {
			t.Error("an entry of an earlier incarnation changed the target")
		}
		h.put(3, nil)
		h.put(4, targetEntry(1000, "ready"))
		if h.registry.Has("t") {
			t.Error("an earlier incarnation is registered after a later one")
		}
		if h.refused("earlier_start") != 2 {
			t.Errorf("%d entries refused", h.refused("earlier_start"))
		}
		h.put(5, targetEntry(3000, "ready"))
		if !h.registry.Has("t") {
			t.Error("a later incarnation is not registered")
		}
	})
}

// A target that has reported its start reports it in each entry.
func TestEntryWithoutTheKnownStartTimeIsRefused(t *testing.T) {
	withFeedHarness(t, func(h *feedHarness) {
		h.put(1, targetEntry(2000, "ready"))
		h.put(2, targetEntry(0, "ready"))
		if h.registry.Has("t") {
			t.Error("an entry without the start is accepted")
		}
	})
}

// Log lines and memory stay bounded however many entries are refused.
func TestRefusalsAreBounded(t *testing.T) {
	withFeedHarness(t, func(h *feedHarness) {
		for i := range 2 * maxTrackedRefusals {
			h.feed.apply(platform.Record{Key: fmt.Sprint("foreign", i), Value: []byte("x")})
		}
		if len(h.feed.refusals.causes) > maxTrackedRefusals || h.refused("encoding") != 2*maxTrackedRefusals {
			t.Errorf("%d tracked, %d counted", len(h.feed.refusals.causes), h.refused("encoding"))
		}
	})
}
