package serve

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// learned is a world whose two targets for plain requests answered many, the first
// one that is asked now does not.
func learned(t *testing.T, path string) (*world, *atomic.Int64) {
	w := newWorld(t)
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
	known := w.targets.Pick(targets.Criteria{Service: "app"}, time.Now())
	w.targets.RecordLoad(known, call.Load{Slots: 4, Pace: 100}, time.Now())
	for range 200 {
		w.targets.RecordResponse(known, path, time.Millisecond, time.Now())
	}
	w.targets.End(known)
	return w, &asked
}

// A request that may run again goes to another target after the time that answers
// rarely pass, long before its time is up.
func TestStragglerIsSentAgain(t *testing.T) {
	w, asked := learned(t, "safe")
	if got := w.do(w.request("GET", "/safe/", "")); got.status != 200 || got.body != "ok" {
		t.Errorf("got %+v", got)
	}
	if n := asked.Load(); n != 2 {
		t.Errorf("%d sends", n)
	}
}

// A request that must run once is not, whatever its target does.
func TestStragglerThatMustRunOnceIsNotSentAgain(t *testing.T) {
	w, asked := learned(t, "short")
	if got := w.do(w.request("POST", "/short/", "b")); got.status == 200 {
		t.Errorf("got %+v", got)
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d sends", n)
	}
}
