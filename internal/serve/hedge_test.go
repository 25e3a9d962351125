package serve

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// newHedgeHarness returns a harness with two targets and a learned latency. The first
// request sent to a target gets no response.
func newHedgeHarness(t *testing.T, path string) (*harness, *atomic.Int64) {
	w := newHarness(t)
	var asked atomic.Int64
	handle := func(n int, rw http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		serveText("ok")(n, rw, r)
	}
	for _, id := range []string{"a", "b"} {
		w.target(id, "app", handle)
	}
	known := w.targets.Pick(targets.Want{Service: "app"}, time.Now())
	w.targets.Report(known, call.Load{Slots: 4, Pace: 100}, time.Now())
	for range 200 {
		w.targets.Answered(known, path, time.Millisecond, time.Now())
	}
	w.targets.End(known)
	return w, &asked
}

// A repeatable request is sent to another target after a time that responses rarely
// exceed, long before its timeout.
func TestStragglerIsSentAgain(t *testing.T) {
	w, asked := newHedgeHarness(t, "safe")
	if got := w.do(w.request("GET", "/safe/", "")); got.status != 200 || got.body != "ok" {
		t.Errorf("got %+v", got)
	}
	if n := asked.Load(); n != 2 {
		t.Errorf("%d sends", n)
	}
}

// A request that may run once only is not hedged.
func TestOnceRequestIsNotHedged(t *testing.T) {
	w, asked := newHedgeHarness(t, "short")
	if got := w.do(w.request("POST", "/short/", "b")); got.status == 200 {
		t.Errorf("got %+v", got)
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d sends", n)
	}
}
