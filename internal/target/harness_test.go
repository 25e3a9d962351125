package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	testTimeout   = 20 * time.Second
	engineService = structs.ServiceName("mark-agents")
	plainService  = structs.ServiceName("filing-desk")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// seenRequest is a request received by a fake target.
type seenRequest struct {
	method, uri, body string
	header            http.Header
}

// fake is a target whose handler the test provides, and a Runner that uses it.
type fake struct {
	*Runner
	t      *testing.T
	server *httptest.Server
	events chan structs.Event

	mu   sync.Mutex
	seen []seenRequest
}

func newFake(t *testing.T, handler http.HandlerFunc, edit ...func(*Config)) *fake {
	t.Helper()
	f := &fake{t: t, events: make(chan structs.Event, 1024)}
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.seen = append(f.seen, seenRequest{method: r.Method, uri: r.RequestURI, body: string(body), header: r.Header})
		f.mu.Unlock()
		handler(w, r)
	}))
	t.Cleanup(f.server.Close)
	t.Cleanup(f.server.CloseClientConnections)
	cfg := Config{LoadInterval: time.Millisecond, HealthInterval: time.Millisecond, CancelBackoff: time.Millisecond}
	for _, change := range edit {
		change(&cfg)
	}
	f.Runner = New(context.Background(), cfg, serviceKind, f.post, tally.NoopScope, slog.New(slog.DiscardHandler))
	t.Cleanup(f.Close)
	return f
}

func serviceKind(service structs.ServiceName) (structs.ServiceKind, bool) {
	if service == engineService {
		return structs.ServiceEngine, true
	}
	return structs.ServicePlain, service == plainService
}

func (f *fake) post(event structs.Event) bool {
	select {
	case f.events <- event:
		return true
	default:
		return false
	}
}

func (f *fake) target(service structs.ServiceName) structs.Target {
	return structs.Target{ID: "t1", Service: service, Address: f.server.URL}
}

// next returns the next event of type E and skips others.
func next[E structs.Event](f *fake) E {
	f.t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case event := <-f.events:
			if wanted, ok := event.(E); ok {
				return wanted
			}
		case <-timeout:
			f.t.Fatalf("no %T", *new(E))
		}
	}
}

// requests returns the received requests whose URI begins with prefix.
func (f *fake) requests(prefix string) []seenRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []seenRequest
	for _, request := range f.seen {
		if strings.HasPrefix(request.uri, prefix) {
			found = append(found, request)
		}
	}
	return found
}

func (f *fake) chat(run structs.RunID, edit ...func(*structs.StartRun)) structs.StartRun {
	command := structs.StartRun{
		Run: run, Target: f.target(engineService), Fencing: 7,
		Call: &structs.Call{Kind: structs.CallChat, Program: "p", Key: "k", Body: []byte(`{"model":"m","messages":[],"x":"<&>","stream":false}`)},
	}
	for _, change := range edit {
		change(&command)
	}
	return command
}

func (f *fake) plain(run structs.RunID, edit ...func(*structs.StartRun)) structs.StartRun {
	command := structs.StartRun{
		Run: run, Target: f.target(plainService),
		Call: &structs.Call{
			Kind: structs.CallPlain, Program: "p", Key: "k", Method: http.MethodPost, Path: "/file?fee=3",
			ContentType: "text/plain", Body: []byte("form"),
		},
	}
	for _, change := range edit {
		change(&command)
	}
	return command
}

// piece returns a server-sent event with one token.
func piece(index int, text string) string {
	return event(wire.ChatChunk{Index: index, Choices: []wire.ChatChoice{{Delta: &wire.ChatMessage{Content: text}}}})
}

// finish returns the last events of a stream.
func finish(index int, reason string) string {
	return event(wire.ChatChunk{
		Index: index, Choices: []wire.ChatChoice{{Delta: &wire.ChatMessage{}, FinishReason: &reason}},
		Usage: &wire.Usage{PromptTokens: 10, CachedTokens: 4, CompletionTokens: index},
	}) + "data: [DONE]\n\n"
}

func event(chunk wire.ChatChunk) string {
	encoded, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("data: %s\n\n", encoded)
}

func write(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}
