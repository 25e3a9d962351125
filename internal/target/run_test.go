package target

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestPlainCall(t *testing.T) {
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/csv")
		w.Header().Set("X-Secret", "no")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("a,b"))
	})
	f.StartRun(f.plain("r"))
	ended := next[structs.RunEnded](f)
	want := structs.Outcome{Kind: structs.OutcomeAnswered, Status: http.StatusTeapot, ContentType: "text/csv", Body: []byte("a,b")}
	if ended.Failure != structs.RunOK || !reflect.DeepEqual(ended.Outcome, want) {
		t.Fatalf("%+v", ended)
	}
	got := f.requests("/")[0]
	if got.method != http.MethodPost || got.uri != "/file?fee=3" || got.body != "form" ||
		got.header.Get("Content-Type") != "text/plain" || got.header.Get(wire.HeaderIdempotencyKey) != "p:k" ||
		got.header.Get(wire.HeaderProgram) != "p" {
		t.Fatalf("%+v", got)
	}
}

func TestChatCall(t *testing.T) {
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, ": comment\r\n\r\n"+piece(0, "")+piece(0, "He"))
		write(w, piece(1, "llo")+piece(1, "llo")+piece(2, "")+piece(3, "!")+finish(4, "stop"))
	})
	f.StartRun(f.chat("r"))
	var texts []string
	for len(texts) < 4 {
		chunk := next[structs.RunChunk](f).Chunk
		if chunk.First != len(texts) {
			t.Fatalf("chunk %+v after %d pieces", chunk, len(texts))
		}
		texts = append(texts, chunk.Texts...)
	}
	if want := []string{"He", "llo", "", "!"}; !reflect.DeepEqual(texts, want) {
		t.Fatalf("got %q", texts)
	}
	ended := next[structs.RunEnded](f)
	want := structs.Outcome{
		Kind: structs.OutcomeAnswered, Status: http.StatusOK, Text: "Hello!", Finish: "stop",
		Usage: structs.Usage{PromptTokens: 10, CachedTokens: 4, CompletionTokens: 4},
	}
	if ended.Failure != structs.RunOK || !reflect.DeepEqual(ended.Outcome, want) || ended.FirstToken <= 0 || ended.Took < ended.FirstToken {
		t.Fatalf("%+v", ended)
	}
	got := f.requests(wire.ChatRoute)[0]
	var body map[string]any
	if err := json.Unmarshal([]byte(got.body), &body); err != nil || body["stream"] != true || body["model"] != "m" || body["x"] != "<&>" {
		t.Fatalf("%s %v", got.body, err)
	}
	if got.header.Get(wire.HeaderStream) != "r" || got.header.Get(wire.HeaderProgram) != "p" || got.header.Get(wire.HeaderFencing) != "7" {
		t.Fatalf("%v", got.header)
	}
}

// The standard transport resends an idempotent request when the server closes a
// reused connection.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "body"} {
			f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/drop" {
					panic(http.ErrAbortHandler)
				}
			})
			f.StartRun(f.plain("warm up"))
			next[structs.RunEnded](f)
			f.StartRun(f.plain("r", func(c *structs.StartRun) {
				c.Call.Method, c.Call.Path, c.Call.Body = method, "/drop", []byte(body)
			}))
			if ended := next[structs.RunEnded](f); ended.Failure != structs.RunBroken {
				t.Errorf("%s %q: %+v", method, body, ended)
			}
			if n := len(f.requests("/drop")); n != 1 {
				t.Errorf("%s %q was sent %d times", method, body, n)
			}
		}
	}
}

func TestNotRepeatableCallHasItsOwnConnection(t *testing.T) {
	addresses := make(chan string, 3)
	f := newFake(t, func(_ http.ResponseWriter, r *http.Request) { addresses <- r.RemoteAddr })
	for _, once := range []bool{false, true, true} {
		f.StartRun(f.plain("r", func(c *structs.StartRun) { c.Call.NotRepeatable = once }))
		next[structs.RunEnded](f)
	}
	if a, b, c := <-addresses, <-addresses, <-addresses; a == b || b == c || a == c {
		t.Fatal(a, b, c)
	}
}

func TestNotAfterIsCheckedAtTheWrite(t *testing.T) {
	for _, warm := range []bool{false, true} {
		f := newFake(t, func(http.ResponseWriter, *http.Request) {})
		if warm {
			f.StartRun(f.plain("warm up"))
			next[structs.RunEnded](f)
		}
		f.StartRun(f.plain("r", func(c *structs.StartRun) {
			c.Call.Path, c.NotAfter = "/late", time.Now().Add(-time.Nanosecond)
		}))
		ended := next[structs.RunEnded](f)
		if ended.Failure != structs.RunNotSent || ended.Detail != ErrNotAfterPassed.Error() || len(f.requests("/late")) != 0 {
			t.Fatalf("%+v, requests %v", ended, f.requests("/late"))
		}
		f.StartRun(f.plain("r", func(c *structs.StartRun) { c.NotAfter = time.Now().Add(time.Hour) }))
		if ended := next[structs.RunEnded](f); ended.Failure != structs.RunOK {
			t.Fatalf("%+v", ended)
		}
	}
}

func TestRevokedGateAdmitsNothing(t *testing.T) {
	g := newGate(time.Time{}, time.Now)
	if _, sent := g.revoke(); sent {
		t.Fatal("sent")
	}
	if err := g.admit(new(gatedConn)); err == nil {
		t.Fatal("a write was admitted after the gate was revoked")
	}
	g, conn := newGate(time.Time{}, time.Now), new(gatedConn)
	for range 2 {
		if err := g.admit(conn); err != nil {
			t.Fatal(err)
		}
	}
	if g.admit(new(gatedConn)) == nil {
		t.Fatal("a second connection was admitted")
	}
	if _, sent := g.revoke(); !sent {
		t.Fatal("not sent")
	}
}

func TestFailuresByStatus(t *testing.T) {
	const problem = `{"outcome":"not-run"}`
	for _, c := range []struct {
		chat    bool
		status  int
		problem string
		want    structs.RunFailure
	}{
		{true, 429, "", structs.RunNotSent}, {true, 503, "", structs.RunNotSent}, {true, 409, "", structs.RunFenced},
		{true, 400, "", structs.RunOK}, {true, 404, "", structs.RunOK}, {true, 500, "", structs.RunBroken}, {true, 302, "", structs.RunBroken},
		{false, 503, "", structs.RunOK}, {false, 503, `{"outcome":"unknown"}`, structs.RunOK}, {false, 503, problem, structs.RunNotSent},
		{false, 429, problem, structs.RunNotSent}, {false, 500, problem, structs.RunOK}, {false, 409, "", structs.RunOK}, {false, 307, "", structs.RunOK},
	} {
		f := newFake(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			if c.problem != "" {
				w.Header().Set("Content-Type", "application/problem+json; charset=utf-8")
			}
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.problem))
		})
		command := f.plain("r")
		if c.chat {
			command = f.chat("r")
		}
		f.StartRun(command)
		ended := next[structs.RunEnded](f)
		if ended.Failure != c.want || (c.want == structs.RunOK && ended.Outcome.Status != c.status) {
			t.Errorf("%+v: %+v", c, ended)
		}
		if len(f.requests("/elsewhere")) != 0 {
			t.Errorf("%+v: a redirect was followed", c)
		}
	}
}

func TestUnreachableTargetIsNotSent(t *testing.T) {
	f := newFake(t, nil)
	plainHTTP := f.server.URL
	f.StartRun(f.plain("tls", func(c *structs.StartRun) {
		c.Target.Address = strings.Replace(plainHTTP, "http:", "https:", 1)
	}))
	if ended := next[structs.RunEnded](f); ended.Failure != structs.RunNotSent {
		t.Fatalf("%+v", ended)
	}
	f.server.Close()
	f.StartRun(f.plain("refused"))
	if ended := next[structs.RunEnded](f); ended.Failure != structs.RunNotSent {
		t.Fatalf("%+v", ended)
	}
}

func TestFrozenTargetTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	f := newFake(t, nil)
	f.StartRun(f.plain("r", func(c *structs.StartRun) {
		c.Target.Address, c.Timeout = "http://"+listener.Addr().String(), 50*time.Millisecond
	}))
	if ended := next[structs.RunEnded](f); ended.Failure != structs.RunTimeout {
		t.Fatalf("%+v", ended)
	}
}

func TestCallsThatCannotBeSent(t *testing.T) {
	f := newFake(t, nil)
	for name, edit := range map[string]func(*structs.Call){
		"method":            func(c *structs.Call) { c.Method = "CONNECT" },
		"method smuggling":  func(c *structs.Call) { c.Method = "GET / HTTP/1.1\r\nX: y\r\n\r\nGET" },
		"no path":           func(c *structs.Call) { c.Path = "" },
		"path of a host":    func(c *structs.Call) { c.Path = "//elsewhere/x" },
		"absolute URL":      func(c *structs.Call) { c.Path = "http://elsewhere/" },
		"user in the path":  func(c *structs.Call) { c.Path = "@elsewhere/" },
		"path smuggling":    func(c *structs.Call) { c.Path = "/x HTTP/1.1\r\nX: y" },
		"header smuggling":  func(c *structs.Call) { c.Key = "k\r\nX: y" },
		"type smuggling":    func(c *structs.Call) { c.ContentType = "a\r\nX: y" },
		"chat without JSON": func(c *structs.Call) { c.Kind, c.Body = structs.CallChat, []byte("x") },
		"chat of null":      func(c *structs.Call) { c.Kind, c.Body = structs.CallChat, []byte("null") },
	} {
		f.StartRun(f.plain("r", func(c *structs.StartRun) { edit(c.Call) }))
		if ended := next[structs.RunEnded](f); ended.Failure != structs.RunNotSent {
			t.Errorf("%s: %+v", name, ended)
		}
	}
	if n := len(f.requests("")); n != 0 {
		t.Fatalf("%d requests were sent", n)
	}
}

func TestTooLargeResponses(t *testing.T) {
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.ChatRoute {
			write(w, piece(0, strings.Repeat("x", 200))+finish(1, "stop"))
			return
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), 200))
	}, func(c *Config) { c.MaxResponseBytes = 100 })
	for _, command := range []structs.StartRun{f.plain("r"), f.chat("r")} {
		f.StartRun(command)
		ended := next[structs.RunEnded](f)
		if ended.Failure != structs.RunBroken || ended.Outcome.Reason != structs.ReasonTooLarge {
			t.Fatalf("%+v", ended)
		}
	}
}

func TestRunInFlightIsNotStartedAgain(t *testing.T) {
	proceed := make(chan struct{})
	f := newFake(t, func(http.ResponseWriter, *http.Request) { <-proceed }, func(c *Config) { c.MaxRuns = 1 })
	f.StartRun(f.plain("r"))
	f.StartRun(f.plain("r"))
	f.StartRun(f.plain("one too many"))
	if ended := next[structs.RunEnded](f); ended.Run != "one too many" || ended.Failure != structs.RunNotSent {
		t.Fatalf("%+v", ended)
	}
	close(proceed)
	next[structs.RunEnded](f)
	if n := len(f.requests("/file")); n != 1 {
		t.Fatalf("%d requests", n)
	}
}
