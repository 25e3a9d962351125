package serve

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/explain"
)

func TestResponseIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t)
	tg := h.target("t1", "app", serveText("hello"))
	got := h.do(h.request("POST", "/once/x%2Fy?a=b&a", "body", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "gone",
		"Banyanglade-Hold", "forged", "Banyanglade-Deadline-Ms", "1500"))
	if got.err != nil || got.status != 200 || got.body != "hello" || got.header.Get("Banyanglade-Server-Signature") != "s" {
		t.Fatalf("got %+v", got)
	}
	r := tg.run(0)
	if r.RequestURI != "/once/x%2Fy?a=b&a" || tg.body[0] != "body" || r.Host != testHost {
		t.Errorf("target got %s with %q for %s", r.RequestURI, tg.body[0], r.Host)
	}
	if r.Header.Get("X-Own") != "kept" || r.Header.Get("X-Hop") != "" || r.Header.Get("Banyanglade-Hold") != "" {
		t.Errorf("target got header %v", r.Header)
	}
	if r.Header.Get("Banyanglade-Expect-Instance") != "t1" {
		t.Errorf("the send expects target %q", r.Header.Get("Banyanglade-Expect-Instance"))
	}
	if left, _ := strconv.Atoi(r.Header.Get("Banyanglade-Deadline-Ms")); left < 1 || left > 1500 {
		t.Errorf("time left passed on: %d ms of 1500", left)
	}
}

func TestRequestsWithoutSettingsAreRefused(t *testing.T) {
	h := newHarness(t)
	h.server.table.Store(nil)
	got := h.do(h.request("GET", "/safe/", ""))
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", got)
	}
}

func TestRetryAfterIsLongerWhileStoreIsUnavailable(t *testing.T) {
	h := newHarness(t)
	h.server.table.Store(nil)
	available := h.do(h.request("GET", "/safe/", "")).header.Get("Retry-After")
	h.health.unavailable.Store(true)
	unavailable := h.do(h.request("GET", "/safe/", "")).header.Get("Retry-After")
	if available != "0.2" || unavailable != "1.3" {
		t.Errorf("Retry-After %s, %s while the store is unavailable", available, unavailable)
	}
}

// A refused request can be explained from its id alone; a served one is not logged
// above debug level.
func TestLogNamesRefusedRequests(t *testing.T) {
	h := newHarness(t)
	h.target("a", "app", serveText("ok"))
	h.do(h.request("GET", "/safe/", "", "Banyanglade-Request-Id", "served1"))
	h.do(h.request("GET", "/other/", "", "Banyanglade-Request-Id", "noroute1"))
	h.server.table.Store(nil)
	h.do(h.request("GET", "/safe/", "", "Banyanglade-Request-Id", "nosettings1"))
	h.front.Close() // waits for the handlers
	log := h.log.String()
	for id, reason := range map[string]reason{"noroute1": reasonNoRoute, "nosettings1": reasonNoSettings} {
		explanation, err := explain.Read(id, strings.NewReader(log))
		if err != nil || !strings.Contains(log, id) || strings.Contains(explanation.Cause(), "No line") {
			t.Errorf("%s (%s): %s, %v", id, reason, explanation.Cause(), err)
		}
	}
	if strings.Contains(log, "served1") {
		t.Error("a served request was logged")
	}
}

func TestUnknownRoute(t *testing.T) {
	h := newHarness(t)
	if got := h.do(h.request("GET", "/other/", "")); got.status != 404 {
		t.Errorf("got %d", got.status)
	}
}

func TestResponseToAnotherRequestIsNotForwarded(t *testing.T) {
	h := newHarness(t)
	h.target("a", "app", func(n int, rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Banyanglade-Request-Id", "another")
		sign(rw)
		_, _ = rw.Write([]byte("not yours"))
		rw.Header().Set("Connection", "close")
	})
	if got := h.do(h.request("POST", "/once/", "b", "Banyanglade-Deadline-Ms", "200")); got.status < 500 {
		t.Errorf("got %+v", got)
	}
}

func TestSuccessWithoutSignatureIsNotForwarded(t *testing.T) {
	h := newHarness(t)
	h.target("a", "app", func(_ int, rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("?")) })
	if got := h.do(h.request("POST", "/once/", "b")); got.status != 502 {
		t.Errorf("got %+v", got)
	}
}

func TestRouteTimeout(t *testing.T) {
	h := newHarness(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	h.target("a", "app", func(_ int, _ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	if got := h.do(h.request("POST", "/short/", "b")); got.status != 504 {
		t.Errorf("got %+v", got)
	}
}

func TestCallerDisconnectCancelsTheRequest(t *testing.T) {
	h := newHarness(t)
	started, ended := make(chan struct{}), make(chan struct{})
	h.target("a", "app", func(_ int, _ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	r := h.request("GET", "/safe/", "").WithContext(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.do(r)
	}()
	<-started
	cancel()
	<-ended
	<-done
}

func TestStreamResumesAfterTheLastWholeEvent(t *testing.T) {
	h := newHarness(t)
	tg := h.target("e1", "engine", serveEvents(6, func(n int) int { return map[int]int{1: 2, 2: 4}[n] }))
	got := h.do(h.request("POST", "/turns/", "b"))
	if got.err != nil || got.body != events(1, 6) {
		t.Fatalf("got %+v", got)
	}
	if tg.count() != 3 || tg.run(2).Header.Get("Last-Event-Id") != "4" {
		t.Errorf("%d runs, the last from event %q", tg.count(), tg.run(2).Header.Get("Last-Event-Id"))
	}
}

func TestStreamResumesAtAnotherTarget(t *testing.T) {
	h := newHarness(t)
	var first *target
	handle := func(id string) func(int, http.ResponseWriter, *http.Request) {
		return func(n int, rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") != "" {
				serveEvents(5, neverCut)(n, rw, r)
				return
			}
			h.targets.Remove(id)
			serveEvents(5, func(int) int { return 3 })(n, rw, r)
		}
	}
	first = h.target("e1", "engine", handle("e1"))
	second := h.target("e2", "engine", handle("e2"))
	got := h.do(h.request("POST", "/turns/", "b"))
	if got.err != nil || got.body != events(1, 5) {
		t.Errorf("got %+v after %d and %d runs", got, first.count(), second.count())
	}
}

func TestNonResumableStreamEndsIncomplete(t *testing.T) {
	h := newHarness(t)
	tg := h.target("e1", "engine", serveEvents(5, func(int) int { return 2 }))
	got := h.do(h.request("POST", "/fixed/", "b"))
	if got.err == nil || got.body != events(1, 2) || tg.count() != 1 {
		t.Errorf("got %+v after %d runs", got, tg.count())
	}
}

func TestEventOutOfOrderIsNotForwarded(t *testing.T) {
	h := newHarness(t)
	h.target("e1", "engine", func(n int, rw http.ResponseWriter, r *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(rw, events(1, 2), events(4, 5))
	})
	if got := h.do(h.request("POST", "/fixed/", "b")); got.err == nil || got.body != events(1, 2) {
		t.Errorf("got %+v", got)
	}
}

func TestTurnSettlesDeliveredTokens(t *testing.T) {
	h := newHarness(t)
	h.target("e1", "engine", serveEvents(6, func(n int) int { return map[int]int{1: 2}[n] }))
	got := h.do(h.request("POST", "/turns/", "b", "Banyanglade-Program-Id", "p",
		"Banyanglade-Token-Budget", "900", "Banyanglade-Token-Usage", "100,285"))
	if got.err != nil {
		t.Fatal(got.err)
	}
	h.front.Close() // waits for the handler
	if len(h.budgets.requests) != 1 || h.budgets.requests[0].MaxTokens != 290 || h.budgets.requests[0].Budget != 900 {
		t.Errorf("reserved %+v", h.budgets.requests)
	}
	if len(h.budgets.settled) != 1 || h.budgets.settled[0] != 60 {
		t.Errorf("settled %v, want 60 tokens", h.budgets.settled)
	}
}

func TestTurnWithoutReservationDoesNotRun(t *testing.T) {
	for err, status := range map[error]int{ErrBudgetSpent: 402, ErrNoOwner: 503} {
		h := newHarness(t)
		tg := h.target("e1", "engine", serveEvents(6, neverCut))
		h.budgets.err = err
		got := h.do(h.request("POST", "/turns/", "b", "Banyanglade-Program-Id", "p",
			"Banyanglade-Token-Budget", "900", "Banyanglade-Token-Usage", "100,290"))
		if got.status != status || tg.count() != 0 {
			t.Errorf("%v: got %+v after %d runs", err, got, tg.count())
		}
		if status == 503 && got.header.Get("Retry-After") == "" {
			t.Error("refusal without Retry-After")
		}
	}
}

func TestMalformedRequestsAreNotSent(t *testing.T) {
	h := newHarness(t)
	tg := h.target("a", "app", serveText("ok"))
	smuggled := "POST /once/smuggled HTTP/1.1\r\nHost: a.example\r\nBanyanglade-Request-Id: s\r\nContent-Length: 0\r\n\r\n"
	head := "POST /once/x HTTP/1.1\r\nHost: a.example\r\nBanyanglade-Request-Id: 1\r\n"
	// RFC 9112, 6.1: 501 for a transfer coding that is not understood.
	const unknownEncoding = "unknown encoding"
	cases := map[string]string{
		"length and encoding":   head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"odd casing":            head + "cOnTeNt-LeNgTh: 5\r\ntRaNsFeR-eNcOdInG: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"two lengths":           head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
		"malformed length":      head + "Content-Length: +5\r\n\r\nabcde",
		unknownEncoding:         head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"malformed chunk":       head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		"space before colon":    head + "Content-Length : 0\r\n\r\n",
		"body over the limit":   head + "Content-Length: 999999\r\n\r\n" + strings.Repeat("x", 999999),
		"malformed time left":   head + "Banyanglade-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
		"malformed token count": head + "Banyanglade-Token-Budget: many\r\nContent-Length: 0\r\n\r\n",
		"no host":               "GET /safe/ HTTP/1.1\r\nBanyanglade-Request-Id: 1\r\n\r\n",
	}
	for name, text := range cases {
		responses := h.raw(text)
		if len(responses) != 1 || responses[0].StatusCode < 400 || responses[0].StatusCode >= 500 && name != unknownEncoding {
			t.Errorf("%s: %d responses, %+v", name, len(responses), responses)
		}
	}
	if tg.count() != 0 {
		t.Errorf("%d requests were run", tg.count())
	}
}

func TestResponsesCloseTheConnectionWhileDraining(t *testing.T) {
	h := newHarness(t)
	h.target("a", "app", serveText("ok"))
	h.server.Drain()
	resp, err := http.DefaultTransport.RoundTrip(h.request("GET", "/safe/", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, closes %v", resp.StatusCode, resp.Close)
	}
}

// events returns the text of a series of events.
func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// While the settings may be outdated, an unknown route may be a new one: the refusal is
// retryable.
func TestUnknownRouteIsRetryableWhileSettingsMayBeOutdated(t *testing.T) {
	h := newHarness(t)
	h.server.keyPolicy.ConfigDelay = 5 * time.Second
	for age, want := range map[time.Duration]int{time.Second: http.StatusNotFound, 6 * time.Second: http.StatusServiceUnavailable} {
		h.freshness.age = age
		resp, err := http.Get(h.front.URL + "/nowhere/x")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want || (want == http.StatusServiceUnavailable) != (resp.Header.Get("Retry-After") != "") {
			t.Errorf("settings of %s: status %d, Retry-After %q", age, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
}
