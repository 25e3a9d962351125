package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
)

// maxUnreadBytes exceeds what two sockets buffer before a write blocks.
const maxUnreadBytes = 16 << 20

// endlessTarget responds to each request with a beginning, then repeats a text until the
// connection is closed.
type endlessTarget struct {
	address string
	work    sync.WaitGroup
	// idle is closed when the target goes on behind its beginning.
	idle chan struct{}
	// ended receives the number of bytes that a connection took when it ends.
	ended chan int
}

func newEndlessTarget(t *testing.T, beginning, repeated string) *endlessTarget {
	t.Helper()
	l, err := testkit.Listen()
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessTarget{address: l.Addr().String(), idle: make(chan struct{}), ended: make(chan int, 100)}
	e.work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.work.Go(func() { e.serve(c, beginning, strings.Repeat(repeated, 1+(32<<10)/len(repeated))) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close() // ends Accept
		e.work.Wait()
	})
	return e
}

func (e *endlessTarget) serve(c net.Conn, beginning, block string) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	total, err := io.WriteString(c, beginning)
	<-e.idle
	for err == nil && total < maxUnreadBytes {
		var n int
		n, err = io.WriteString(c, block)
		total += n
	}
	e.ended <- total
}

// waitForEnd waits until connections have ended and returns the bytes that each took.
func (e *endlessTarget) waitForEnd(t *testing.T, connections int) []int {
	t.Helper()
	var written []int
	for range connections {
		select {
		case total := <-e.ended:
			written = append(written, total)
		case <-time.After(20 * time.Second):
			t.Fatal("a connection is still open")
		}
	}
	return written
}

// endlessHeads are bytes in place of a response that end only with the connection.
var endlessHeads = map[string][2]string{
	"status line":             {"", "x"},
	"header field":            {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"header fields":           {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"empty lines":             {"", "\r\n"},
	"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"skipped response":        {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
	"skipped chunks":          {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk line":              {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":         {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailer":                 {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	"trailer field":           {"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "y"},
}

// Guards against collecting the bytes of a faulty target until the memory is used up, for
// many responses at once, and against waiting for their end.
func TestBytesWithoutEndBreakTheConnection(t *testing.T) {
	for name, parts := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			target, p := newEndlessTarget(t, parts[0], parts[1]), newPool(t)
			close(target.idle)
			var work sync.WaitGroup
			for range 20 {
				work.Go(func() {
					got, err := exchangeOnce(t.Context(), p, target.address, nil)
					for errors.Is(err, ErrNotSent) {
						// On a busy machine a dial may time out.
						got, err = exchangeOnce(t.Context(), p, target.address, nil)
					}
					if err == nil {
						t.Errorf("got %q", got)
					}
				})
			}
			work.Wait()
			for _, written := range target.waitForEnd(t, 20) {
				if written >= maxUnreadBytes {
					t.Errorf("a connection took %d bytes", written)
				}
			}
		})
	}
}

// Guards against keeping a connection whose target goes on sending behind a response.
func TestIdleConnectionsThatReceiveBytesAreClosed(t *testing.T) {
	target, p := newEndlessTarget(t, okResponse, "x"), newPool(t)
	resp, err := p.Do(t.Context(), Request{Address: target.address, Method: "GET", URI: "/x", Host: "h"}, acceptMine)
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Discard(); err != nil {
		t.Fatal(err)
	}
	resp.Close(time.Hour)
	if !p.HasIdle(target.address, time.Now()) {
		t.Fatal("the connection is not kept")
	}
	close(target.idle)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	defer running.Wait()
	defer cancel()
	if written := target.waitForEnd(t, 1)[0]; written >= maxUnreadBytes {
		t.Errorf("the connection took %d bytes", written)
	}
	if p.HasIdle(target.address, time.Now()) {
		t.Error("the connection is still idle in the pool")
	}
}

// Guards against reading the rest of a refused request's response without end.
func TestDiscardEnds(t *testing.T) {
	target, p := newEndlessTarget(t, "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\n\r\n", "x"), newPool(t)
	close(target.idle)
	resp, err := p.Do(t.Context(), Request{Address: target.address, Method: "GET", URI: "/x", Host: "h"}, acceptMine)
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Discard(); !errors.Is(err, errTooLong) {
		t.Errorf("got %v, want %v", err, errTooLong)
	}
	resp.Close(time.Minute)
	if written := target.waitForEnd(t, 1)[0]; written >= maxUnreadBytes {
		t.Errorf("the connection took %d bytes", written)
	}
}
