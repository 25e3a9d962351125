package serve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// TestRequestIsRefusedUnreadWithoutMemory fills an instance's memory with requests in
// progress.
func TestRequestIsRefusedUnreadWithoutMemory(t *testing.T) {
	h := newHarness(t)
	h.server.memory = memlimit.New(10*requestOverheadBytes, tally.NoopScope)
	release := make(chan struct{})
	arrived := make(chan struct{}, 20)
	tg := h.target("t1", "app", func(_ int, rw http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		sign(rw)
		_, _ = io.WriteString(rw, "ok")
	})
	body := strings.Repeat("x", requestOverheadBytes)
	served := make(chan result, 20)
	admitted := 0
	for admitted < 2 {
		go func() { served <- h.do(h.request("POST", "/safe/x", body)) }()
		<-arrived
		admitted++
	}
	over := h.do(h.request("POST", "/safe/x", strings.Repeat("x", 2*requestOverheadBytes)))
	if over.status != http.StatusServiceUnavailable || over.header.Get("Retry-After") == "" {
		t.Errorf("status %d for a request that does not fit", over.status)
	}
	if !strings.Contains(h.log.String(), string(reasonNoMemory)) {
		t.Error("the log has no reason for the refusal")
	}
	go func() { served <- h.do(h.request("POST", "/safe/x", body, "Banyanglade-Program-Id", "p")) }()
	<-arrived
	close(release)
	for range admitted + 1 {
		if got := <-served; got.status != http.StatusOK {
			t.Errorf("status %d for an admitted request", got.status)
		}
	}
	if len(tg.body) != admitted+1 {
		t.Errorf("%d requests ran", len(tg.body))
	}
	h.front.Close()
	if left := h.server.memory.Usage().Held; left != 0 {
		t.Errorf("%d bytes held after all requests", left)
	}
}

// TestSlowReadersGetResponsesLongerThanMemory has several slow readers of responses
// that are longer than the instance's free memory.
func TestSlowReadersGetResponsesLongerThanMemory(t *testing.T) {
	const callers, length = 6, 128 << 10
	h := newHarness(t)
	h.server.memory = memlimit.New(callers*2*requestOverheadBytes, tally.NoopScope)
	response := strings.Repeat("0123456789abcdef", length/16)
	h.target("t1", "app", serveText(response))
	got := make(chan error, callers)
	for i := range callers {
		go func() { got <- readSlowly(h, fmt.Sprint("p", i), response) }()
	}
	for range callers {
		if err := <-got; err != nil {
			t.Error(err)
		}
	}
}

// readSlowly reads a response in small steps from a small receive window.
func readSlowly(h *harness, program, want string) error {
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	head := "GET /safe/x HTTP/1.1\r\nHost: " + testHost + "\r\nBanyanglade-Program-Id: " + program + "\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != want {
		return fmt.Errorf("status %d and %d bytes of %d", resp.StatusCode, len(body), len(want))
	}
	return err
}

// slowConn is a connection that accepts a limited number of bytes per second.
type slowConn struct {
	net.Conn
	perSecond int
	deadline  time.Time
}

func (c *slowConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *slowConn) Write(p []byte) (int, error) {
	wait := time.Until(c.deadline)
	n := min(len(p), int(float64(c.perSecond)*wait.Seconds()))
	if n == len(p) {
		return n, nil
	}
	time.Sleep(wait)
	return n, osDeadlineError()
}

// osDeadlineError returns the error of a write after its deadline.
func osDeadlineError() error {
	c, other := net.Pipe()
	defer func() { _, _ = c.Close(), other.Close() }()
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	_, err := c.Write([]byte{0})
	return err
}

// TestStalledReaderIsDisconnected checks that a reader without progress is disconnected
// and a slow one is not.
func TestStalledReaderIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tight := memlimit.New(1000, tally.NoopScope)
		account := tight.NewAccount()
		account.ForceReserve(900)
		data := make([]byte, 10_000)
		cases := []struct {
			perSecond int
			memory    *memlimit.Limiter
			cutAfter  time.Duration
		}{
			{0, memlimit.New(1000, tally.NoopScope), 10 * time.Second},
			{0, tight, 2 * time.Second},
			{100, tight, 0},
		}
		for _, c := range cases {
			begun := time.Now()
			conn := &callerConn{Conn: &slowConn{perSecond: c.perSecond}, memory: c.memory}
			n, err := conn.Write(data)
			switch {
			case c.cutAfter == 0 && (err != nil || n != len(data)):
				t.Errorf("slow reader: got %d bytes, %v", n, err)
			case c.cutAfter > 0 && (err == nil || time.Since(begun) != c.cutAfter):
				t.Errorf("disconnected after %s with %v, want %s", time.Since(begun), err, c.cutAfter)
			}
		}
	})
}

// TestStalledBodyFreesMemory sends the beginning of a body only.
func TestStalledBodyFreesMemory(t *testing.T) {
	h := newHarness(t)
	h.server.memory = memlimit.New(10*requestOverheadBytes, tally.NoopScope)
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	head := "POST /short/x HTTP/1.1\r\nHost: " + testHost + "\r\nContent-Length: 1000\r\n\r\nbegun"
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", resp.StatusCode)
	}
	h.front.Close()
	if left := h.server.memory.Usage().Held; left != 0 {
		t.Errorf("%d bytes held after all requests", left)
	}
}
