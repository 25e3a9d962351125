package httpapi

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	callerKey   = "caller-key"
	operatorKey = "operator-key"
	rootKey     = "root-key"
	testRegion  = "great-lakes"
	testTeam    = "lakeshore"
)

// fakeCore is a Core with replies set by the test.
type fakeCore struct {
	// events receives every event posted.
	events chan structs.Event
	// reply, if set, returns the commands to deliver for an event.
	reply   func(structs.Event) []structs.Command
	deliver func(structs.Command)

	mu     sync.Mutex
	health Health
	full   bool
	drains int
	// dumpErr is returned by Dump.
	dumpErr error
}

func (f *fakeCore) Post(event structs.Event) bool {
	f.mu.Lock()
	full, answer := f.full, f.reply
	f.mu.Unlock()
	if full {
		return false
	}
	f.events <- event
	if answer != nil {
		for _, command := range answer(event) {
			f.deliver(command)
		}
	}
	return true
}

func (f *fakeCore) Settings() structs.Settings { return fakeSettings{} }

func (f *fakeCore) Authenticate(key string) (Principal, bool) {
	switch key {
	case callerKey:
		return Principal{Name: "lakeshore agents", Team: testTeam}, true
	case operatorKey:
		return Principal{Name: "lakeshore operator", Team: testTeam, Operator: true}, true
	case "nobody-key":
		return Principal{Name: "a key without a team"}, true
	}
	return Principal{}, false
}

func (f *fakeCore) Setting(path string) (any, bool) {
	return map[string]any{"path": path, "version": 3}, path != "teams/lakeshore/absent"
}

func (f *fakeCore) SettingHistory(path string) (any, bool) {
	return []any{map[string]any{"path": path}}, path != "teams/lakeshore/absent"
}

func (f *fakeCore) Dump(context.Context) (any, error) {
	return map[string]any{"tables": 1}, f.dumpErr
}

func (f *fakeCore) Health() Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.health
}

func (f *fakeCore) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drains++
}

func (f *fakeCore) set(change func(*fakeCore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

type fakeSettings struct{}

func (fakeSettings) Policy(structs.Team) structs.Policy { return structs.DefaultPolicy() }

func (fakeSettings) Services() []structs.Service { return nil }

func (fakeSettings) Service(name structs.ServiceName) (structs.Service, bool) {
	switch name {
	case "model":
		return structs.DefaultService(name, structs.ServiceEngine), true
	case "filing":
		return structs.DefaultService(name, structs.ServicePlain), true
	case "payments":
		service := structs.DefaultService(name, structs.ServiceTool)
		service.NotRepeatable = true
		return service, true
	}
	return structs.Service{}, false
}

// fixture is a server with a fake core.
type fixture struct {
	t    *testing.T
	core *fakeCore
	api  *Server
	url  string
	logs *lockedBuffer
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newFixture(t *testing.T, change func(*Config)) *fixture {
	t.Helper()
	config := Config{
		Instance: "duluth-1", Incarnation: "i1", Region: testRegion,
		RootKeyHash: hashKey(rootKey), Metrics: NewMetrics(),
	}
	if change != nil {
		change(&config)
	}
	f := &fixture{t: t, logs: &lockedBuffer{}, core: &fakeCore{
		events: make(chan structs.Event, 1000), health: Health{State: HealthReady},
	}}
	f.api = New(config, f.core, tally.NoopScope, slog.New(slog.NewJSONHandler(f.logs, nil)))
	f.core.deliver = f.api.Deliver
	server := httptest.NewServer(f.api.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// replyWith makes the core end each call with outcome.
func (f *fixture) replyWith(outcome structs.Outcome) {
	f.core.set(func(c *fakeCore) {
		c.reply = func(event structs.Event) []structs.Command {
			if submit, ok := event.(structs.CallerSubmit); ok {
				return []structs.Command{structs.ReplyOutcome{Request: submit.Request, Outcome: outcome}}
			}
			return nil
		}
	})
}

// request returns a request with a caller key; headers are alternating names and
// values.
func (f *fixture) request(method, path, body string, headers ...string) *http.Request {
	f.t.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

// send sends a request and reads the whole response.
func (f *fixture) send(request *http.Request) (*http.Response, string) {
	f.t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		f.t.Fatal(err)
	}
	return response, string(body)
}

func (f *fixture) do(method, path, body string, headers ...string) (*http.Response, string) {
	f.t.Helper()
	return f.send(f.request(method, path, body, headers...))
}

// submitted returns the next event, which must be a call.
func (f *fixture) submitted() structs.CallerSubmit {
	f.t.Helper()
	return nextEvent[structs.CallerSubmit](f)
}

// nextEvent returns the next event, which must be of type T.
func nextEvent[T structs.Event](f *fixture) T {
	f.t.Helper()
	select {
	case event := <-f.core.events:
		typed, ok := event.(T)
		if !ok {
			f.t.Fatalf("event %T, want %T", event, typed)
		}
		return typed
	case <-time.After(time.Minute):
		f.t.Fatal("no event within a minute")
		panic("unreachable")
	}
}

// noEvents checks that no event was posted.
func (f *fixture) noEvents() {
	f.t.Helper()
	select {
	case event := <-f.core.events:
		f.t.Fatalf("event %T, want none", event)
	default:
	}
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// sendRaw sends text unchanged on a new connection and returns the response.
func (f *fixture) sendRaw(text string) *http.Response {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		f.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}
