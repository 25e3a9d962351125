package serve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawConn is a caller's connection to which bytes are written in chosen pieces.
type rawConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (h *harness) dial() *rawConn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	return &rawConn{h.t, c, bufio.NewReader(c)}
}

// send writes text in pieces, each a packet of its own. It stops if the connection is
// closed, as it is after a request was refused.
func (c *rawConn) send(text string, size int) {
	c.t.Helper()
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(c.conn, text[:n]); err != nil {
			c.t.Logf("stopped with %d bytes left: %v", len(text), err)
			return
		}
		text = text[n:]
	}
}

// responseTimeout ends the wait for responses that a failing test does not get.
const responseTimeout = 3 * time.Second

// statuses reads responses until the connection ends or count were read.
func (c *rawConn) statuses(count int) []int {
	c.t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		c.t.Fatal(err)
	}
	var statuses []int
	for len(statuses) < count {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			break
		}
		statuses = append(statuses, resp.StatusCode)
	}
	return statuses
}

// longField is a header field longer than a read of net/http.
var longField = "Banyanglade-Prompt-Prefix: " + strings.Repeat("5c1e07a2:16,", 420) + "\r\n"

func rawRequest(id, fields, body string) string {
	return "POST /once/" + id + " HTTP/1.1\r\nHost: " + testHost + "\r\nBanyanglade-Request-Id: " + id + "\r\n" + fields + "\r\n" + body
}

// Guards against request smuggling: a request hidden in a body whose length is ambiguous
// must not run, in however many pieces the header arrives and whatever precedes it.
func TestRequestsHiddenInBodiesDoNotRun(t *testing.T) {
	hidden := "0\r\n\r\n" + rawRequest("hidden", "Content-Length: 0\r\n", "")
	lengths := fmt.Sprintf("Content-Length: %d\r\n", len(hidden))
	outer := map[string]string{
		"short header":    rawRequest("outer", lengths+"Transfer-Encoding: chunked\r\n", hidden),
		"long header":     rawRequest("outer", lengths+longField+"Transfer-Encoding: chunked\r\n", hidden),
		"folded encoding": rawRequest("outer", lengths+"Transfer-Encoding:\r\n chunked\r\n", hidden),
		"HTTP/1.0": strings.Replace(rawRequest("outer", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", hidden),
			"HTTP/1.1", "HTTP/1.0", 1),
	}
	first := rawRequest("first", "Content-Length: 2\r\n", "ab")
	for name, text := range outer {
		for _, size := range []int{1 << 20, 1000, 7} {
			for _, before := range []string{"", first, "OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n" + first} {
				h := newHarness(t)
				tg := h.target("a", "app", serveText("ok"))
				conn := h.dial()
				conn.send(before+text, size)
				got := conn.statuses(9)
				preceding := strings.Count(before, "HTTP/1.1")
				if len(got) != preceding+1 || got[preceding] != http.StatusBadRequest {
					t.Errorf("%s in pieces of %d bytes after %d requests: responses %v", name, size, preceding, got)
				}
				if want := strings.Count(before, "POST"); tg.count() != want {
					t.Errorf("%s in pieces of %d bytes after %d requests: %d requests ran, want %d", name, size, preceding, tg.count(), want)
				}
			}
		}
	}
}

// Guards against refusing proper requests for what the body of an earlier one held.
func TestProperRequestsAreServedAfterAnyBody(t *testing.T) {
	lines := "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
	requests := []string{
		rawRequest("1", fmt.Sprintf("Content-Length: %d\r\n", len(lines)), lines),
		rawRequest("2", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Trailer: a\r\n\r\n", len(lines), lines)),
		rawRequest("3", longField+"Transfer-Encoding: chunked\r\n", "3;ext\r\nabc\r\n0\r\n\r\n"),
		"GET /safe/4 HTTP/1.1\r\nHost: " + testHost + "\r\nBanyanglade-Request-Id: 4\r\n\r\n",
		rawRequest("5", "Content-Length: 50000\r\n", strings.Repeat(lines, 2000)[:50000]),
		rawRequest("6", "Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\n\r\n"),
	}
	for _, size := range []int{1 << 20, 4096, 1000, 11} {
		h := newHarness(t)
		tg := h.target("a", "app", serveText("ok"))
		kept, pipelined := h.dial(), h.dial()
		for i, request := range requests {
			kept.send(request, size)
			if got := kept.statuses(1); len(got) != 1 || got[0] != http.StatusOK {
				t.Errorf("pieces of %d bytes, request %d: responses %v", size, i+1, got)
			}
		}
		pipelined.send(strings.Join(requests, ""), size)
		if got := pipelined.statuses(len(requests)); len(got) != len(requests) || got[len(got)-1] != http.StatusOK {
			t.Errorf("pieces of %d bytes, pipelined: responses %v", size, got)
		}
		if tg.count() != 2*len(requests) {
			t.Errorf("pieces of %d bytes: %d requests ran, want %d", size, tg.count(), 2*len(requests))
		}
	}
}
