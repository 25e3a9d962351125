package httpapi

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// hangUp sends a request, waits for its event, and closes the connection.
func hangUp(f *fixture, request *http.Request) structs.RequestID {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if response, err := http.DefaultClient.Do(request.WithContext(ctx)); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
	id := f.submitted().Request
	cancel()
	<-done
	return id
}

func TestCallerDisconnected(t *testing.T) {
	for name, body := range map[string]string{"whole": chatBody, "streamed": streamBody} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			id := hangUp(f, f.request(http.MethodPost, chatRoute, body))
			if disconnected := nextEvent[structs.CallerDisconnected](f); disconnected.Request != id {
				t.Errorf("disconnected %q, want %q", disconnected.Request, id)
			}
			// Commands for a request that has ended are dropped.
			f.api.Deliver(structs.ReplyChunk{Request: id, Chunk: structs.Chunk{Texts: []string{"x"}}})
			f.api.Deliver(structs.ReplyOutcome{Request: id, Outcome: answered})
			f.api.Deliver(structs.DrainDone{})
			if len(f.api.exchanges.exchanges) != 0 {
				t.Error("the request is still registered")
			}
		})
	}
}

// pipeListener accepts one unbuffered connection, on which a write blocks until
// the other side reads.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func TestSlowCallerIsCutOff(t *testing.T) {
	f := newFixture(t, func(c *Config) {
		c.WriteTimeout = time.Hour
		c.MaxBuffer = 8 << 10
	})
	conn, serverConn := net.Pipe()
	listener := pipeListener{conns: make(chan net.Conn, 1)}
	listener.conns <- serverConn
	close(listener.conns)
	server := f.api.HTTPServer()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	_, err := io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+callerKey+
		"\r\nContent-Length: "+strconv.Itoa(len(streamBody))+"\r\n\r\n"+streamBody)
	if err != nil {
		t.Fatal(err)
	}
	id := f.submitted().Request
	text := strings.Repeat("x", 4<<10)
	f.api.Deliver(structs.ReplyChunk{Request: id, Chunk: structs.Chunk{Texts: []string{text}}})
	waitEmptied(f, id)
	// The caller does not read, so the handler blocks in a write until the
	// full buffer cuts the request off; the write timeout is an hour.
	for i := 1; i <= 3; i++ {
		f.api.Deliver(structs.ReplyChunk{Request: id, Chunk: structs.Chunk{First: i, Texts: []string{text}}})
	}
	if disconnected := nextEvent[structs.CallerDisconnected](f); disconnected.Request != id {
		t.Errorf("disconnected %q, want %q", disconnected.Request, id)
	}
	response, err := io.ReadAll(conn)
	if err != nil || strings.HasSuffix(string(response), "0\r\n\r\n") || strings.Contains(string(response), "[DONE]") {
		t.Errorf("the response looks complete: %v, %d bytes", err, len(response))
	}
}

// waitEmptied waits until the handler has taken all chunks of its exchange.
func waitEmptied(f *fixture, id structs.RequestID) {
	e, ok := f.api.exchanges.find(id)
	if !ok {
		f.t.Fatal("the request is not registered")
	}
	for {
		e.mu.Lock()
		empty := len(e.chunks) == 0
		e.mu.Unlock()
		if empty {
			return
		}
		runtime.Gosched()
	}
}

func TestUnresponsiveCore(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.ReplyGrace = time.Nanosecond })
	response, body := f.do(http.MethodPost, chatRoute, chatBody, HeaderDeadline, "1")
	checkProblem(t, response, body, structs.ReasonDeadline, http.StatusGatewayTimeout, outcomeUnknown)
	id := f.submitted().Request
	if disconnected := nextEvent[structs.CallerDisconnected](f); disconnected.Request != id {
		t.Errorf("disconnected %q", disconnected.Request)
	}
}

func TestCoreQueueFull(t *testing.T) {
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) { c.full = true })
	for _, body := range []string{chatBody, streamBody} {
		response, text := f.do(http.MethodPost, chatRoute, body)
		problem := checkProblem(t, response, text, structs.ReasonOverloaded, http.StatusServiceUnavailable, outcomeNotRun)
		if problem.RetryAfterMS == 0 {
			t.Error("no Retry-After header")
		}
	}
}

func TestReplyOfAnotherKind(t *testing.T) {
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) {
		c.reply = func(event structs.Event) []structs.Command {
			if submit, ok := event.(structs.CallerSubmit); ok {
				return []structs.Command{structs.ReplyApplied{Request: submit.Request}}
			}
			return nil
		}
	})
	for _, body := range []string{chatBody, streamBody} {
		response, text := f.do(http.MethodPost, chatRoute, body)
		checkProblem(t, response, text, ReasonInternal, http.StatusInternalServerError, outcomeUnknown)
	}
}

func TestPanicIsReportedAsUnknown(t *testing.T) {
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) { c.reply = func(structs.Event) []structs.Command { panic("broken") } })
	response, body := f.do(http.MethodPost, chatRoute, chatBody)
	checkProblem(t, response, body, ReasonInternal, http.StatusInternalServerError, outcomeUnknown)
	if len(f.api.exchanges.exchanges) != 0 {
		t.Error("the request is still registered")
	}
}

func TestTooManyRequests(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaxConcurrentRequests = 1 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.do(http.MethodPost, chatRoute, chatBody)
	}()
	first := f.submitted()
	response, body := f.do(http.MethodPost, chatRoute, chatBody)
	problem := checkProblem(t, response, body, structs.ReasonOverloaded, http.StatusServiceUnavailable, outcomeNotRun)
	if problem.RetryAfterMS == 0 {
		t.Error("no Retry-After header")
	}
	// The limit does not apply to operators.
	dump, _ := f.do(http.MethodGet, "/debug/state", "", "Authorization", "Bearer "+rootKey)
	if dump.StatusCode != http.StatusOK {
		t.Errorf("dump: status %d", dump.StatusCode)
	}
	f.api.Deliver(structs.ReplyOutcome{Request: first.Request, Outcome: answered})
	<-done
	f.replyWith(answered)
	response, _ = f.do(http.MethodPost, chatRoute, chatBody)
	if response.StatusCode != http.StatusOK {
		t.Errorf("afterwards: status %d", response.StatusCode)
	}
}

func TestTooManyBodyBytes(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaxBody, c.MaxTotalBody = 1000, 1000 })
	body := strings.Replace(chatBody, "hello", strings.Repeat("x", 600), 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.do(http.MethodPost, chatRoute, body)
	}()
	first := f.submitted()
	response, text := f.do(http.MethodPost, chatRoute, body)
	checkProblem(t, response, text, structs.ReasonOverloaded, http.StatusServiceUnavailable, outcomeNotRun)
	f.api.Deliver(structs.ReplyOutcome{Request: first.Request, Outcome: answered})
	<-done
	f.replyWith(answered)
	for range 3 {
		request := f.request(http.MethodPost, chatRoute, "")
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), -1
		if response, text := f.send(request); response.StatusCode != http.StatusOK {
			t.Errorf("afterwards: %d %s", response.StatusCode, text)
		}
	}
}

func TestSlowBody(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.BodyTimeout = time.Nanosecond })
	response := f.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerKey +
		"\r\nContent-Length: 100\r\n\r\n{")
	body, _ := io.ReadAll(response.Body)
	checkProblem(t, response, string(body), ReasonTimeout, http.StatusRequestTimeout, outcomeNotRun)
	if !response.Close {
		t.Error("the connection stays open")
	}
}

func TestRequestIDsAreUnique(t *testing.T) {
	seen := make(map[structs.RequestID]bool)
	for _, ids := range []*requestIDs{
		newRequestIDs("duluth-1", "i1"), newRequestIDs("duluth-1", "i2"), newRequestIDs("erie-1", "i1"),
	} {
		for range 1000 {
			id := ids.next()
			if seen[id] {
				t.Fatalf("duplicate request id %q", id)
			}
			seen[id] = true
		}
	}
}

func TestConcurrentCallersGetTheirOwnResponses(t *testing.T) {
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) {
		c.reply = func(event structs.Event) []structs.Command {
			submit := event.(structs.CallerSubmit)
			outcome := answered
			outcome.Text = string(submit.Call.Program)
			return []structs.Command{structs.ReplyOutcome{Request: submit.Request, Outcome: outcome}}
		}
	})
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() {
			response, body := f.do(http.MethodPost, chatRoute, chatBody)
			if !strings.Contains(body, response.Header.Get(HeaderProgram)) {
				t.Errorf("program %q: %s", response.Header.Get(HeaderProgram), body)
			}
		})
	}
	group.Wait()
}

func TestDumpFailure(t *testing.T) {
	f := newFixture(t, nil)
	f.core.dumpErr = errors.New("stopped")
	response, body := f.do(http.MethodGet, "/debug/state", "", "Authorization", "Bearer "+rootKey)
	checkProblem(t, response, body, ReasonInternal, http.StatusInternalServerError, outcomeNotRun)
}

func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	f := newFixture(t, nil)
	response := f.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\nContent-Length: 100\r\n\r\n{")
	if response.StatusCode != http.StatusUnauthorized || !response.Close {
		t.Errorf("status %d, connection closes: %t", response.StatusCode, response.Close)
	}
}

func TestUnreadBodyDoesNotDelayResponse(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.BodyTimeout = time.Nanosecond })
	response := f.sendRaw("GET /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("status %d, connection closes: %t", response.StatusCode, response.Close)
	}
}
