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

var errAway = errors.New("the store is away")

// topicStore is a store whose topics fail one by one and hold nothing new.
type topicStore struct{ targetsAway, instancesAway atomic.Bool }

func (s *topicStore) away(topic string) bool {
	if topic == platform.TopicTargets {
		return s.targetsAway.Load()
	}
	return s.instancesAway.Load()
}

func (s *topicStore) NewestPage(_ context.Context, topic string, _ int, _ string) (platform.Newest, bool, error) {
	if s.away(topic) {
		return platform.Newest{}, false, errAway
	}
	return platform.Newest{}, false, nil
}

func (s *topicStore) Read(ctx context.Context, topic string, _ int, from int64, wait time.Duration) ([]platform.Record, int64, error) {
	if s.away(topic) {
		return nil, from, errAway
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, from, nil
}

// feedWorld is a target feed with followers of two topics, in virtual time.
type feedWorld struct {
	store    topicStore
	feed     *targetFeed
	registry *targets.Registry
	scope    tally.TestScope
	// connections are the addresses whose kept connections were closed.
	connections forgotten
}

// forgotten notes the addresses whose kept connections are closed.
type forgotten []string

func (f *forgotten) CloseIdle(address string) { *f = append(*f, address) }

// entryOf is the entry of a target that started at a time, in Unix
// milliseconds; 0 for one that does not tell.
func entryOf(start int64, state string) []byte {
	born := ""
	if start != 0 {
		born = fmt.Sprintf(`,"born":%d`, start)
	}
	return fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:80","Zone":"dc","Version":"v1","Slots":4,"State":%q,`+
		`"ColdRemainingMs":0,"Sequence":1%s}`, state, born)
}

// put applies an entry of the target.
func (w *feedWorld) put(offset int64, value []byte) {
	w.feed.apply(platform.Record{Key: "t", Offset: offset, Value: value})
}

// pick takes the target, nil if there is none to use.
func (w *feedWorld) pick() *targets.Target {
	return w.registry.Pick(targets.Criteria{Service: "s"}, time.Now())
}

func (w *feedWorld) refused(cause string) int64 {
	counter, ok := w.scope.Snapshot().Counters()["targets.entries_refused+cause="+cause]
	if !ok {
		return 0
	}
	return counter.Value()
}

func inFeedWorld(t *testing.T, body func(w *feedWorld)) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		health := feed.NewHealth()
		w := &feedWorld{registry: targets.NewRegistry("dc", exchange.NewPool(tally.NoopScope)), scope: tally.NewTestScope("", nil)}
		w.feed = newTargetFeed(w.registry, &w.connections, health, w.scope, log)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		for _, name := range []string{platform.TopicTargets, topicInstances} {
			f := feed.Follower{
				Store: &w.store, Topic: feed.NewTopic(name, func(platform.Record) {}), Wait: time.Second, Health: health, Log: log,
			}
			work.Go(func() { f.Run(ctx) })
		}
		w.feed.apply(platform.Record{Key: "t", Value: []byte(entryOf(0, "ready"))})
		body(w)
		cancel()
		work.Wait()
	})
}

// drop ends a target's registration.
func (w *feedWorld) drop() { w.feed.apply(platform.Record{Key: "t", Offset: 1}) }

// has tells whether the target is there after a time.
func (w *feedWorld) hasAfter(d time.Duration) bool {
	time.Sleep(d)
	w.feed.sweep(time.Now())
	return w.registry.Has("t")
}

func TestDroppedTargetIsGoneAtOnce(t *testing.T) {
	inFeedWorld(t, func(w *feedWorld) {
		time.Sleep(10 * time.Second)
		w.drop()
		if w.hasAfter(0) {
			t.Error("a target without a registration is still there")
		}
	})
}

// A registration that goes around an outage may only have lapsed; the target has
// the time to register again, counted from the return of the targets' own topic.
func TestLapsedTargetHasTimeToComeBack(t *testing.T) {
	inFeedWorld(t, func(w *feedWorld) {
		w.store.targetsAway.Store(true)
		w.store.instancesAway.Store(true)
		time.Sleep(5 * time.Second)
		w.drop()
		w.store.targetsAway.Store(false)
		if !w.hasAfter(returnTime / 2) {
			t.Error("the target was removed before it could register again")
		}
		// The list of instances is still away.
		if w.hasAfter(returnTime) {
			t.Error("the target stays beyond its time")
		}
	})
}

func TestTargetThatRegistersAgainStays(t *testing.T) {
	inFeedWorld(t, func(w *feedWorld) {
		w.store.targetsAway.Store(true)
		time.Sleep(5 * time.Second)
		w.drop()
		w.store.targetsAway.Store(false)
		w.feed.apply(platform.Record{Key: "t", Offset: 2, Value: []byte(entryOf(0, "ready"))})
		if !w.hasAfter(2 * returnTime) {
			t.Error("a target that registered again was removed")
		}
	})
}

// An entry that no target can have written names none to use; the others stay,
// and the next good entry of the target puts it in force again.
func TestEntryOfAnotherWriterNamesNoTarget(t *testing.T) {
	inFeedWorld(t, func(w *feedWorld) {
		w.feed.apply(platform.Record{Key: "other", Value: entryOf(0, "ready")})
		w.put(1, []byte(`{"Service":"s"}`))
		if w.registry.Has("t") || !w.registry.Has("other") {
			t.Error("the entry's target is used, or another one is not")
		}
		w.put(2, []byte("\xff"))
		w.put(3, entryOf(0, "warming"))
		if w.registry.Has("t") {
			t.Error("a target with an unknown state is used")
		}
		for _, cause := range []string{"missing_field", "encoding", "unknown_state"} {
			if w.refused(cause) != 1 {
				t.Errorf("%d entries refused for %s", w.refused(cause), cause)
			}
		}
		w.put(4, entryOf(0, "ready"))
		if !w.registry.Has("t") {
			t.Error("the target is not used again")
		}
	})
}

// A target that starts again under its id is another one: what was known of the
// former is gone, and its kept connections are closed.
func TestLaterStartReplacesTheTarget(t *testing.T) {
	inFeedWorld(t, func(w *feedWorld) {
		w.put(1, entryOf(1000, "ready"))
		former := w.pick()
		w.registry.RecordFailure(former, time.Now())
		w.put(2, entryOf(2000, "ready"))
		next := w.pick()
		if next == former || next.Incarnation() == former.Incarnation() || next.ID != former.ID {
			t.Error("the later start is taken for the former")
		}
		if w.registry.IsRegistered(former.Incarnation()) || w.registry.PickIncarnation(former.Incarnation()) != nil {
			t.Error("the former start still counts as running")
		}
		if got := []string(w.connections); !slices.Contains(got, "10.0.0.1:80") {
			t.Errorf("connections closed: %v", got)
		}
	})
}

// What an earlier start wrote changes nothing when it takes effect late, also
// after the later one's entry has gone.
func TestEntryOfAnEarlierStartChangesNothing(t *testing.T) {
	inFeedWorld(t, func(w *feedWorld) {
		time.Sleep(10 * time.Second) // long after any outage
		w.put(1, entryOf(2000, "ready"))
		present := w.pick()
		w.put(2, entryOf(1000, "draining"))
		if w.pick() != present {
			t.Error("an entry of an earlier start changed the target")
		}
		w.put(3, nil)
		w.put(4, entryOf(1000, "ready"))
		if w.registry.Has("t") {
			t.Error("an earlier start is used after a later one")
		}
		if w.refused("earlier_start") != 2 {
			t.Errorf("%d entries refused", w.refused("earlier_start"))
		}
		w.put(5, entryOf(3000, "ready"))
		if !w.registry.Has("t") {
			t.Error("a later start is not used")
		}
	})
}

// A target that tells its start tells it in each entry.
func TestEntryWithoutTheKnownStartIsAnotherWriters(t *testing.T) {
	inFeedWorld(t, func(w *feedWorld) {
		w.put(1, entryOf(2000, "ready"))
		w.put(2, entryOf(0, "ready"))
		if w.registry.Has("t") {
			t.Error("the entry is taken for the target's")
		}
	})
}

// The log and the memory stay bounded however many entries are refused.
func TestRefusalsAreBounded(t *testing.T) {
	inFeedWorld(t, func(w *feedWorld) {
		for i := range 2 * maxRefusalsKept {
			w.feed.apply(platform.Record{Key: fmt.Sprint("foreign", i), Value: []byte("x")})
		}
		if len(w.feed.refusals.kept) > maxRefusalsKept || w.refused("encoding") != 2*maxRefusalsKept {
			t.Errorf("%d kept, %d counted", len(w.feed.refusals.kept), w.refused("encoding"))
		}
	})
}
