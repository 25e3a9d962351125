package serve

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// newEarlyRetryHarness returns a harness with two targets and a learned latency. The first
// request sent to a target gets no response.
func newEarlyRetryHarness(t *testing.T, path string) (*harness, *atomic.Int64) {
	h := newHarness(t)
	var sends atomic.Int64
	handle := func(n int, rw http.ResponseWriter, r *http.Request) {
		if sends.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		serveText("ok")(n, rw, r)
	}
	for _, id := range []string{"a", "b"} {
		h.target(id, "app", handle)
	}
	target := h.targets.Pick(targets.Criteria{Service: "app"}, time.Now())
	h.targets.RecordLoad(target, call.Load{Slots: 4, Pace: 100}, time.Now())
	for range 200 {
		h.targets.RecordResponse(target, path, time.Millisecond, time.Now())
	}
	h.targets.End(target)
	return h, &sends
}

// A repeatable request is sent to another target after a time that responses rarely
// exceed, long before its timeout.
func TestStragglerIsSentAgain(t *testing.T) {
	h, sends := newEarlyRetryHarness(t, "safe")
	if got := h.do(h.request("GET", "/safe/", "")); got.status != 200 || got.body != "ok" {
		t.Errorf("got %+v", got)
	}
	if n := sends.Load(); n != 2 {
		t.Errorf("%d sends", n)
	}
}

// A request that may run once only is not retried early.
func TestOnceRequestIsNotRetriedEarly(t *testing.T) {
	h, sends := newEarlyRetryHarness(t, "short")
	if got := h.do(h.request("POST", "/short/", "b")); got.status == 200 {
		t.Errorf("got %+v", got)
	}
	if n := sends.Load(); n != 1 {
		t.Errorf("%d sends", n)
	}
}
