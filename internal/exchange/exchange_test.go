package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/testkit"
)

// scriptedTarget is a target that sends scripted responses and counts its connections.
type scriptedTarget struct {
	address string
	mu      sync.Mutex
	conns   int
	// requests lists the URIs received, in order.
	requests []string
}

// newScriptedTarget starts a target. The function respond gets the number of the request
// over all connections, from 1, and returns the bytes to send; an empty text closes the
// connection.
func newScriptedTarget(t *testing.T, respond func(n int) string) *scriptedTarget {
	t.Helper()
	l, err := testkit.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{address: l.Addr().String()}
	var work sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close() // ends Accept
		work.Wait()
	})
	work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			work.Go(func() { s.serve(c, respond) })
		}
	})
	return s
}

func (s *scriptedTarget) serve(c net.Conn, respond func(int) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.RequestURI)
		n := len(s.requests)
		s.mu.Unlock()
		text := respond(n)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

func (s *scriptedTarget) counts() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, len(s.requests)
}

const okResponse = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"

func acceptMine(_ int, h http.Header) (bool, error) { return h.Get("Id") == "mine", nil }

// exchangeOnce sends a request and returns the body of the response.
func exchangeOnce(ctx context.Context, p *Pool, address string, body []byte) (string, error) {
	resp, err := p.Do(ctx, Request{Address: address, Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: body}, acceptMine)
	if err != nil {
		return "", err
	}
	defer resp.Close(time.Minute)
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

func newPool(t *testing.T) *Pool {
	p := NewPool(tally.NoopScope)
	t.Cleanup(p.close)
	return p
}

func TestConnectionsAreReused(t *testing.T) {
	s := newScriptedTarget(t, func(int) string { return okResponse })
	p := newPool(t)
	for range 5 {
		if got, err := exchangeOnce(t.Context(), p, s.address, nil); got != "ok" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if conns, _ := s.counts(); conns != 1 {
		t.Errorf("%d connections", conns)
	}
}

// Guards against sending a request whose caller has left, or whose instance stops, on an
// idle connection.
func TestNothingIsSentAfterTheContextHasEnded(t *testing.T) {
	s := newScriptedTarget(t, func(int) string { return okResponse })
	p := newPool(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	const attempts = 50
	for range attempts {
		if got, err := exchangeOnce(t.Context(), p, s.address, nil); got != "ok" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
		if _, err := exchangeOnce(ended, p, s.address, nil); !errors.Is(err, ErrNotSent) || !errors.Is(err, context.Canceled) {
			t.Errorf("after the context has ended: %v", err)
		}
	}
	if _, requests := s.counts(); requests != attempts {
		t.Errorf("the target received %d requests, want %d", requests, attempts)
	}
}

func TestBytesAfterAResponseCloseTheConnection(t *testing.T) {
	s := newScriptedTarget(t, func(int) string { return okResponse + "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nextra" })
	p := newPool(t)
	for range 3 {
		if got, err := exchangeOnce(t.Context(), p, s.address, nil); got != "ok" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if conns, _ := s.counts(); conns != 3 {
		t.Errorf("%d connections, want one for each request", conns)
	}
}

func TestResponseToAnEarlierRequestIsSkipped(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 4\r\n\r\nlate"
	s := newScriptedTarget(t, func(int) string { return late + okResponse })
	p := newPool(t)
	for range 2 {
		if got, err := exchangeOnce(t.Context(), p, s.address, nil); got != "ok" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if conns, _ := s.counts(); conns != 2 {
		t.Errorf("%d connections: one that carried the response to another request was reused", conns)
	}
}

func TestSendErrors(t *testing.T) {
	p := newPool(t)
	closed, err := testkit.Listen()
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	_ = closed.Close() // nothing listens on the address any more
	if _, err := exchangeOnce(t.Context(), p, address, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("without a listener: %v", err)
	}
	for name, response := range map[string]string{
		"no answer":       "",
		"no HTTP":         "garbage\r\n\r\n",
		"half a head":     "HTTP/1.1 200 OK\r\nId: mi",
		"other responses": strings.Repeat("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n", maxInformational),
	} {
		s := newScriptedTarget(t, func(n int) string {
			if n > 1 {
				return ""
			}
			return response
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := exchangeOnce(ctx, p, s.address, nil)
		cancel()
		if !errors.Is(err, ErrConnBroken) || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: %v", name, err)
		}
		if _, requests := s.counts(); requests != 1 {
			t.Errorf("%s: sent %d times", name, requests)
		}
	}
}

func TestTruncatedBodiesAreIncomplete(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nContent-Length: 10\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		sent := false
		s := newScriptedTarget(t, func(int) string {
			if sent {
				return ""
			}
			sent = true
			return response
		})
		p := newPool(t)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		if _, err := exchangeOnce(ctx, p, s.address, nil); err == nil {
			t.Errorf("%s: a truncated body was accepted as complete", name)
		}
		cancel()
	}
}

func TestResponseBeforeALongBodyIsRead(t *testing.T) {
	s := newScriptedTarget(t, func(int) string { return okResponse })
	p := newPool(t)
	long := bytes.Repeat([]byte("x"), 8<<20)
	if got, err := exchangeOnce(t.Context(), p, s.address, long); got != "ok" || err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := exchangeOnce(t.Context(), p, s.address, nil); got != "ok" || err != nil {
		t.Fatalf("next request: got %q, %v", got, err)
	}
}

// newEarlyTarget starts a target that responds to each request before it reads the body, then
// ends the connection.
func newEarlyTarget(t *testing.T, response string, end func(*net.TCPConn) error) string {
	t.Helper()
	l, err := testkit.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // ends Accept
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				t.Error(err)
			}
			if _, err := io.WriteString(c, response); err != nil {
				t.Error(err)
			}
			if err := end(c.(*net.TCPConn)); err != nil {
				t.Error(err)
			}
		}
	}()
	return l.Addr().String()
}

// The reset of a connection is reported to one system call only. Guards against taking a
// response that ends with its connection for complete if that was the write of the body.
func TestResetWhileTheBodyIsWrittenMakesTheResponseIncomplete(t *testing.T) {
	address := newEarlyTarget(t, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nbeginning", func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	})
	p, long := newPool(t), bytes.Repeat([]byte("x"), 8<<20)
	for range 20 {
		resp, err := p.Do(t.Context(), Request{Address: address, Method: "POST", URI: "/x", Host: "h", Body: long}, acceptMine)
		if err != nil {
			continue // the reset was read before the header
		}
		<-resp.written.done
		if got, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("the response %q was taken for complete; the body was written with error %v", got, resp.written.err)
		}
		resp.Close(time.Minute)
	}
}

// A target may end its response properly before it has read the body.
func TestResponseWithoutLengthBeforeALongBodyIsRead(t *testing.T) {
	address := newEarlyTarget(t, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok", (*net.TCPConn).CloseWrite)
	p, long := newPool(t), bytes.Repeat([]byte("x"), 8<<20)
	if got, err := exchangeOnce(t.Context(), p, address, long); got != "ok" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

func TestExpiredConnectionsAreNotUsed(t *testing.T) {
	s := newScriptedTarget(t, func(int) string { return okResponse })
	p := newPool(t)
	resp, err := p.Do(t.Context(), Request{Address: s.address, Method: "GET", URI: "/", Host: "h"}, acceptMine)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	resp.Close(time.Nanosecond)
	if _, err := exchangeOnce(t.Context(), p, s.address, nil); err != nil {
		t.Fatal(err)
	}
	if conns, _ := s.counts(); conns != 2 {
		t.Errorf("%d connections", conns)
	}
}

func TestListening(t *testing.T) {
	pool := NewPool(tally.NoopScope)
	defer pool.close()
	serving := newScriptedTarget(t, func(int) string { return "" })
	ended, err := testkit.Listen()
	if err != nil {
		t.Fatal(err)
	}
	if err := ended.Close(); err != nil {
		t.Fatal(err)
	}
	for address, want := range map[string]bool{serving.address: true, ended.Addr().String(): false} {
		if got, err := pool.Listening(t.Context(), address); err != nil || got != want {
			t.Errorf("listening at %s: got %v, %v, want %v", address, got, err, want)
		}
	}
	if !pool.HasIdle(serving.address, time.Now()) {
		t.Error("the connection was not kept")
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := pool.Listening(cancelled, serving.address); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v after the context ended", err)
	}
}

// A target that closes connections beyond its limit has not ended.
func TestTargetThatResetsNewConnectionsIsListening(t *testing.T) {
	listener, err := testkit.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	pool := NewPool(tally.NoopScope)
	pool.acceptedTime = time.Minute // the close ends the wait
	if got, err := pool.Listening(t.Context(), listener.Addr().String()); err != nil || !got {
		t.Errorf("got %v, %v", got, err)
	}
	if pool.HasIdle(listener.Addr().String(), time.Now()) {
		t.Error("a closed connection was kept")
	}
}
