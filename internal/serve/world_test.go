package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	testHost = "a.example"
	// engineTokens is the number of tokens of an event.
	engineTokens = 10
)

// budgets is a Budgets whose answer a test sets.
type budgets struct {
	mu      sync.Mutex
	err     error
	asked   []Turn
	settled []int
	// target is what leases name as the target of the program's last turn, ends
	// what they were told.
	target string
	ends   []TurnResult
}

func (b *budgets) Reserve(_ context.Context, turn Turn) (Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = append(b.asked, turn)
	if b.err != nil {
		return nil, b.err
	}
	return budgetLease{b}, nil
}

type budgetLease struct{ b *budgets }

func (l budgetLease) LastTarget() string { return l.b.target }

func (l budgetLease) FirstTurn() bool { return l.b.target == "" }

func (l budgetLease) Settle(end TurnResult) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.settled = append(l.b.settled, end.UsedTokens)
	l.b.ends = append(l.b.ends, end)
}

// world is an instance with its targets.
type world struct {
	t       *testing.T
	server  *Server
	front   *httptest.Server
	targets *targets.Registry
	budgets *budgets
	// conversations are used by the route "kept" alone.
	conversations *conversations
	health        health
	currency      currency
	log           *logBuffer
	// notices counts what was told to other instances.
	notices atomic.Int64
}

// ReportTargetBreaks implements Notices.
func (w *world) ReportTargetBreaks() { w.notices.Add(1) }

// logBuffer keeps the log.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// health is a Health that a test sets.
type health struct{ away atomic.Bool }

func (h *health) OK() bool { return !h.away.Load() }

// testRoutes has a route of each kind.
func testRoutes() route.Settings {
	engine := []route.Split{{Service: "engine", Weight: 1}}
	app := []route.Split{{Service: "app", Weight: 1}}
	return route.Settings{
		Version: 1,
		Limits:  route.Limits{MaxBodyBytes: 100 << 10},
		Routes: []*route.Route{
			{Name: "turns", Host: testHost, Prefix: "/turns/", Kind: route.Stream, Resumable: true, Splits: engine,
				MaxTargets: 1, Timeout: 5 * time.Second, Affinity: true, Retention: time.Minute},
			{Name: "kept", Host: testHost, Prefix: "/kept/", Kind: route.Stream, Resumable: true, Splits: engine,
				MaxTargets: 1, Timeout: 5 * time.Second, Affinity: true, Retention: time.Minute, StoresTurns: true},
			{Name: "fixed", Host: testHost, Prefix: "/fixed/", Kind: route.Stream, Splits: engine, MaxTargets: 1,
				Timeout: 5 * time.Second},
			{Name: "safe", Host: testHost, Prefix: "/safe/", Kind: route.Repeatable, Splits: app, MaxTargets: 2,
				Timeout: 5 * time.Second},
			{Name: "quick", Host: testHost, Prefix: "/quick/", Kind: route.Repeatable, Splits: app, MaxTargets: 2,
				Timeout: 5 * time.Second, LatencyGoal: 20 * time.Millisecond},
			{Name: "once", Host: testHost, Prefix: "/once/", Kind: route.Once, Splits: app, MaxTargets: 2,
				Timeout: 5 * time.Second},
			{Name: "short", Host: testHost, Prefix: "/short/", Kind: route.Once, Splits: app, MaxTargets: 1,
				Timeout: 60 * time.Millisecond},
		},
		Services: map[string]*route.Service{
			"engine": {Name: "engine", Engine: &route.Engine{TokensPerEvent: engineTokens}},
			"app":    {Name: "app"},
		},
	}
}

func newWorld(t *testing.T) *world {
	t.Helper()
	pool := exchange.NewPool(tally.NoopScope)
	w := &world{t: t, targets: targets.NewRegistry("dc", pool), budgets: new(budgets), log: new(logBuffer),
		conversations: new(conversations)}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { pool.Run(ctx) })
	w.server = New(Config{
		Codec: platform.Codec{}, Targets: w.targets, Pool: pool, Budgets: w.budgets, Conversations: w.conversations,
		Notices: w, Health: &w.health, Freshness: &w.currency,
		Scope: tally.NoopScope, Log: slog.New(slog.NewJSONHandler(w.log, nil)),
	})
	w.server.SetTable(route.NewTable(testRoutes()))
	w.front = httptest.NewUnstartedServer(w.server)
	w.front.Listener = w.server.WrapListener(w.front.Listener)
	w.front.Config.ConnContext = ConnContext
	w.front.Config.ErrorLog = nil
	w.front.Start()
	t.Cleanup(func() {
		w.front.Close()
		cancel()
		work.Wait()
	})
	return w
}

// target is a target whose behaviour a test sets. Its handler gets the number
// of the request, from 1.
type target struct {
	id     string
	server *httptest.Server

	mu   sync.Mutex
	runs []*http.Request
	body []string
}

func (w *world) target(id, service string, handle func(n int, rw http.ResponseWriter, r *http.Request)) *target {
	w.t.Helper()
	tg := &target{id: id}
	tg.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		tg.mu.Lock()
		tg.runs = append(tg.runs, r)
		tg.body = append(tg.body, string(body))
		n := len(tg.runs)
		tg.mu.Unlock()
		if id := r.Header.Get("Banyanglade-Request-Id"); id != "" {
			rw.Header().Set("Banyanglade-Request-Id", id)
		}
		handle(n, rw, r)
	}))
	w.t.Cleanup(tg.server.Close)
	w.targets.Put(targets.Entry{
		ID: id, Service: service, Address: tg.server.Listener.Addr().String(), DataCentre: "dc", Slots: 4,
	})
	return tg
}

func (tg *target) count() int {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return len(tg.runs)
}

func (tg *target) run(i int) *http.Request {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return tg.runs[i]
}

func sign(rw http.ResponseWriter) { rw.Header().Set("Banyanglade-Server-Signature", "s") }

// serveText answers a plain request.
func serveText(text string) func(int, http.ResponseWriter, *http.Request) {
	return func(_ int, rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		_, _ = io.WriteString(rw, text)
	}
}

// refuseFull refuses a request as a full target does.
func refuseFull(_ int, rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Banyanglade-Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// cutConnection ends the connection without an answer.
func cutConnection(_ int, _ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// serveEvents answers with the events from the one after Last-Event-Id to last.
// It cuts the connection inside an event after the one given, 0 for never.
func serveEvents(last int, cutAfter func(n int) int) func(int, http.ResponseWriter, *http.Request) {
	return func(n int, rw http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(rw).Flush()
			if i == cutAfter(n) {
				_, _ = io.WriteString(rw, "id: ")
				_ = http.NewResponseController(rw).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

func never(int) int { return 0 }

// request makes a caller's request.
func (w *world) request(method, path, body string, header ...string) *http.Request {
	w.t.Helper()
	r, err := http.NewRequestWithContext(w.t.Context(), method, w.front.URL+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Banyanglade-Request-Id", "id1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// result is an answer as a caller sees it.
type result struct {
	status int
	header http.Header
	body   string
	// err is set if the answer was not whole.
	err error
}

func (w *world) do(r *http.Request) result {
	w.t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(body), err}
}

// raw sends bytes on a connection of its own and returns the answers.
func (w *world) raw(text string) []*http.Response {
	w.t.Helper()
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		w.t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		w.t.Fatal(err)
	}
	var answers []*http.Response
	reader := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answers = append(answers, resp)
	}
}
