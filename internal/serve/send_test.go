package serve

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/targets"
)

// These tests check which targets get a request, and how often.

func TestRefusedRequestIsSentToAnotherTarget(t *testing.T) {
	h := newHarness(t)
	h.target("full", "app", refuseFull)
	h.target("free", "app", serveText("ok"))
	for range 10 {
		if got := h.do(h.request("POST", "/once/", "b")); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
}

func TestAllTargetsFull(t *testing.T) {
	h := newHarness(t)
	h.target("full", "app", refuseFull)
	got := h.do(h.request("POST", "/once/", "b"))
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", got)
	}
}

func TestRequestThatMayHaveRunIsNotResent(t *testing.T) {
	h := newHarness(t)
	a := h.target("a", "app", cutConnection)
	b := h.target("b", "app", cutConnection)
	got := h.do(h.request("POST", "/once/", "b"))
	if got.status != 502 {
		t.Errorf("got %+v, want a status that leaves open whether it ran", got)
	}
	if n := a.count() + b.count(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestRequestOnAStaleConnectionIsNotResent(t *testing.T) {
	h := newHarness(t)
	tg := h.target("a", "app", func(n int, rw http.ResponseWriter, r *http.Request) {
		if n == 1 {
			serveText("ok")(n, rw, r)
			return
		}
		cutConnection(n, rw, r)
	})
	h.do(h.request("POST", "/once/", "b"))
	if got := h.do(h.request("POST", "/once/", "b")); got.status != 502 || tg.count() != 2 {
		t.Errorf("got %+v after %d sends", got, tg.count())
	}
}

func TestUnreachableTargetIsSkipped(t *testing.T) {
	h := newHarness(t)
	unreachable := h.target("unreachable", "app", serveText("never"))
	unreachable.server.Close()
	h.target("reachable", "app", serveText("ok"))
	for range 5 {
		if got := h.do(h.request("POST", "/once/", "b")); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
}

func TestRepeatableRequestIsSentToAsManyTargetsAsAllowed(t *testing.T) {
	h := newHarness(t)
	var all []*target
	for i := range 4 {
		all = append(all, h.target(fmt.Sprint("t", i), "app", cutConnection))
	}
	if got := h.do(h.request("GET", "/safe/", "")); got.status != 502 {
		t.Errorf("got %+v", got)
	}
	ran := 0
	for _, tg := range all {
		if tg.count() > 0 {
			ran++
		}
	}
	if ran > 2 {
		t.Errorf("run by %d targets, the route allows 2", ran)
	}
}

// A target that is down closes each connection at once and therefore appears idle.
func TestRepeatableRequestIsRetriedAfterBrokenConnection(t *testing.T) {
	h := newHarness(t)
	var other atomic.Bool
	// The working target is registered by the broken one's handler, so that the broken
	// one always gets the request first.
	down := h.target("down", "app", func(n int, rw http.ResponseWriter, r *http.Request) {
		if other.CompareAndSwap(false, true) {
			h.target("working", "app", serveText("ok"))
		}
		cutConnection(n, rw, r)
	})
	if got := h.do(h.request("GET", "/safe/", "")); got.status != 200 || got.body != "ok" {
		t.Errorf("got %+v", got)
	}
	if n := down.count(); n != 1 {
		t.Errorf("sent %d times to the broken target", n)
	}
}

// Other instances are notified of a target that closes new connections, but not of one
// that closed a reused connection, after which the target is tried on a new one.
func TestConnectionFailuresAreReportedToOthers(t *testing.T) {
	h := newHarness(t)
	h.server.connFailureThreshold = time.Minute // independent of the machine's speed
	h.target("down", "app", cutConnection)
	h.do(h.request("POST", "/once/", "b"))
	if n := h.failureReports.Load(); n != 1 {
		t.Errorf("%d notices of a target that is down", n)
	}
	h.target("drops", "engine", func(n int, rw http.ResponseWriter, r *http.Request) {
		if n == 2 {
			cutConnection(n, rw, r)
		}
		serveEvents(2, neverCut)(n, rw, r)
	})
	for range 2 {
		if got := h.do(h.request("POST", "/turns/", "b")); got.status != 200 {
			t.Errorf("got %+v", got)
		}
	}
	if n := h.failureReports.Load(); n != 1 {
		t.Errorf("%d notices after a reused connection ended", n)
	}
}

// A request that may run at one target only is not sent to it repeatedly.
func TestBrokenTargetGetsAtMostTwoSends(t *testing.T) {
	h := newHarness(t)
	down := h.target("down", "engine", cutConnection)
	got := h.do(h.request("POST", "/turns/", "b"))
	if got.status != 502 {
		t.Errorf("got %+v", got)
	}
	if n := down.count(); n > 2 {
		t.Errorf("sent %d times to the broken target", n)
	}
}

func TestTruncatedResponseOfRepeatableRequestIsRetried(t *testing.T) {
	h := newHarness(t)
	h.target("a", "app", func(n int, rw http.ResponseWriter, r *http.Request) {
		sign(rw)
		if n == 1 {
			rw.Header().Set("Content-Length", "100")
			_, _ = rw.Write([]byte("short"))
			return
		}
		_, _ = rw.Write([]byte("whole"))
	})
	if got := h.do(h.request("GET", "/safe/", "")); got.status != 200 || got.body != "whole" {
		t.Errorf("got %+v", got)
	}
}

func TestRepeatableRequestIsRetriedAfterTimeout(t *testing.T) {
	h := newHarness(t)
	ended := make(chan struct{})
	// The working target is registered by the unresponsive one's handler, so that the
	// unresponsive one always gets the request first.
	h.target("unresponsive", "app", func(_ int, _ http.ResponseWriter, r *http.Request) {
		h.target("working", "app", serveText("ok"))
		<-r.Context().Done()
		close(ended)
	})
	if got := h.do(h.request("GET", "/quick/", "")); got.status != 200 || got.body != "ok" {
		t.Fatalf("got %+v", got)
	}
	<-ended // the work at the unresponsive target was cancelled
}

func TestDrainingTargetGetsNoRequests(t *testing.T) {
	h := newHarness(t)
	leaving := h.target("leaving", "app", serveText("ok"))
	h.target("stays", "app", serveText("ok"))
	h.targets.Put(targets.Entry{
		ID: "leaving", Service: "app", Address: leaving.server.Listener.Addr().String(), Slots: 4, Draining: true,
	})
	for range 10 {
		h.do(h.request("GET", "/safe/", ""))
	}
	if leaving.count() != 0 {
		t.Errorf("%d requests went to a draining target", leaving.count())
	}
}

func TestAddressReusedByAnotherTarget(t *testing.T) {
	h := newHarness(t)
	h.target("old", "app", func(_ int, rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusMisdirectedRequest)
	})
	h.target("new", "app", serveText("ok"))
	for range 5 {
		if got := h.do(h.request("POST", "/once/", "b")); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
}

// An engine may fail some turns while its health checks pass: the program's next turn
// goes to another engine, and other instances are notified.
func TestEngineIsAvoidedAfterAFailedTurn(t *testing.T) {
	h := newHarness(t)
	h.budgets.target = "t1"
	failing := h.target("t1", "engine", func(_ int, rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.WriteHeader(http.StatusInternalServerError)
	})
	healthy := h.target("t2", "engine", serveEvents(2, neverCut))
	turn := func() result {
		return h.do(h.request("POST", "/turns/", "", "Banyanglade-Program-Id", "p",
			"Banyanglade-Token-Budget", "1000", "Banyanglade-Token-Usage", "100,50"))
	}
	if got := turn(); got.status != 500 {
		t.Fatalf("got %+v, want the engine's failure", got)
	}
	if got := turn(); got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	if failing.count() != 1 || healthy.count() != 1 || h.failureReports.Load() != 1 {
		t.Errorf("the engine got %d turns, the other %d; %d notices", failing.count(), healthy.count(), h.failureReports.Load())
	}
	if ends := h.budgets.ends; !ends[0].Failed || ends[0].Target != "t1" || ends[1].Failed || ends[1].Target != "t2" {
		t.Errorf("the owner received %+v", ends)
	}
}

// A plain target's failure is forwarded without avoiding the target.
func TestPlainTargetThatFailsIsNotAvoided(t *testing.T) {
	h := newHarness(t)
	tg := h.target("t1", "app", func(_ int, rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.WriteHeader(http.StatusInternalServerError)
	})
	for range 3 {
		h.do(h.request("GET", "/safe/", ""))
	}
	if tg.count() != 3 || h.failureReports.Load() != 0 {
		t.Errorf("%d requests, %d notices", tg.count(), h.failureReports.Load())
	}
}

func TestTurnGoesToTheTargetOfThePreviousTurn(t *testing.T) {
	h := newHarness(t)
	h.budgets.target = "t2"
	other := h.target("t1", "engine", serveEvents(2, neverCut))
	last := h.target("t2", "engine", serveEvents(2, neverCut))
	for i := range 8 {
		got := h.do(h.request("POST", "/turns/", "", "Banyanglade-Program-Id", fmt.Sprint("p", i),
			"Banyanglade-Token-Budget", "1000", "Banyanglade-Token-Usage", "100,50"))
		if got.err != nil || got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	if other.count() != 0 || last.count() != 8 {
		t.Errorf("%d turns ran elsewhere", other.count())
	}
	if ends := h.budgets.ends; len(ends) != 8 || ends[0].Target != "t2" || ends[0].Failed {
		t.Errorf("the owner received %v", ends)
	}
}

// A request that ran at a target which has ended since must not be refused as if it had
// not run, when no other target is left.
func TestRunAtAnEndedTargetIsNotReportedAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.target("ends", "app", func(n int, rw http.ResponseWriter, r *http.Request) {
		h.targets.Remove("ends")
		cutConnection(n, rw, r)
	})
	if got := h.do(h.request("GET", "/safe/", "")); got.status != 502 {
		t.Errorf("got %+v, want a status that leaves open whether it ran", got)
	}
}

// If a target restarts under its id while it runs a request, the outcome is unknown: a
// request that may run once only is not sent to the new incarnation, whose health is
// not affected.
func TestRequestIsNotResentToARestartedTarget(t *testing.T) {
	h := newHarness(t)
	tg := h.target("again", "app", func(n int, rw http.ResponseWriter, r *http.Request) {
		entry, _ := h.targets.Entry("again")
		entry.Start++
		h.targets.Put(entry)
		cutConnection(n, rw, r)
	})
	got := h.do(h.request("POST", "/once/", "b"))
	if got.status != 502 || tg.count() != 1 {
		t.Errorf("got %+v after %d sends", got, tg.count())
	}
	for _, s := range h.targets.Dump() {
		if s.Avoided {
			t.Error("the new incarnation is avoided because of the former one")
		}
	}
}

// Guards against sending a broken request again to its target after that has begun to
// drain: it goes on at another target where the route allows one more, else it ends.
func TestBrokenRequestIsNotResentToADrainingTarget(t *testing.T) {
	for path, want := range map[string]struct {
		service  string
		complete bool
	}{"/turns/": {"engine", false}, "/safe/": {"app", true}} {
		h := newHarness(t)
		var first *target
		first = h.target("a", want.service, func(n int, rw http.ResponseWriter, r *http.Request) {
			h.targets.Put(targets.Entry{
				ID: "a", Service: want.service, Address: first.server.Listener.Addr().String(), DataCentre: "dc", Slots: 4, Draining: true,
			})
			h.target("b", want.service, serveText("ok"))
			if want.service == "engine" {
				serveEvents(4, func(int) int { return 2 })(n, rw, r)
			}
			sign(rw)
			rw.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(rw, "cut")
			panic(http.ErrAbortHandler)
		})
		got := h.do(h.request("POST", path, "b"))
		if (got.err == nil) != want.complete || first.count() != 1 {
			t.Errorf("%s: got %+v after %d runs at the draining target", path, got, first.count())
		}
	}
}
