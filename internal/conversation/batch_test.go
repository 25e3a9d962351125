package conversation

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// slowStore takes an append in a tenth of a second and rejects those with a
// record whose key begins with "bad"; behind one whose key is "away" it refuses.
type slowStore struct {
	Store
	away    bool
	mu      sync.Mutex
	flying  int
	appends [][]platform.Record
}

func (s *slowStore) Append(_ context.Context, a platform.Append) (int64, error) {
	s.mu.Lock()
	s.flying++
	together := s.flying
	s.appends = append(s.appends, a.Records)
	s.mu.Unlock()
	time.Sleep(time.Duration(together) * 100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flying--
	s.away = s.away || len(a.Records) == 1 && a.Records[0].Key == "away"
	if s.away {
		return 0, platform.ErrBusy
	}
	for _, r := range a.Records {
		if strings.HasPrefix(r.Key, "bad") {
			return 0, platform.ErrRejected
		}
	}
	return 0, nil
}

// nobody is the peers of an instance that is alone.
type nobody struct{ Peers }

func (nobody) Broadcast(structs.Message) {}

// appendAll has records of a size, one a caller, appended to one partition while an
// append is in flight. It returns the callers' errors.
func appendAll(t *testing.T, store *slowStore, callBytes, size int, keys ...string) map[string]error {
	outcome := make(map[string]error)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		k := New(ctx, Config{
			Directory: directory.New(structs.Peer{ID: "a~1"}), Partitions: 1, MaxCallBytes: callBytes, Store: store, Peers: nobody{},
			Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
		})
		var work sync.WaitGroup
		var mu sync.Mutex
		for _, key := range append([]string{"first"}, keys...) {
			work.Go(func() {
				err := k.appendBatched(ctx, k.partitions[0], nil, []platform.Record{{Key: key, Value: make([]byte, size)}}).err
				mu.Lock()
				defer mu.Unlock()
				outcome[key] = err
			})
			synctest.Wait()
		}
		work.Wait()
	})
	return outcome
}

// What comes while an append is in flight goes into the next one, within the
// bytes that a call may have.
func TestTurnsRideTogetherWithinTheBytesOfACall(t *testing.T) {
	var keys []string
	for i := range 10 {
		keys = append(keys, fmt.Sprint("turn", i))
	}
	store := new(slowStore)
	appendAll(t, store, 1000, 200, keys...)
	var sizes []int
	for _, records := range store.appends {
		sizes = append(sizes, len(records))
	}
	if fmt.Sprint(sizes) != "[1 4 4 2]" {
		t.Errorf("records an append: %v", sizes)
	}
}

// A record that the store rejects stops no other.
func TestRejectedTurnStopsNoOther(t *testing.T) {
	for key, err := range appendAll(t, new(slowStore), 0, 10, "bad", "good", "better") {
		if errors.Is(err, platform.ErrRejected) != (key == "bad") {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// A store that goes away while turns are appended one by one does not hold up the
// partition for each of them.
func TestTurnsApartStopWhenTheStoreIsAway(t *testing.T) {
	store := new(slowStore)
	outcome := appendAll(t, store, 0, 10, "bad", "away", "c", "d", "e", "f")
	if len(store.appends) != 4 {
		t.Errorf("%d appends", len(store.appends))
	}
	if !errors.Is(outcome["f"], platform.ErrBusy) {
		t.Errorf("the last one got %v", outcome["f"])
	}
}
