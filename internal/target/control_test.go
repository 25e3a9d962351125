package target

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"sync/atomic"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestAskOutcome(t *testing.T) {
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case wire.OutcomesRoute + "/p:ran":
			_ = json.NewEncoder(w).Encode(wire.OutcomeReply{Status: 201, ContentType: "text/plain", Body: []byte("paid")})
		case wire.OutcomesRoute + "/p:not/ran":
			w.WriteHeader(http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	paid := structs.Outcome{Kind: structs.OutcomeAnswered, Status: 201, ContentType: "text/plain", Body: []byte("paid")}
	for key, want := range map[string]structs.OutcomeQueried{
		"ran": {Run: "r", Reached: true, Found: true, Outcome: paid}, "not/ran": {Run: "r", Reached: true}, "fails": {Run: "r"},
	} {
		f.QueryOutcome(structs.QueryOutcome{Run: "r", Target: f.target(plainService), Program: "p", Key: key})
		if got := next[structs.OutcomeQueried](f); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v", key, got)
		}
	}
	f.server.Close()
	f.QueryOutcome(structs.QueryOutcome{Run: "r", Target: f.target(plainService), Program: "p", Key: "ran"})
	if got := next[structs.OutcomeQueried](f); got.Reached {
		t.Fatalf("%+v", got)
	}
}

func TestReleaseCache(t *testing.T) {
	var reply atomic.Value
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(reply.Load().(string))) })
	for body, done := range map[string]bool{`{"held_tokens":0}`: true, `{"held_tokens":5}`: false, `{}`: false, `x`: false} {
		reply.Store(body)
		f.ReleaseCache(structs.ReleaseCache{Target: f.target(engineService), Program: "p"})
		if got := next[structs.CacheReleased](f); got != (structs.CacheReleased{Target: "t1", Program: "p", Done: done}) {
			t.Errorf("%s: %+v", body, got)
		}
	}
	if got := f.requests(wire.CacheReleaseRoute)[0]; got.body != `{"program":"p"}` {
		t.Fatalf("%+v", got)
	}
}

func TestWatchEngine(t *testing.T) {
	var up atomic.Bool
	up.Store(true)
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !up.Load():
			w.WriteHeader(http.StatusInternalServerError)
		case r.URL.Path == wire.LoadRoute:
			_ = json.NewEncoder(w).Encode(wire.EngineLoad{Running: 3})
		default:
			_ = json.NewEncoder(w).Encode(wire.CacheEvents{})
		}
	})
	f.WatchTargets(structs.WatchTargets{Targets: []structs.Target{f.target(engineService)}})
	if got := next[structs.TargetLoad](f); got.Target != "t1" || got.Load.Running != 3 {
		t.Fatalf("%+v", got)
	}
	up.Store(false)
	next[structs.TargetUnreachable](f)
	up.Store(true)
	next[structs.TargetLoad](f)
}

func TestWatchOthers(t *testing.T) {
	var status atomic.Int32
	status.Store(http.StatusNotFound)
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) })
	f.WatchTargets(structs.WatchTargets{Targets: []structs.Target{f.target(plainService)}})
	next[structs.TargetLoad](f)
	status.Store(http.StatusServiceUnavailable)
	next[structs.TargetUnreachable](f)
	f.WatchTargets(structs.WatchTargets{})
	if len(f.watches) != 0 || len(f.requests("")) != len(f.requests(wire.HealthRoute)) {
		t.Fatal(f.requests(""))
	}
}

func cacheEvents(sequences ...uint64) []wire.CacheEvent {
	var events []wire.CacheEvent
	for _, sequence := range sequences {
		events = append(events, wire.CacheEvent{Sequence: sequence, Program: fmt.Sprint(sequence)})
	}
	return events
}

func TestCacheEventGaps(t *testing.T) {
	f := newFake(t, nil)
	w := &watch{runner: f.Runner, target: f.target(engineService)}
	for i, c := range []struct {
		page wire.CacheEvents
		want *structs.TargetCache
	}{
		{wire.CacheEvents{Events: cacheEvents(0, 0, 1), Next: 2}, &structs.TargetCache{Events: cacheEvents(0, 1)}},
		{wire.CacheEvents{Next: 2}, nil},
		{wire.CacheEvents{Events: cacheEvents(1, 3), Next: 4}, &structs.TargetCache{Gap: true, Events: cacheEvents(3)}},
		{wire.CacheEvents{Events: cacheEvents(4), Next: 5}, &structs.TargetCache{Events: cacheEvents(4)}},
		{wire.CacheEvents{Next: 7}, &structs.TargetCache{Gap: true}},
		// The engine was restarted: its sequence is lower.
		{wire.CacheEvents{Next: 6}, nil},
		{wire.CacheEvents{Events: cacheEvents(0), Next: 1}, &structs.TargetCache{Gap: true, Events: cacheEvents(0)}},
	} {
		w.report(c.page)
		var got *structs.TargetCache
		select {
		case event := <-f.events:
			posted := event.(structs.TargetCache)
			posted.Target, got = "", &posted
		default:
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Fatalf("page %d: got %+v, want %+v", i, got, c.want)
		}
	}
}

func TestDroppedCacheEventsAreAGap(t *testing.T) {
	f := newFake(t, nil)
	w := &watch{runner: f.Runner, target: f.target(engineService)}
	for range cap(f.events) {
		f.post(structs.DrainStart{})
	}
	w.report(wire.CacheEvents{Events: cacheEvents(0), Next: 1})
	<-f.events
	w.report(wire.CacheEvents{Events: cacheEvents(1), Next: 2})
	if got := next[structs.TargetCache](f); !got.Gap {
		t.Fatalf("%+v", got)
	}
}

func TestRestartCheckRequestsTheLastEvent(t *testing.T) {
	w := &watch{from: 5}
	requested := make(map[uint64]int)
	for range 2 * restartCheckPolls {
		requested[w.requestFrom()]++
	}
	if requested[4] != 2 || requested[5] != 2*restartCheckPolls-2 {
		t.Fatal(requested)
	}
}
