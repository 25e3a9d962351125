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

// fakeStore is a store whose reads succeed, are refused or hang.
type fakeStore struct {
	mu     sync.Mutex
	refuse bool
	hang   bool
	// pageSize is the maximum number of records of a reply, 0 for no maximum.
	pageSize int
	// early makes reads reply before their wait has ended.
	early  bool
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

func (s *fakeStore) callCount() int {
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

func (s *fakeStore) ReadPage(ctx context.Context, _ string, _ int, from int64, wait time.Duration) (platform.Page, error) {
	s.mu.Lock()
	s.calls++
	refuse, hang, early := s.refuse, s.hang, s.early
	page := platform.Page{Next: max(from, s.newest.End), End: s.newest.End}
	for _, r := range s.newest.Records {
		switch {
		case r.Offset < from:
		case s.pageSize > 0 && len(page.Records) == s.pageSize:
			page.Next = min(page.Next, r.Offset)
		default:
			page.Records = append(page.Records, r)
		}
	}
	s.mu.Unlock()
	switch {
	case refuse:
		return platform.Page{Next: from}, platform.ErrBusy
	case hang:
		<-ctx.Done()
		return platform.Page{Next: from}, ctx.Err()
	case len(page.Records) > 0 || early:
		return page, nil
	}
	select {
	case <-ctx.Done():
		return platform.Page{Next: from}, ctx.Err()
	case <-time.After(wait):
		return platform.Page{Next: from, End: from}, nil
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

// While the store refuses an instance, its topics share one retry budget, and all are
// read soon after the store recovers.
func TestTopicsThatFailTogetherShareRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, health := &fakeStore{}, NewHealth()
		topics := follow(t, health, store, 3*time.Second, "a", "b", "c")
		synctest.Wait()
		store.set(true, false)
		time.Sleep(4 * time.Second)
		before := store.callCount()
		const outage = 12 * time.Second
		time.Sleep(outage)
		if calls := store.callCount() - before; calls > int(outage/maxRetryInterval)*3/2 {
			t.Errorf("%d retries in %s", calls, outage)
		}
		store.put(platform.Record{Key: "k", Value: []byte("v"), Offset: 4})
		store.set(false, false)
		time.Sleep(maxRetryInterval * 5 / 4)
		for _, topic := range topics {
			if records := lockedSince(topic, 4); len(records) != 1 {
				t.Errorf("topic %s has %d new records", topic.Name, len(records))
			}
		}
	})
}

// A read that hangs on a cut connection is cancelled once the store recovers for another
// topic.
func TestRecoveryOfTheStoreCancelsAHangingRead(t *testing.T) {
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
			t.Fatal("the other topic is not failing")
		}
		slow.set(false, false)
		other.set(false, false)
		time.Sleep(maxRetryInterval * 2)
		if records := lockedSince(topic, 4); len(records) != 1 {
			t.Errorf("%d records", len(records))
		}
	})
}

func TestFailedReadIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, health := &fakeStore{refuse: true}, NewHealth()
		follow(t, health, store, time.Second, "a")
		time.Sleep(time.Second)
		if health.OK() {
			t.Error("no topic is failing")
		}
	})
}

// lockedSince is recordsSince with the mutex taken.
func lockedSince(t *Topic, offset int64) []platform.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordsSince(offset)
}

// pagedStore serves a topic of several pages and refuses every other call.
type pagedStore struct {
	fakeStore
	requestedAfter []string
}

func (s *pagedStore) NewestPage(_ context.Context, _ string, _ int, after string) (platform.Newest, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.calls%2 == 0 {
		return platform.Newest{}, false, platform.ErrBusy
	}
	s.requestedAfter = append(s.requestedAfter, after)
	next := map[string]string{"": "a", "a": "b", "b": "c"}[after]
	return platform.Newest{Records: []platform.Record{record(next, "v", 1)}, End: 2}, next != "c", nil
}

// A read of the whole topic resumes at the page that failed, or it might never complete
// at an overloaded store.
func TestReadOfTheWholeTopicResumesAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(pagedStore)
		topic := follow(t, NewHealth(), store, time.Second, "t")[0]
		time.Sleep(2 * time.Second)
		store.mu.Lock()
		defer store.mu.Unlock()
		if !topic.Loaded() || len(store.requestedAfter) != 3 {
			t.Errorf("pages requested after %q", store.requestedAfter)
		}
	})
}

// A reply that ends before the partition does not contain all that the store holds. The rest
// is read at once.
func TestRepliesThatEndEarlyAreReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{pageSize: 1}
		topic := NewTopic("t", func(platform.Record) {})
		f := Follower{Store: store, Topic: topic, Wait: time.Second, Pause: time.Second, Health: NewHealth(), Log: slog.New(slog.DiscardHandler)}
		var work sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		work.Go(func() { f.Run(ctx) })
		synctest.Wait()
		for offset := range int64(3) {
			store.put(record(string(rune('a'+offset)), "v", offset))
		}
		time.Sleep(2*time.Second + time.Millisecond)
		if records := lockedSince(topic, 0); len(records) != 3 {
			t.Errorf("%d of 3 records", len(records))
		}
		cancel()
		work.Wait()
	})
}

// A copy is not confirmed by a reply behind which the store holds more records.
func TestRepliesThatEndEarlyConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{pageSize: 1}
		topic := NewTopic("t", func(platform.Record) {})
		f := Follower{Store: store, Topic: topic, Wait: time.Second, Health: NewHealth(), Log: slog.New(slog.DiscardHandler)}
		if _, err := f.step(t.Context(), FromStart, false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		store.put(record("a", "v", 0))
		store.put(record("b", "v", 1))
		first := true
		f.Store = readHook{store, func() {
			store.set(false, !first) // the second read hangs
			first = false
		}}
		if _, err := f.step(t.Context(), 0, false); err == nil {
			t.Error("part of the records is taken for all")
		}
		if age := topic.Age(time.Now()); age < time.Minute {
			t.Errorf("the copy counts as %s old, though the store holds records that are not in it", age)
		}
	})
}

// A reply without records that comes before its wait has ended does not tell what the store
// holds after it.
func TestEarlyReplyDoesNotConfirmTheRestOfItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{early: true}
		topic := NewTopic("t", func(platform.Record) {})
		f := Follower{Store: store, Topic: topic, Wait: time.Second, Health: NewHealth(), Log: slog.New(slog.DiscardHandler)}
		for _, from := range []int64{FromStart, 0} {
			if _, err := f.step(t.Context(), from, false); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if age := topic.Age(time.Now()); age < time.Second {
			t.Errorf("the copy counts as %s old, a second after the reply", age)
		}
	})
}

// readHook is a Store that calls a function before each read.
type readHook struct {
	Store
	before func()
}

func (h readHook) ReadPage(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.Page, error) {
	h.before()
	return h.Store.ReadPage(ctx, topic, partition, from, wait)
}
