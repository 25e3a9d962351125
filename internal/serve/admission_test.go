package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
	"github.com/banyanglade/banyanglade/internal/overload"
	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/route"
)

// fullRoom refuses a class of requests and allows no second send.
type fullRoom struct {
	refused policy.AdmissionClass

	mu    sync.Mutex
	asked []overload.Request
}

func (f *fullRoom) Admit(r overload.Request, _ time.Time) policy.AdmissionVerdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, r)
	return policy.AdmissionVerdict{
		Admit: r.Class != f.refused, Cause: policy.CausePoolFull, RetryAfter: 300 * time.Millisecond,
		Pool: policy.PoolLoad{Service: r.Service, Utilization: 1.7},
	}
}

func (f *fullRoom) AllowRetry(string, int, time.Time) bool        { return false }
func (f *fullRoom) AllowRetryAfterFailure(string, time.Time) bool { return false }
func (f *fullRoom) Dump(time.Time) []overload.Dump                { return nil }
func (f *fullRoom) RecordDuration(string, time.Duration)          {}

func (f *fullRoom) RetryAfter(string, time.Duration, time.Time) time.Duration {
	return 70 * time.Millisecond
}

// turn makes a turn of a program.
func (w *world) turn(path, id string, header ...string) *http.Request {
	return w.request("POST", path, "b", append([]string{
		"Banyanglade-Request-Id", id, "Banyanglade-Program-Id", "p", "Banyanglade-Token-Budget", "1000",
		"Banyanglade-Token-Usage", "10,20",
	}, header...)...)
}

func TestAFirstTurnWithoutRoomIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	engine := w.target("e", "engine", serveEvents(1, never))
	room := &fullRoom{refused: policy.ClassFirstTurn}
	w.server.room = room
	got := w.do(w.turn("/kept/x", "t1"))
	if got.status != 503 || got.header.Get("Retry-After") != "0.3" || !strings.Contains(got.body, "no_room") {
		t.Errorf("got %+v", got)
	}
	if len(engine.runs) != 0 || len(w.budgets.settled) != 1 || w.budgets.settled[0] != 0 {
		t.Errorf("%d runs, used of the budget: %v", len(engine.runs), w.budgets.settled)
	}
	if log := w.log.String(); !strings.Contains(log, "pool_full") || !strings.Contains(log, "fill of 1.70") {
		t.Errorf("log %q", log)
	}
	w.budgets.target = "e"
	if got := w.do(w.turn("/turns/x", "t2")); got.status != 200 {
		t.Errorf("a turn of a program under way: %+v", got)
	}
	w.budgets.target = ""
	if got := w.do(w.turn("/turns/x", "t3")); got.status != 503 {
		t.Errorf("the first turn on a route that does not keep turns: %+v", got)
	}
	if asked, settled := len(w.budgets.asked), len(w.budgets.settled); asked != settled {
		t.Errorf("%d leases, %d settled", asked, settled)
	}
}

func TestClassesOfRequests(t *testing.T) {
	w := newWorld(t)
	w.target("e", "engine", serveEvents(1, never))
	w.target("a", "app", serveText("ok"))
	w.budgets.target = "e"
	for _, test := range []struct {
		name    string
		request *http.Request
		class   policy.AdmissionClass
		call    bool
	}{
		{"first turn", w.turn("/kept/x", "k1"), policy.ClassFirstTurn, false},
		{"first turn that is resumed", w.turn("/kept/x", "k2", "Last-Event-Id", "1"), policy.ClassInProgress, false},
		{"time left", w.turn("/turns/x", "k3", "Banyanglade-Program-Deadline-Ms", "5"), policy.ClassInProgress, false},
		{"time over", w.turn("/turns/x", "k4", "Banyanglade-Program-Deadline-Ms", "0"), policy.ClassOverdue, false},
		{"call", w.request("GET", "/safe/x", "", "Banyanglade-Program-Id", "p"), policy.ClassInProgress, true},
		{"call, time over", w.request("GET", "/safe/x", "", "Banyanglade-Program-Id", "p",
			"Banyanglade-Program-Deadline-Ms", "0"), policy.ClassOverdue, true},
		{"outside programs", w.request("GET", "/safe/x", "", "Banyanglade-Program-Deadline-Ms", "0"), policy.ClassOutside, false},
	} {
		room := &fullRoom{refused: test.class}
		w.server.room = room
		got := w.do(test.request)
		if got.status != 503 || len(room.asked) != 1 || room.asked[0].Class != test.class || room.asked[0].IsCall != test.call {
			t.Errorf("%s: got %d, asked %+v", test.name, got.status, room.asked)
		}
	}
}

func TestFullTargetsAreNotAskedBeyondTheBudgetOfRetries(t *testing.T) {
	w := newWorld(t)
	full := w.target("full", "app", refuseFull)
	also := w.target("also", "app", refuseFull)
	w.server.room = &fullRoom{refused: policy.ClassOverdue}
	got := w.do(w.request("POST", "/once/", "b"))
	if got.status != 503 || got.header.Get("Retry-After") != "0.07" {
		t.Errorf("got %+v", got)
	}
	if sends := len(full.runs) + len(also.runs); sends != 1 {
		t.Errorf("%d sends", sends)
	}
}

// nearLimit lets requests in and tells of a use.
type nearLimit struct {
	use  float64
	back int
}

func (n *nearLimit) Admit(context.Context, AllowanceRequest) (Permit, error) { return n, nil }
func (n *nearLimit) CountRerun()                                             {}
func (n *nearLimit) Utilization() float64                                    { return n.use }
func (n *nearLimit) Release()                                                { n.back++ }

func TestAnOrganisationsUseCountsAndItsPermitIsGivenBack(t *testing.T) {
	w, _ := withLimit(t)
	w.target("e", "engine", serveEvents(1, never))
	for use, want := range map[float64]int{0: 0, 0.6: 0, 0.9: 1} {
		limit := &nearLimit{use: use}
		w.server.allowances = limit
		w.server.room = &fairRoom{}
		got := w.do(w.turn("/kept/x", fmt.Sprint("t", want, use), "Banyanglade-Credential", keyA))
		if limit.back != want || (got.status == 503) != (want == 1) {
			t.Errorf("use %g: got %d, given back %d", use, got.status, limit.back)
		}
	}
}

// fairRoom refuses organisations that use more than is fair.
type fairRoom struct{ fullRoom }

func (*fairRoom) Admit(r overload.Request, _ time.Time) policy.AdmissionVerdict {
	return policy.AdmissionVerdict{Admit: r.Usage <= policy.FairUsageThreshold, RetryAfter: time.Second}
}

func TestAnOrganisationsRankGoesBeforeItsRoutes(t *testing.T) {
	urgent, later := 0, 1
	x := func(organisation *int, priority int) int {
		return (&transfer{org: &org.Organisation{Priority: organisation}, route: &route.Route{Priority: priority}}).urgency()
	}
	if x(&urgent, 9) >= x(&later, 0) || x(&later, 0) >= x(&later, 1) || x(nil, 0) >= x(nil, 1) {
		t.Errorf("ranks %d %d %d", x(&urgent, 9), x(&later, 0), x(&later, 1))
	}
}

// A send that this instance gave up for taking long goes on elsewhere, whatever is
// left of the budget of retries: its target might have answered.
func TestASendGivenUpHereGoesOnElsewhere(t *testing.T) {
	w := newWorld(t)
	var first atomic.Bool
	slowThenQuick := func(_ int, rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		sign(rw)
		_, _ = io.WriteString(rw, "ok")
	}
	w.target("a", "app", slowThenQuick)
	w.target("b", "app", slowThenQuick)
	w.server.room = &fullRoom{refused: policy.ClassOverdue}
	if got := w.do(w.request("GET", "/quick/", "")); got.status != 200 || got.body != "ok" {
		t.Errorf("got %+v", got)
	}
}
