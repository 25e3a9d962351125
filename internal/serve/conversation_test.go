package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// conversations is a Conversations whose answers a test sets.
type conversations struct {
	mu sync.Mutex
	// before is the text before each turn.
	before map[string]string
	err    error
	full   bool
	// hold, if it is set, is what a turn waits for before it is durable.
	hold    chan struct{}
	keepErr error
	kept    []CompletedTurn
}

func (c *conversations) History(_ context.Context, _, turn string) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	text, ok := c.before[turn]
	if !ok {
		return nil, ErrTurnNotFound
	}
	return []byte(text), nil
}

func (c *conversations) StoreTurn(ctx context.Context, _ string, turn CompletedTurn) error {
	if c.hold != nil {
		select {
		case <-c.hold:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepErr != nil {
		return c.keepErr
	}
	turn.Output = slices.Clone(turn.Output)
	c.kept = append(c.kept, turn)
	return nil
}

func (c *conversations) Accepts(time.Duration) bool { return !c.full }

// serveSomeEvents answers with events of several forms.
func serveSomeEvents(_ int, rw http.ResponseWriter, _ *http.Request) {
	sign(rw)
	rw.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(rw, "id: 1\ndata: one\n\n")
	_, _ = io.WriteString(rw, "banyanglade-weight-versions: 3\nid: 2\ndata:two\n\n")
	_, _ = io.WriteString(rw, "id: 3\r\ndata: a\r\ndata:  b\r\n\r\n")
	_, _ = io.WriteString(rw, "id: 4\ndata:\n\n")
}

func TestTargetGetsTheWholeConversation(t *testing.T) {
	w := newWorld(t)
	w.conversations.before = map[string]string{"id0": "in0\nout0\n"}
	tg := w.target("t1", "engine", serveSomeEvents)
	got := w.do(w.request("POST", "/kept/", "new input", "Banyanglade-Previous-Turn", "id0"))
	if got.err != nil || got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	if want := "in0\nout0\nnew input"; tg.body[0] != want {
		t.Errorf("target got %q, want %q", tg.body[0], want)
	}
	if r := tg.run(0); r.Header.Get("Banyanglade-Previous-Turn") != "id0" || r.ContentLength != int64(len(tg.body[0])) {
		t.Errorf("target got %v, length %d", r.Header, r.ContentLength)
	}
	kept := w.conversations.kept
	if len(kept) != 1 || kept[0].ID != "id1" || kept[0].Previous != "id0" || string(kept[0].Input) != "new input" {
		t.Fatalf("kept %+v", kept)
	}
	if want := "one\ntwo\na\n b\n\n"; string(kept[0].Output) != want {
		t.Errorf("kept output %q, want %q", kept[0].Output, want)
	}
}

func TestOtherRoutesKeepNothing(t *testing.T) {
	w := newWorld(t)
	tg := w.target("t1", "engine", serveSomeEvents)
	w.do(w.request("POST", "/turns/", "input", "Banyanglade-Previous-Turn", "nosuch"))
	if len(w.conversations.kept) != 0 || tg.body[0] != "input" {
		t.Errorf("kept %v, target got %q", w.conversations.kept, tg.body)
	}
}

// Events go out as they come; only the end waits for the store.
func TestEndOfATurnWaitsUntilItIsDurable(t *testing.T) {
	w := newWorld(t)
	w.conversations.hold = make(chan struct{})
	w.target("t1", "engine", serveSomeEvents)
	resp, err := http.DefaultTransport.RoundTrip(w.request("POST", "/kept/", "input"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	events := make([]byte, len("id: 1\ndata: one\n\nbanyanglade-weight-versions: 3\nid: 2\ndata:two\n\nid: 3\r\ndata: a\r\ndata:  b\r\n\r\nid: 4\ndata:\n\n"))
	if _, err := io.ReadFull(resp.Body, events); err != nil {
		t.Fatalf("events before the turn is durable: %v", err)
	}
	close(w.conversations.hold)
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("behind the events: %q, %v", rest, err)
	}
}

func TestTurnThatIsNotDurableDoesNotLookWhole(t *testing.T) {
	w := newWorld(t)
	w.conversations.keepErr = errors.New("the store is away")
	w.target("t1", "engine", serveSomeEvents)
	if got := w.do(w.request("POST", "/kept/", "input")); got.err == nil {
		t.Errorf("the answer looks whole: %+v", got)
	}
}

// A run that goes on at another target is one turn.
func TestResumedTurnIsKeptWhole(t *testing.T) {
	w := newWorld(t)
	w.target("t1", "engine", serveEvents(4, func(n int) int {
		if n == 1 {
			return 2
		}
		return 0
	}))
	if got := w.do(w.request("POST", "/kept/", "input")); got.err != nil {
		t.Fatalf("got %+v", got)
	}
	if kept := w.conversations.kept; len(kept) != 1 || string(kept[0].Output) != "x\nx\nx\nx\n" {
		t.Errorf("kept %+v", kept)
	}
}

func TestAnswersThatAreNoTurnAreNotKept(t *testing.T) {
	w := newWorld(t)
	w.target("t1", "engine", func(_ int, rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.WriteHeader(http.StatusInternalServerError)
	})
	if got := w.do(w.request("POST", "/kept/", "input")); got.status != 500 || len(w.conversations.kept) > 0 {
		t.Errorf("got %+v, kept %v", got, w.conversations.kept)
	}
}

// What cannot be served is refused at once and runs nowhere.
func TestTurnsThatCannotBeServedDoNotRun(t *testing.T) {
	long := strings.Repeat("x", maxTurnID+1)
	for name, c := range map[string]struct {
		err      error
		full     bool
		header   []string
		status   int
		comeBack bool
	}{
		"unknown turn":   {header: []string{"Banyanglade-Previous-Turn", "nosuch"}, status: 404},
		"uncertain turn": {err: ErrTurnUncertain, header: []string{"Banyanglade-Previous-Turn", "id0"}, status: 503, comeBack: true},
		"full store":     {full: true, status: 503, comeBack: true},
		"no id":          {header: []string{"Banyanglade-Request-Id", ""}, status: 400},
		"long id":        {header: []string{"Banyanglade-Request-Id", long}, status: 400},
		"long turn":      {header: []string{"Banyanglade-Previous-Turn", long}, status: 400},
		"its own turn":   {header: []string{"Banyanglade-Previous-Turn", "id1"}, status: 400},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.conversations.err, w.conversations.full = c.err, c.full
			tg := w.target("t1", "engine", serveSomeEvents)
			got := w.do(w.request("POST", "/kept/", "input", c.header...))
			if got.status != c.status || (got.header.Get("Retry-After") != "") != c.comeBack {
				t.Errorf("got %+v", got)
			}
			if tg.count() != 0 {
				t.Error("the turn ran")
			}
			if !strings.Contains(w.log.String(), "request ended") {
				t.Error("no line tells why")
			}
		})
	}
}

// The limit on bodies is for what callers send.
func TestLongConversationIsNotACallersBody(t *testing.T) {
	w := newWorld(t)
	before := strings.Repeat("x", 300<<10)
	w.conversations.before = map[string]string{"id0": before}
	tg := w.target("t1", "engine", serveSomeEvents)
	got := w.do(w.request("POST", "/kept/", "new", "Banyanglade-Previous-Turn", "id0"))
	if got.status != 200 || tg.body[0] != before+"new" {
		t.Errorf("got %s, target %d bytes", fmt.Sprint(got.status, got.err), len(tg.body[0]))
	}
}
