package edge

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

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

func (s *topicStore) Newest(_ context.Context, topic string, _ int) (platform.Newest, error) {
	if s.away(topic) {
		return platform.Newest{}, errAway
	}
	return platform.Newest{}, nil
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
}

func inFeedWorld(t *testing.T, body func(w *feedWorld)) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		health := feed.NewHealth()
		w := &feedWorld{registry: targets.NewRegistry("dc")}
		w.feed = newTargetFeed(w.registry, health, log)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		for _, name := range []string{platform.TopicTargets, topicInstances} {
			f := feed.Follower{
				Store: &w.store, Topic: feed.NewTopic(name, func(platform.Record) {}), Wait: time.Second, Health: health, Log: log,
			}
			work.Go(func() { f.Run(ctx) })
		}
		w.feed.apply(platform.Record{Key: "t", Value: []byte(`{"Service":"s","Address":"a:1","Slots":4,"State":"ready"}`)})
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
		w.feed.apply(platform.Record{Key: "t", Offset: 2, Value: []byte(`{"Service":"s","Address":"a:1","Slots":4,"State":"ready"}`)})
		if !w.hasAfter(2 * returnTime) {
			t.Error("a target that registered again was removed")
		}
	})
}
