package serve

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// repeatRefusals refuses the first request on each connection without an id, and sends the
// refusal again before the response to the next one, which it runs.
func repeatRefusals(ran *atomic.Int64) func(int, http.ResponseWriter, *http.Request) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nBanyanglade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	return func(_ int, rw http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, refusal); err != nil {
			return
		}
		next, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return // the connection is not reused
		}
		ran.Add(1)
		_, _ = io.WriteString(conn, refusal+strings.ReplaceAll(signedHead, "{id}", next.Header.Get("Banyanglade-Request-Id"))+
			"Content-Length: 2\r\n\r\nok")
	}
}

// Guards against taking a repeated refusal for the answer to the next request on its
// connection, which runs there and would run at another target, too.
func TestRepeatedRefusalIsNotTakenForAnotherAnswer(t *testing.T) {
	h := newHarness(t)
	var ran atomic.Int64
	faulty := h.target("a", "app", repeatRefusals(&ran))
	for n := range 4 {
		r := h.request("POST", "/once/", "b")
		r.Header.Set("Banyanglade-Request-Id", fmt.Sprint("id", n))
		if got := h.do(r); got.err != nil || got.status != http.StatusServiceUnavailable {
			t.Errorf("request %d: got %+v", n, got)
		}
	}
	if ran.Load() > 0 || faulty.count() != 4 {
		t.Errorf("%d requests ran that were reported as not run, %d were refused", ran.Load(), faulty.count())
	}
}
