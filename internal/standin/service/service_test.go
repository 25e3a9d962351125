package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

func send(service *Service, method, path, key string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader("body"))
	request.Header.Set(wire.HeaderIdempotencyKey, key)
	request.Header.Set(wire.HeaderProgram, "p1")
	recorder := httptest.NewRecorder()
	service.Handler().ServeHTTP(recorder, request)
	return recorder
}

func TestDuplicatesAreVisibleUnlessDeduped(t *testing.T) {
	for dedupe, want := range map[bool]int{false: 2, true: 1} {
		service := New(Settings{ID: "t1", Dedupe: dedupe})
		first := send(service, "POST", "/any/path", "k")
		second := send(service, "POST", "/any/path", "k")
		if got := len(service.Ledger().Entries()); got != want {
			t.Errorf("dedupe %v: %d entries, want %d", dedupe, got, want)
		}
		if same := first.Body.String() == second.Body.String(); same != dedupe {
			t.Errorf("dedupe %v: responses %s and %s", dedupe, first.Body, second.Body)
		}
		var got Response
		if err := json.Unmarshal(first.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		entry := service.Ledger().Entries()[0]
		want := Response{Target: "t1", Program: "p1", Key: "k", Path: "/any/path", BodyHash: entry.BodyHash}
		if got != want || !entry.Finished {
			t.Errorf("response %+v, ledger %+v", got, entry)
		}
	}
}

func TestOutcomeWaitsForRunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := New(Settings{ServeOutcomes: true, Faults: wire.ServiceFaults{DelayMS: 50}})
		status := make(chan int)
		go send(service, "POST", "/run", "k")
		synctest.Wait()
		go func() { status <- send(service, "GET", wire.OutcomesRoute+"/k", "").Code }()
		synctest.Wait()
		started := time.Now()
		if code := <-status; code != http.StatusOK || time.Since(started) != 50*time.Millisecond {
			t.Errorf("status %d after %v", code, time.Since(started))
		}
		if code := send(service, "GET", wire.OutcomesRoute+"/other", "").Code; code != http.StatusNotFound {
			t.Errorf("unknown key: status %d", code)
		}
	})
}

func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := New(Settings{Faults: wire.ServiceFaults{FailNext: 1}})
		if code := send(service, "GET", "/x", "").Code; code != http.StatusServiceUnavailable {
			t.Errorf("FailNext: status %d", code)
		}
		service.Faults().Set(wire.ServiceFaults{Hang: true})
		hung := make(chan int)
		go func() { hung <- send(service, "GET", "/x?delay_ms=10", "").Code }()
		synctest.Wait()
		if got := len(service.Ledger().Entries()); got != 0 {
			t.Errorf("%d requests ran while failing or hung", got)
		}
		service.Faults().Set(wire.ServiceFaults{Slow: 3})
		started := time.Now()
		if code := <-hung; code != http.StatusOK || time.Since(started) != 30*time.Millisecond {
			t.Errorf("after the hang: status %d after %v", code, time.Since(started))
		}
	})
}
