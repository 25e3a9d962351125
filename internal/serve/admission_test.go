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

// fakeAdmission refuses one class of requests and allows no retries.
type fakeAdmission struct {
	refused policy.AdmissionClass

	mu       sync.Mutex
	requests []overload.Request
}

func (f *fakeAdmission) Admit(r overload.Request, _ time.Time) policy.AdmissionVerdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	return policy.AdmissionVerdict{
		Admit: r.Class != f.refused, Cause: policy.CausePoolFull, RetryAfter: 300 * time.Millisecond,
		Pool: policy.PoolLoad{Service: r.Service, Utilization: 1.7},
	}
}

func (f *fakeAdmission) AllowRetry(string, int, time.Time) bool        { return false }
func (f *fakeAdmission) AllowRetryAfterFailure(string, time.Time) bool { return false }
func (f *fakeAdmission) Dump(time.Time) []overload.ServiceDump         { return nil }
func (f *fakeAdmission) RecordDuration(string, time.Duration)          {}

func (f *fakeAdmission) RetryAfter(string, time.Duration, time.Time) time.Duration {
	return 70 * time.Millisecond
}

// turn returns the request of a program's turn.
func (w *harness) turn(path, id string, header ...string) *http.Request {
	return w.request("POST", path, "b", append([]string{
		"Banyanglade-Request-Id", id, "Banyanglade-Program-Id", "p", "Banyanglade-Token-Budget", "1000",
		"Banyanglade-Token-Usage", "10,20",
	}, header...)...)
}

func TestFirstTurnWithoutCapacityIsRefused(t *testing.T) {
	w := newHarness(t)
	engine := w.target("e", "engine", serveEvents(1, neverCut))
	admission := &fakeAdmission{refused: policy.ClassFirstTurn}
	w.server.admission = admission
	got := w.do(w.turn("/kept/x", "t1"))
	if got.status != 503 || got.header.Get("Retry-After") != "0.3" || !strings.Contains(got.body, "no_room") {
		t.Errorf("got %+v", got)
	}
	if len(engine.runs) != 0 || len(w.budgets.settled) != 1 || w.budgets.settled[0] != 0 {
		t.Errorf("%d runs, settled tokens %v", len(engine.runs), w.budgets.settled)
	}
	if log := w.log.String(); !strings.Contains(log, "pool_full") || !strings.Contains(log, "utilization 1.70") {
		t.Errorf("log %q", log)
	}
	w.budgets.target = "e"
	if got := w.do(w.turn("/turns/x", "t2")); got.status != 200 {
		t.Errorf("later turn: got %+v", got)
	}
	w.budgets.target = ""
	if got := w.do(w.turn("/turns/x", "t3")); got.status != 503 {
		t.Errorf("first turn on a route that does not store turns: got %+v", got)
	}
	if reserved, settled := len(w.budgets.requests), len(w.budgets.settled); reserved != settled {
		t.Errorf("%d leases, %d settled", reserved, settled)
	}
}

func TestAdmissionClasses(t *testing.T) {
	w := newHarness(t)
	w.target("e", "engine", serveEvents(1, neverCut))
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
		admission := &fakeAdmission{refused: test.class}
		w.server.admission = admission
		got := w.do(test.request)
		if got.status != 503 || len(admission.requests) != 1 || admission.requests[0].Class != test.class || admission.requests[0].IsCall != test.call {
			t.Errorf("%s: got %d, admission requests %+v", test.name, got.status, admission.requests)
		}
	}
}

func TestRetryBudgetBoundsSendsToFullTargets(t *testing.T) {
	w := newHarness(t)
	full := w.target("full", "app", refuseFull)
	also := w.target("also", "app", refuseFull)
	w.server.admission = &fakeAdmission{refused: policy.ClassOverdue}
	got := w.do(w.request("POST", "/once/", "b"))
	if got.status != 503 || got.header.Get("Retry-After") != "0.07" {
		t.Errorf("got %+v", got)
	}
	if sends := len(full.runs) + len(also.runs); sends != 1 {
		t.Errorf("%d sends", sends)
	}
}

// utilizationPermit admits all requests and returns a fixed utilization.
type utilizationPermit struct {
	utilization float64
	returned    int
}

func (n *utilizationPermit) Admit(context.Context, AllowanceRequest) (Permit, error) { return n, nil }
func (n *utilizationPermit) CountRerun()                                             {}
func (n *utilizationPermit) Utilization() float64                                    { return n.utilization }
func (n *utilizationPermit) Release()                                                { n.returned++ }

func TestOrganisationOverFairUseIsRefusedAndReturnsItsPermit(t *testing.T) {
	w, _ := withLimit(t)
	w.target("e", "engine", serveEvents(1, neverCut))
	for use, want := range map[float64]int{0: 0, 0.6: 0, 0.9: 1} {
		limit := &utilizationPermit{utilization: use}
		w.server.allowances = limit
		w.server.admission = &fairUseAdmission{}
		got := w.do(w.turn("/kept/x", fmt.Sprint("t", want, use), "Banyanglade-Credential", keyA))
		if limit.returned != want || (got.status == 503) != (want == 1) {
			t.Errorf("utilization %g: got %d, %d permits returned", use, got.status, limit.returned)
		}
	}
}

// fairUseAdmission refuses organisations above policy.FairUsageThreshold.
type fairUseAdmission struct{ fakeAdmission }

func (*fairUseAdmission) Admit(r overload.Request, _ time.Time) policy.AdmissionVerdict {
	return policy.AdmissionVerdict{Admit: r.Usage <= policy.FairUsageThreshold, RetryAfter: time.Second}
}

func TestOrganisationPriorityPrecedesRoutePriority(t *testing.T) {
	urgent, later := 0, 1
	priority := func(organisation *int, priority int) int {
		return (&transfer{org: &org.Organisation{Priority: organisation}, route: &route.Route{Priority: priority}}).combinedPriority()
	}
	if priority(&urgent, 9) >= priority(&later, 0) || priority(&later, 0) >= priority(&later, 1) || priority(nil, 0) >= priority(nil, 1) {
		t.Errorf("priorities %d %d %d", priority(&urgent, 9), priority(&later, 0), priority(&later, 1))
	}
}

// A send that this instance cancelled for its timeout is exempt from the retry budget.
func TestTimedOutSendIsRetriedWithoutRetryBudget(t *testing.T) {
	w := newHarness(t)
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
	w.server.admission = &fakeAdmission{refused: policy.ClassOverdue}
	if got := w.do(w.request("GET", "/quick/", "")); got.status != 200 || got.body != "ok" {
		t.Errorf("got %+v", got)
	}
}
