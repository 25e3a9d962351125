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

// fakeConversations is a Conversations with configurable results.
type fakeConversations struct {
	mu sync.Mutex
	// before maps a turn to the conversation up to and including it.
	before map[string]string
	err    error
	full   bool
	// hold, if set, delays StoreTurn until it is closed.
	hold     chan struct{}
	storeErr error
	stored   []CompletedTurn
}

func (c *fakeConversations) History(_ context.Context, _, turn string) ([]byte, error) {
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

func (c *fakeConversations) StoreTurn(ctx context.Context, _ string, turn CompletedTurn) error {
	if c.hold != nil {
		select {
		case <-c.hold:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeErr != nil {
		return c.storeErr
	}
	turn.Output = slices.Clone(turn.Output)
	c.stored = append(c.stored, turn)
	return nil
}

func (c *fakeConversations) Accepts(time.Duration) bool { return !c.full }

// serveSomeEvents responds with events in several formats.
func serveSomeEvents(_ int, rw http.ResponseWriter, _ *http.Request) {
	sign(rw)
	rw.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(rw, "id: 1\ndata: one\n\n")
	_, _ = io.WriteString(rw, "banyanglade-weight-versions: 3\nid: 2\ndata:two\n\n")
	_, _ = io.WriteString(rw, "id: 3\r\ndata: a\r\ndata:  b\r\n\r\n")
	_, _ = io.WriteString(rw, "id: 4\ndata:\n\n")
}

func TestTargetReceivesTheWholeConversation(t *testing.T) {
	h := newHarness(t)
	h.conversations.before = map[string]string{"id0": "in0\nout0\n"}
	tg := h.target("t1", "engine", serveSomeEvents)
	got := h.do(h.request("POST", "/kept/", "new input", "Banyanglade-Previous-Turn", "id0"))
	if got.err != nil || got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	if want := "in0\nout0\nnew input"; tg.body[0] != want {
		t.Errorf("target got %q, want %q", tg.body[0], want)
	}
	if r := tg.run(0); r.Header.Get("Banyanglade-Previous-Turn") != "id0" || r.ContentLength != int64(len(tg.body[0])) {
		t.Errorf("target got %v, length %d", r.Header, r.ContentLength)
	}
	stored := h.conversations.stored
	if len(stored) != 1 || stored[0].ID != "id1" || stored[0].Previous != "id0" || string(stored[0].Input) != "new input" {
		t.Fatalf("stored %+v", stored)
	}
	if want := "one\ntwo\na\n b\n\n"; string(stored[0].Output) != want {
		t.Errorf("stored output %q, want %q", stored[0].Output, want)
	}
}

func TestOtherRoutesStoreNothing(t *testing.T) {
	h := newHarness(t)
	tg := h.target("t1", "engine", serveSomeEvents)
	h.do(h.request("POST", "/turns/", "input", "Banyanglade-Previous-Turn", "nosuch"))
	if len(h.conversations.stored) != 0 || tg.body[0] != "input" {
		t.Errorf("stored %v, target got %q", h.conversations.stored, tg.body)
	}
}

// Events are forwarded as they arrive; only the end of the response waits for the
// store.
func TestTurnEndWaitsUntilDurable(t *testing.T) {
	h := newHarness(t)
	h.conversations.hold = make(chan struct{})
	h.target("t1", "engine", serveSomeEvents)
	resp, err := http.DefaultTransport.RoundTrip(h.request("POST", "/kept/", "input"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	events := make([]byte, len("id: 1\ndata: one\n\nbanyanglade-weight-versions: 3\nid: 2\ndata:two\n\nid: 3\r\ndata: a\r\ndata:  b\r\n\r\nid: 4\ndata:\n\n"))
	if _, err := io.ReadFull(resp.Body, events); err != nil {
		t.Fatalf("reading events before the turn is durable: %v", err)
	}
	close(h.conversations.hold)
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("after the events: %q, %v", rest, err)
	}
}

func TestTurnThatIsNotDurableIsIncomplete(t *testing.T) {
	h := newHarness(t)
	h.conversations.storeErr = errors.New("the store is unavailable")
	h.target("t1", "engine", serveSomeEvents)
	if got := h.do(h.request("POST", "/kept/", "input")); got.err == nil {
		t.Errorf("the response looks complete: %+v", got)
	}
}

// A stream that is resumed after a broken connection is stored as one turn.
func TestResumedTurnIsStoredWhole(t *testing.T) {
	h := newHarness(t)
	h.target("t1", "engine", serveEvents(4, func(n int) int {
		if n == 1 {
			return 2
		}
		return 0
	}))
	if got := h.do(h.request("POST", "/kept/", "input")); got.err != nil {
		t.Fatalf("got %+v", got)
	}
	if stored := h.conversations.stored; len(stored) != 1 || string(stored[0].Output) != "x\nx\nx\nx\n" {
		t.Errorf("stored %+v", stored)
	}
}

func TestFailedTurnIsNotStored(t *testing.T) {
	h := newHarness(t)
	h.target("t1", "engine", func(_ int, rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.WriteHeader(http.StatusInternalServerError)
	})
	if got := h.do(h.request("POST", "/kept/", "input")); got.status != 500 || len(h.conversations.stored) > 0 {
		t.Errorf("got %+v, stored %v", got, h.conversations.stored)
	}
}

// Turns that cannot be served are refused at once and reach no target.
func TestInvalidTurnsDoNotRun(t *testing.T) {
	long := strings.Repeat("x", maxTurnIDBytes+1)
	for name, c := range map[string]struct {
		err    error
		full   bool
		header []string
		status int
		retry  bool
	}{
		"unknown turn":   {header: []string{"Banyanglade-Previous-Turn", "nosuch"}, status: 404},
		"uncertain turn": {err: ErrTurnUncertain, header: []string{"Banyanglade-Previous-Turn", "id0"}, status: 503, retry: true},
		"full store":     {full: true, status: 503, retry: true},
		"no id":          {header: []string{"Banyanglade-Request-Id", ""}, status: 400},
		"long id":        {header: []string{"Banyanglade-Request-Id", long}, status: 400},
		"long turn":      {header: []string{"Banyanglade-Previous-Turn", long}, status: 400},
		"its own turn":   {header: []string{"Banyanglade-Previous-Turn", "id1"}, status: 400},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.conversations.err, h.conversations.full = c.err, c.full
			tg := h.target("t1", "engine", serveSomeEvents)
			got := h.do(h.request("POST", "/kept/", "input", c.header...))
			if got.status != c.status || (got.header.Get("Retry-After") != "") != c.retry {
				t.Errorf("got %+v", got)
			}
			if tg.count() != 0 {
				t.Error("the turn ran")
			}
			if !strings.Contains(h.log.String(), "request ended") {
				t.Error("no log line about the refusal")
			}
		})
	}
}

// The body limit applies to what callers send, not to the stored conversation.
func TestBodyLimitExcludesStoredConversation(t *testing.T) {
	h := newHarness(t)
	before := strings.Repeat("x", 300<<10)
	h.conversations.before = map[string]string{"id0": before}
	tg := h.target("t1", "engine", serveSomeEvents)
	got := h.do(h.request("POST", "/kept/", "new", "Banyanglade-Previous-Turn", "id0"))
	if got.status != 200 || tg.body[0] != before+"new" {
		t.Errorf("got %s, target %d bytes", fmt.Sprint(got.status, got.err), len(tg.body[0]))
	}
}
