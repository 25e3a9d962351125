package logclient

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestMembersArePostedOnChange(t *testing.T) {
	var list atomic.Pointer[wire.MemberList]
	var polls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if polls.Add(1)%3 == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(list.Load())
	}))
	t.Cleanup(server.Close)
	list.Store(&wire.MemberList{Version: 1, Members: []wire.Member{{ID: "a"}}})
	e := newEvents(t, 16)
	cfg := MembersConfig{URL: server.URL, Interval: time.Millisecond, RepostPolls: 1 << 20}
	m, err := NewMembers(context.Background(), cfg, e.post, tally.NoopScope, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	for version := range uint64(3) {
		next := &wire.MemberList{Version: 2 + version, Members: []wire.Member{{ID: "a", State: wire.MemberStateLeaving}}}
		if got := e.next().(structs.MembersListed).List; got.Version != 1+version || len(got.Members) != 1 {
			t.Fatalf("got %+v", got)
		}
		list.Store(next)
	}
}

func TestUnchangedMembersArePostedPeriodically(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(wire.MemberList{Version: 1})
	}))
	t.Cleanup(server.Close)
	e := newEvents(t, 16)
	cfg := MembersConfig{URL: server.URL, Interval: time.Millisecond, RepostPolls: 2}
	m, err := NewMembers(context.Background(), cfg, e.post, tally.NoopScope, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	for range 3 {
		e.next()
	}
}

func TestUnchangedMembersAreNotFetched(t *testing.T) {
	var fullReplies atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"7"`)
		if r.Header.Get("If-None-Match") == `"7"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullReplies.Add(1)
		_ = json.NewEncoder(w).Encode(wire.MemberList{Version: 7, Members: []wire.Member{{ID: "a"}}})
	}))
	t.Cleanup(server.Close)
	e := newEvents(t, 16)
	cfg := MembersConfig{URL: server.URL, Interval: time.Millisecond, RepostPolls: 2}
	m, err := NewMembers(context.Background(), cfg, e.post, tally.NoopScope, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	for range 3 {
		if got := e.next().(structs.MembersListed).List; got.Version != 7 || len(got.Members) != 1 {
			t.Fatalf("got %+v", got)
		}
	}
	if n := fullReplies.Load(); n != 1 {
		t.Fatalf("list was sent %d times, want 1", n)
	}
}
