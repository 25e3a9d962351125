package serve

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/inbound"
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

// stopBody sends the head of a request with a body, and one byte of the body.
func stopBody(t *testing.T, h *harness, path string, size int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n1", path, testHost, size)
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitArrivals waits until a number of requests with incomplete bodies hold memory.
func awaitArrivals(t *testing.T, h *harness, want int) {
	t.Helper()
	count := func() int {
		h.server.arrivals.mu.Lock()
		defer h.server.arrivals.mu.Unlock()
		holding := 0
		for e := h.server.arrivals.requests.Front(); e != nil; e = e.Next() {
			if e.Value.(*arrival).held.Held() > requestOverheadBytes {
				holding++
			}
		}
		return holding
	}
	for deadline := time.Now().Add(10 * time.Second); count() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests with incomplete bodies hold memory, want %d", count(), want)
		}
	}
}

// TestStoppedBodiesMakeRoom has callers whose bodies stop hold the memory for requests. They
// are refused once another request needs the memory, and their requests do not run.
func TestStoppedBodiesMakeRoom(t *testing.T) {
	for _, size := range []int{2, requestOverheadBytes} {
		h := newHarness(t)
		h.server.memory = memlimit.New(10*requestOverheadBytes, tally.NoopScope)
		h.server.inbound.SetLimits(inbound.Limits{HeaderTimeout: time.Nanosecond})
		tg := h.target("t1", "app", serveText("ok"))
		var stopped []net.Conn
		for h.server.memory.Usage().Fits(int64(requestOverheadBytes+size), false) {
			stopped = append(stopped, stopBody(t, h, "/safe/x", size))
			awaitArrivals(t, h, len(stopped))
		}
		// The first request needs the memory of a stopped one, all others the same.
		for range 2 {
			if got := h.do(h.request("POST", "/safe/x", strings.Repeat("x", size))); got.status != http.StatusOK {
				t.Errorf("size %d: status %d for a request beside stopped ones", size, got.status)
			}
		}
		resp, err := http.ReadResponse(bufio.NewReader(stopped[0]), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Errorf("size %d: a stopped request got status %d, header %v", size, resp.StatusCode, resp.Header)
		}
		if len(tg.body) != 2 {
			t.Errorf("size %d: %d requests ran", size, len(tg.body))
		}
		for _, c := range stopped {
			_ = c.Close() // ends the request
		}
		h.front.Close()
		if left := h.server.memory.Usage().Held; left != 0 {
			t.Errorf("size %d: %d bytes held after all requests", size, left)
		}
	}
}

// TestBodiesInTimeAreNotEvicted fills the memory with bodies that arrive within the header
// timeout: the request that does not fit is refused, and they are served.
func TestBodiesInTimeAreNotEvicted(t *testing.T) {
	h := newHarness(t)
	h.server.memory = memlimit.New(10*requestOverheadBytes, tally.NoopScope)
	h.server.inbound.SetLimits(inbound.Limits{HeaderTimeout: time.Hour})
	h.target("t1", "app", serveText("ok"))
	var arriving []net.Conn
	for h.server.memory.Usage().Fits(requestOverheadBytes, false) {
		arriving = append(arriving, stopBody(t, h, "/safe/x", 2))
		awaitArrivals(t, h, len(arriving))
	}
	if got := h.do(h.request("POST", "/safe/x", "1")); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d for a request that does not fit", got.status)
	}
	for _, c := range arriving {
		if _, err := io.WriteString(c, "2"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK {
			t.Errorf("status %d for a body that arrived in time", resp.StatusCode)
		}
		_ = c.Close() // the response was read
	}
}

// No order of arrivals makes arrivals evict bodies that are in time, more than the shortage
// needs, or any if they hold too little.
func TestArrivalsEvictNoMoreThanNeeded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		synctest.Test(t, func(t *testing.T) { testEviction(t, random) })
	}
}

func testEviction(t *testing.T, random *rand.Rand) {
	limiter := memlimit.New(1<<30, tally.NoopScope)
	var all arrivals
	var requests []*arrival
	interrupted := make(map[*arrival]bool)
	for range 1 + random.IntN(12) {
		account := limiter.NewAccount()
		account.ForceReserve(1 + random.Int64N(100))
		var request *arrival
		request = all.add(&account, func() { interrupted[request] = true })
		requests = append(requests, request)
		time.Sleep(time.Second)
	}
	self := requests[random.IntN(len(requests))]
	before, shortage := time.Now().Add(-time.Duration(random.IntN(14))*time.Second), 1+random.Int64N(400)
	var freed, last int64
	for _, request := range all.evict(shortage, before, self) {
		if request == self || !request.since.Before(before) || !interrupted[request] {
			t.Fatalf("evicted a request that began %s before the limit", before.Sub(request.since))
		}
		last = request.held.Held()
		freed += last
	}
	if freed > 0 && (freed < shortage || freed-last >= shortage) {
		t.Fatalf("evicted %d bytes for a shortage of %d, the last request held %d", freed, shortage, last)
	}
	var stale int64
	for _, request := range requests {
		if request != self && request.since.Before(before) {
			stale += request.held.Held()
		}
		if evicted := all.remove(request); evicted != interrupted[request] {
			t.Fatalf("evicted %t, interrupted %t", evicted, interrupted[request])
		}
	}
	if freed == 0 && stale >= shortage {
		t.Fatalf("evicted nothing though %d bytes could be released for %d", stale, shortage)
	}
}
