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
func (h *harness) turn(path, id string, header ...string) *http.Request {
	return h.request("POST", path, "b", append([]string{
		"Banyanglade-Request-Id", id, "Banyanglade-Program-Id", "p", "Banyanglade-Token-Budget", "1000",
		"Banyanglade-Token-Usage", "10,20",
	}, header...)...)
}

func TestFirstTurnWithoutCapacityIsRefused(t *testing.T) {
	h := newHarness(t)
	engine := h.target("e", "engine", serveEvents(1, neverCut))
	admission := &fakeAdmission{refused: policy.ClassFirstTurn}
	h.server.admission = admission
	got := h.do(h.turn("/kept/x", "t1"))
	if got.status != 503 || got.header.Get("Retry-After") != "0.3" || !strings.Contains(got.body, "no_room") {
		t.Errorf("got %+v", got)
	}
	if len(engine.runs) != 0 || len(h.budgets.settled) != 1 || h.budgets.settled[0] != 0 {
		t.Errorf("%d runs, settled tokens %v", len(engine.runs), h.budgets.settled)
	}
	if log := h.log.String(); !strings.Contains(log, "pool_full") || !strings.Contains(log, "utilization 1.70") {
		t.Errorf("log %q", log)
	}
	h.budgets.target = "e"
	if got := h.do(h.turn("/turns/x", "t2")); got.status != 200 {
		t.Errorf("later turn: got %+v", got)
	}
	h.budgets.target = ""
	if got := h.do(h.turn("/turns/x", "t3")); got.status != 503 {
		t.Errorf("first turn on a route that does not store turns: got %+v", got)
	}
	if reserved, settled := len(h.budgets.requests), len(h.budgets.settled); reserved != settled {
		t.Errorf("%d leases, %d settled", reserved, settled)
	}
}

func TestAdmissionClasses(t *testing.T) {
	h := newHarness(t)
	h.target("e", "engine", serveEvents(1, neverCut))
	h.target("a", "app", serveText("ok"))
	h.budgets.target = "e"
	for _, test := range []struct {
		name    string
		request *http.Request
		class   policy.AdmissionClass
		call    bool
	}{
		{"first turn", h.turn("/kept/x", "k1"), policy.ClassFirstTurn, false},
		{"first turn that is resumed", h.turn("/kept/x", "k2", "Last-Event-Id", "1"), policy.ClassInProgress, false},
		{"time left", h.turn("/turns/x", "k3", "Banyanglade-Program-Deadline-Ms", "5"), policy.ClassInProgress, false},
		{"time over", h.turn("/turns/x", "k4", "Banyanglade-Program-Deadline-Ms", "0"), policy.ClassOverdue, false},
		{"call", h.request("GET", "/safe/x", "", "Banyanglade-Program-Id", "p"), policy.ClassInProgress, true},
		{"call, time over", h.request("GET", "/safe/x", "", "Banyanglade-Program-Id", "p",
			"Banyanglade-Program-Deadline-Ms", "0"), policy.ClassOverdue, true},
		{"outside programs", h.request("GET", "/safe/x", "", "Banyanglade-Program-Deadline-Ms", "0"), policy.ClassOutside, false},
	} {
		admission := &fakeAdmission{refused: test.class}
		h.server.admission = admission
		got := h.do(test.request)
		if got.status != 503 || len(admission.requests) != 1 || admission.requests[0].Class != test.class || admission.requests[0].IsCall != test.call {
			t.Errorf("%s: got %d, admission requests %+v", test.name, got.status, admission.requests)
		}
	}
}

func TestRetryBudgetBoundsSendsToFullTargets(t *testing.T) {
	h := newHarness(t)
	full := h.target("full", "app", refuseFull)
	also := h.target("also", "app", refuseFull)
	h.server.admission = &fakeAdmission{refused: policy.ClassOverdue}
	got := h.do(h.request("POST", "/once/", "b"))
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

func (p *utilizationPermit) Admit(context.Context, AllowanceRequest) (Permit, error) { return p, nil }
func (n *utilizationPermit) CountRerun()                                             {}
func (p *utilizationPermit) Utilization() float64                                    { return p.utilization }
func (p *utilizationPermit) Release()                                                { p.returned++ }

func TestOrganisationOverFairUseIsRefusedAndReturnsItsPermit(t *testing.T) {
	h, _ := withLimit(t)
	h.target("e", "engine", serveEvents(1, neverCut))
	for use, want := range map[float64]int{0: 0, 0.6: 0, 0.9: 1} {
		limit := &utilizationPermit{utilization: use}
		h.server.allowances = limit
		h.server.admission = &fairUseAdmission{}
		got := h.do(h.turn("/kept/x", fmt.Sprint("t", want, use), "Banyanglade-Credential", keyA))
		if limit.returned != want || (got.status == 503) != (want == 1) {
			t.Errorf("utilization %g: got %d, %d permits returned", use, got.status, limit.returned)
		}
	}
}

// fairUseAdmission refuses organisations above policy.FairUsageThreshold.
type fairUseAdmission struct{ fakeAdmission }

func (*fairUseAdmission) Admit(r overload.Request, _ time.Time) policy.AdmissionVerdict {
	return policy.AdmissionVerdict{Admit: r.LimitUtilization <= policy.FairUsageThreshold, RetryAfter: time.Second}
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
	h := newHarness(t)
	var first atomic.Bool
	slowThenQuick := func(_ int, rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		sign(rw)
		_, _ = io.WriteString(rw, "ok")
	}
	h.target("a", "app", slowThenQuick)
	h.target("b", "app", slowThenQuick)
	h.server.admission = &fakeAdmission{refused: policy.ClassOverdue}
	if got := h.do(h.request("GET", "/quick/", "")); got.status != 200 || got.body != "ok" {
		t.Errorf("got %+v", got)
	}
}
