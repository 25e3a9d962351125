package feed

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// fakeStore answers reads, refuses them, or leaves them hanging.
type fakeStore struct {
	mu     sync.Mutex
	refuse bool
	hang   bool
	calls  int
	newest platform.Newest
}

func (s *fakeStore) set(refuse, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse, s.hang = refuse, hang
}

func (s *fakeStore) put(r platform.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest.Records = append(s.newest.Records, r)
	s.newest.End = r.Offset + 1
}

func (s *fakeStore) made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) NewestPage(context.Context, string, int, string) (platform.Newest, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.refuse {
		return platform.Newest{}, false, platform.ErrBusy
	}
	return s.newest, false, nil
}

func (s *fakeStore) Read(
	ctx context.Context, _ string, _ int, from int64, wait time.Duration,
) ([]platform.Record, int64, error) {
	s.mu.Lock()
	s.calls++
	refuse, hang := s.refuse, s.hang
	var records []platform.Record
	for _, r := range s.newest.Records {
		if r.Offset >= from {
			records = append(records, r)
		}
	}
	end := s.newest.End
	s.mu.Unlock()
	switch {
	case refuse:
		return nil, from, platform.ErrBusy
	case hang:
		<-ctx.Done()
		return nil, from, ctx.Err()
	case len(records) > 0:
		return records, end, nil
	}
	select {
	case <-ctx.Done():
		return nil, from, ctx.Err()
	case <-time.After(wait):
		return nil, from, nil
	}
}

// follow runs followers of topics until the test ends.
func follow(t *testing.T, health *Health, store Store, wait time.Duration, names ...string) []*Topic {
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		work.Wait()
	})
	var topics []*Topic
	for _, name := range names {
		topic := NewTopic(name, func(platform.Record) {})
		topics = append(topics, topic)
		f := Follower{Store: store, Topic: topic, Wait: wait, Health: health, Log: slog.New(slog.DiscardHandler)}
		work.Go(func() { f.Run(ctx) })
	}
	return topics
}

// While the store refuses an instance its topics share the tries, and all are
// read soon after its return.
func TestTopicsThatFailTogetherShareTheTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, health := &fakeStore{}, NewHealth()
		topics := follow(t, health, store, 3*time.Second, "a", "b", "c")
		synctest.Wait()
		store.set(true, false)
		time.Sleep(4 * time.Second)
		before := store.made()
		const away = 12 * time.Second
		time.Sleep(away)
		if calls := store.made() - before; calls > int(away/retryMost)*3/2 {
			t.Errorf("%d tries in %s", calls, away)
		}
		store.put(platform.Record{Key: "k", Value: []byte("v"), Offset: 4})
		store.set(false, false)
		time.Sleep(retryMost * 5 / 4)
		for _, topic := range topics {
			if records := lockedSince(topic, 4); len(records) != 1 {
				t.Errorf("topic %s has %d new records", topic.Name, len(records))
			}
		}
	})
}

// A read that waits on a connection that was cut is given up once another topic
// finds the store back.
func TestReturnOfTheStoreWakesAReadThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, other, health := &fakeStore{}, &fakeStore{}, NewHealth()
		topic := follow(t, health, slow, time.Minute, "slow")[0]
		synctest.Wait()
		slow.set(false, true)
		slow.put(platform.Record{Key: "k", Value: []byte("v"), Offset: 4})
		follow(t, health, other, time.Second, "other")
		synctest.Wait()
		other.set(true, false)
		time.Sleep(3 * time.Second)
		if health.OK() {
			t.Fatal("the other topic does not fail")
		}
		slow.set(false, false)
		other.set(false, false)
		time.Sleep(retryMost * 2)
		if records := lockedSince(topic, 4); len(records) != 1 {
			t.Errorf("%d records", len(records))
		}
	})
}

// A read that fails by itself is no wake-up.
func TestFailedReadIsNoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, health := &fakeStore{refuse: true}, NewHealth()
		follow(t, health, store, time.Second, "a")
		time.Sleep(time.Second)
		if health.OK() {
			t.Error("no topic fails")
		}
	})
}

// lockedSince lists what a topic has that began at or behind an offset.
func lockedSince(t *Topic, offset int64) []platform.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since(offset)
}

// pagedStore has a topic of some pages and refuses every other call.
type pagedStore struct {
	fakeStore
	asked []string
}

func (s *pagedStore) NewestPage(_ context.Context, _ string, _ int, after string) (platform.Newest, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.calls%2 == 0 {
		return platform.Newest{}, false, platform.ErrBusy
	}
	s.asked = append(s.asked, after)
	next := map[string]string{"": "a", "a": "b", "b": "c"}[after]
	return platform.Newest{Records: []platform.Record{record(next, "v", 1)}, End: 2}, next != "c", nil
}

// A read of the whole topic goes on from the page that it has: a store that refuses
// much would else never be read to the end.
func TestReadOfTheWholeTopicGoesOnBehindAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(pagedStore)
		topic := follow(t, NewHealth(), store, time.Second, "t")[0]
		time.Sleep(2 * time.Second)
		store.mu.Lock()
		defer store.mu.Unlock()
		if !topic.Loaded() || len(store.asked) != 3 {
			t.Errorf("pages asked behind %q", store.asked)
		}
	})
}
