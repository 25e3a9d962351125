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

// slowStore delays appends by 100 ms for each one in flight. It rejects those
// with a record whose key begins with "bad", and fails all once a record with
// the key "away" was appended alone.
type slowStore struct {
	Store
	unavailable bool
	mu          sync.Mutex
	inFlight    int
	appends     [][]platform.Record
}

func (s *slowStore) Append(_ context.Context, a platform.Append) (int64, error) {
	s.mu.Lock()
	s.inFlight++
	together := s.inFlight
	s.appends = append(s.appends, a.Records)
	s.mu.Unlock()
	time.Sleep(time.Duration(together) * 100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.unavailable = s.unavailable || len(a.Records) == 1 && a.Records[0].Key == "away"
	if s.unavailable {
		return 0, platform.ErrBusy
	}
	for _, r := range a.Records {
		if strings.HasPrefix(r.Key, "bad") {
			return 0, platform.ErrRejected
		}
	}
	return 0, nil
}

// noPeers is the Peers of the only instance of a cluster.
type noPeers struct{ Peers }

func (noPeers) Broadcast(structs.Message) {}

// appendAll appends one record of the given size per key to one partition while
// an append is in flight. It returns the error for each key.
func appendAll(t *testing.T, store *slowStore, callBytes, size int, keys ...string) map[string]error {
	outcome := make(map[string]error)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := New(ctx, Config{
			Directory: directory.New(structs.Peer{ID: "a~1"}), Partitions: 1, MaxCallBytes: callBytes, Store: store, Peers: noPeers{},
			Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
		})
		var work sync.WaitGroup
		var mu sync.Mutex
		for _, key := range append([]string{"first"}, keys...) {
			work.Go(func() {
				err := m.appendBatched(ctx, m.partitions[0], nil, []platform.Record{{Key: key, Value: make([]byte, size)}}).err
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

// Records that arrive while an append is in flight are batched into the next
// one, within the size limit of an append.
func TestBatchesStayWithinMaxAppendBytes(t *testing.T) {
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
		t.Errorf("records per append: got %v, want [1 4 4 2]", sizes)
	}
}

// A record that the store rejects does not fail the others of its batch.
func TestRejectedTurnDoesNotFailOthers(t *testing.T) {
	for key, err := range appendAll(t, new(slowStore), 0, 10, "bad", "good", "better") {
		if errors.Is(err, platform.ErrRejected) != (key == "bad") {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// If the store becomes unavailable while a batch is appended one by one, the
// remaining requests fail at once.
func TestSeparateAppendsStopWhenStoreIsUnavailable(t *testing.T) {
	store := new(slowStore)
	outcome := appendAll(t, store, 0, 10, "bad", "away", "c", "d", "e", "f")
	if len(store.appends) != 4 {
		t.Errorf("got %d appends, want 4", len(store.appends))
	}
	if !errors.Is(outcome["f"], platform.ErrBusy) {
		t.Errorf("last request: got error %v, want ErrBusy", outcome["f"])
	}
}
