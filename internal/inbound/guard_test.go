package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// pipeListener accepts the server's ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is a server behind a Guard, in virtual time.
type fixture struct {
	t        *testing.T
	guard    *Guard
	listener *pipeListener
	stop     func()
}

func testConfig() Config {
	return Config{
		Name: "test", MaxConns: 4, MaxHeaderMemory: 64 << 10, Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
		Limits: Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// start serves requests with a handler, behind RefuseRejected.
func start(t *testing.T, config Config, handler http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{t: t, guard: New(config), listener: &pipeListener{make(chan net.Conn), make(chan struct{})}}
	server := &http.Server{Handler: RefuseRejected(handler)}
	f.guard.Configure(server)
	ctx, cancel := context.WithCancel(context.Background())
	go f.guard.Run(ctx)
	go func() { _ = server.Serve(f.guard.Listener(f.listener)) }() // ends with the test
	f.stop = func() {
		cancel()
		_ = server.Close() // closes all connections
		synctest.Wait()
	}
	return f
}

// testClient is a client's connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *testClient {
	client, server := net.Pipe()
	f.listener.conns <- server
	synctest.Wait()
	return &testClient{client, bufio.NewReader(client)}
}

// send writes text in the background and waits until the server has read what it reads.
func (c *testClient) send(text string) {
	go func() { _, _ = io.WriteString(c, text) }() // the server may close the connection
	synctest.Wait()
}

// status reads a response and returns its status, 0 if the connection was closed.
func (c *testClient) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// isOpen reports whether the server has not closed the connection.
func (c *testClient) isOpen() bool {
	_ = c.SetReadDeadline(time.Now()) // pipes support deadlines
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	netErr, ok := err.(net.Error)
	return err == nil || (ok && netErr.Timeout())
}

const request = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Requests outside the limits are refused with a status that tells why, and their
// connection is closed. Those within are served.
func TestRequestsOutsideTheLimitsAreRefused(t *testing.T) {
	fields := strings.Repeat("a:\r\n", 3000)
	cases := []struct {
		name, text string
		status     int
	}{
		{"within", "GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n", http.StatusOK},
		{"many fields", "GET / HTTP/1.1\r\nHost: a\r\n" + fields + fields + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"long line", "GET /" + strings.Repeat("a", 1<<20), http.StatusRequestHeaderFieldsTooLarge},
		{"one empty line", "\r\n" + request, http.StatusOK},
		{"empty lines", strings.Repeat("\r\n", 1000), http.StatusBadRequest},
		{"ambiguous length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", http.StatusBadRequest},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := start(t, testConfig(), serveOK)
			defer f.stop()
			client := f.dial()
			client.send(c.text)
			if got := client.status(); got != c.status {
				t.Errorf("%s: status %d, want %d", c.name, got, c.status)
			}
			synctest.Wait()
			if open := client.isOpen(); open != (c.status == http.StatusOK) {
				t.Errorf("%s: the connection is open: %t", c.name, open)
			}
		})
	}
}

// Timeouts of the settings apply, also to connections that were open when they changed.
func TestTimeoutsApplyToOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, testConfig(), serveOK)
		defer f.stop()
		idleClient, slow := f.dial(), f.dial()
		slow.send("GET /a HT")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !slow.isOpen() || !idleClient.isOpen() {
			t.Fatal("closed before the timeouts")
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if slow.isOpen() || !idleClient.isOpen() {
			t.Errorf("after the header timeout: slow open %t, idle open %t", slow.isOpen(), idleClient.isOpen())
		}
		f.guard.SetLimits(Limits{IdleTimeout: time.Second})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if idleClient.isOpen() {
			t.Error("an idle connection is open after the changed timeout")
		}
	})
}

// A process that stood still must not close connections whose bytes it has not read.
func TestConnectionsOutlastAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, testConfig(), serveOK)
		defer f.stop()
		client := f.dial()
		client.send("GET /a HT")
		now := time.Now()
		f.guard.sweep(now, now.Add(10*time.Second))
		if !client.isOpen() {
			t.Error("closed after a pause")
		}
		f.guard.sweep(now.Add(9*time.Second), now.Add(10*time.Second))
		if client.isOpen() {
			t.Error("open after the header timeout")
		}
	})
}

// Beyond the bound the longest idle connection is closed first, then the one longest
// without a complete header, never one with a request in progress.
func TestLeastDeservingConnectionsAreClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		f := start(t, testConfig(), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
			serveOK(w, r)
		})
		defer f.stop()
		slow, reading, idleFirst, idleLast := f.dial(), f.dial(), f.dial(), f.dial()
		slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
		reading.send("GET /a")
		idleFirst.send(request)
		if idleFirst.status() != http.StatusOK {
			t.Fatal("not served")
		}
		synctest.Wait()
		open := func() string {
			return fmt.Sprint(slow.isOpen(), reading.isOpen(), idleFirst.isOpen(), idleLast.isOpen())
		}
		for _, want := range []string{"true true true false", "true true false false", "true false false false"} {
			f.dial().send("GET /other")
			synctest.Wait()
			if got := open(); got != want {
				t.Errorf("open: %s, want %s", got, want)
			}
		}
		close(release)
		if got := slow.status(); got != http.StatusOK {
			t.Errorf("the request in progress got status %d", got)
		}
	})
}

// Clients whose bodies stop must not keep others out.
func TestIncompleteBodiesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		f := start(t, config, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // ends with the connection
			serveOK(w, r)
		})
		defer f.stop()
		whole := f.dial()
		whole.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
		for _, head := range []string{"Content-Length: 3\r\n\r\na", "Transfer-Encoding: chunked\r\n\r\n1\r\n"} {
			for range config.MaxConns {
				f.dial().send("POST / HTTP/1.1\r\nHost: a\r\n" + head)
			}
		}
		ordinary := f.dial()
		ordinary.send(request)
		if got := ordinary.status(); got != http.StatusOK {
			t.Errorf("an ordinary request got status %d", got)
		}
		if got := whole.status(); got != http.StatusOK {
			t.Errorf("the whole request got status %d", got)
		}
	})
}

// Requests that wait must not keep other clients out where they may be evicted: the oldest
// one is cancelled.
func TestWaitingRequestsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.EvictRequests = true
		f := start(t, config, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-r.Context().Done()
				return
			}
			serveOK(w, r)
		})
		defer f.stop()
		waiting := make([]*testClient, config.MaxConns)
		for i := range waiting {
			waiting[i] = f.dial()
			waiting[i].send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		}
		ordinary := f.dial()
		ordinary.send(request)
		if got := ordinary.status(); got != http.StatusOK {
			t.Errorf("an ordinary request got status %d", got)
		}
		for i, c := range waiting {
			if open := c.isOpen(); open != (i > 0) {
				t.Errorf("waiting request %d: connection open %t", i, open)
			}
		}
	})
}

// The memory of incomplete headers is bounded, and the longest incomplete one makes room.
func TestIncompleteHeadersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.MaxConns, config.MaxHeaderMemory = 100, 40<<10
		f := start(t, config, serveOK)
		defer f.stop()
		for range 10 {
			f.dial().send("GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 12<<10))
			synctest.Wait()
			if held := f.guard.Usage().HeaderMemory; held > config.MaxHeaderMemory {
				t.Fatalf("%d bytes are held, the bound is %d", held, config.MaxHeaderMemory)
			}
		}
		last := f.dial()
		last.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 12<<10) + "\r\n\r\n")
		if got := last.status(); got != http.StatusOK {
			t.Errorf("the next complete header got status %d", got)
		}
	})
}

// Headers with many fields are refused unparsed when there is no memory for what they hold.
func TestCompleteHeadersReserveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.MaxConns = 100
		config.Memory = memlimit.New(2<<20, tally.NoopScope)
		release := make(chan struct{})
		f := start(t, config, func(w http.ResponseWriter, r *http.Request) {
			<-release
			serveOK(w, r)
		})
		defer f.stop()
		head := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
		var clients []*testClient
		for range 20 {
			clients = append(clients, f.dial())
			clients[len(clients)-1].send(head)
		}
		ordinary := f.dial()
		ordinary.send(request)
		if held := config.Memory.Usage().Held; held == 0 || held > 2<<20 {
			t.Errorf("%d bytes are held", held)
		}
		close(release)
		if got := ordinary.status(); got != http.StatusOK {
			t.Errorf("an ordinary request got status %d", got)
		}
		statuses := make(map[int]int)
		for _, client := range clients {
			statuses[client.status()]++
		}
		if statuses[http.StatusOK] == 0 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != len(clients) {
			t.Errorf("responses by status: %v", statuses)
		}
		synctest.Wait()
		if left := config.Memory.Usage().Held; left != 0 {
			t.Errorf("%d bytes are held after all requests", left)
		}
	})
}

// Memory for a header that the HTTP server refuses to parse must be released.
func TestMalformedHeadersReleaseTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.Memory = memlimit.New(2<<20, tally.NoopScope)
		f := start(t, config, serveOK)
		defer f.stop()
		for range 20 {
			client := f.dial()
			client.send("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3000) + "not a field\r\n\r\n")
			if got := client.status(); got != http.StatusBadRequest {
				t.Errorf("status %d", got)
			}
			synctest.Wait()
			if left := config.Memory.Usage().Held; left != 0 {
				t.Fatalf("%d bytes are held after the connection was closed", left)
			}
		}
	})
}

// A connection is idle once its response was sent: a response that is ready must not be cut
// to make room for new connections.
func TestReadyResponsesAreDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		config.MaxConns = 1
		f := start(t, config, serveOK)
		defer f.stop()
		client := f.dial()
		client.send(request) // the pipe holds the response until it is read
		_, server := net.Pipe()
		go func() { f.listener.conns <- server }()
		synctest.Wait()
		if got := client.status(); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	})
}

// A client that leaves cancels its request, also after it has sent empty lines or a part of
// the next request; one that stays does not.
func TestRequestsInProgressAreNotTakenForAbandoned(t *testing.T) {
	for _, behind := range []string{"", "\r\n", "GET /b", strings.Repeat("\r\n", 1000)} {
		synctest.Test(t, func(t *testing.T) {
			release := make(chan struct{})
			f := start(t, testConfig(), func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-release:
				case <-r.Context().Done():
					t.Errorf("cancelled with %q behind the request", behind)
				}
				serveOK(w, r)
			})
			defer f.stop()
			client := f.dial()
			client.send(request + behind)
			time.Sleep(time.Minute)
			synctest.Wait()
			close(release)
			if got := client.status(); got != http.StatusOK {
				t.Errorf("status %d with %q behind the request", got, behind)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan struct{})
		f := start(t, testConfig(), func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(cancelled)
		})
		defer f.stop()
		client := f.dial()
		client.send(request)
		_ = client.Close() // pipes close without errors
		<-cancelled
	})
}

// No order of arrivals exceeds the bounds, and a client that sends an ordinary request at
// once is served unless all connections have a request in progress.
func TestNoOrderOfArrivalsExceedsTheBounds(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			config := testConfig()
			config.MaxConns, config.MaxHeaderMemory = 8, 48<<10
			f := start(t, config, serveOK)
			defer f.stop()
			var clients []*testClient
			for range 100 {
				switch r.IntN(6) {
				case 0:
					clients = append(clients, f.dial())
				case 1:
					clients = append(clients, f.dial())
					clients[len(clients)-1].send("GET /" + strings.Repeat("a", r.IntN(24<<10)))
				case 2:
					clients = append(clients, f.dial())
					clients[len(clients)-1].send(strings.Repeat("\r\n", r.IntN(20)))
				case 3:
					time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
				case 4:
					if len(clients) > 0 {
						_ = clients[r.IntN(len(clients))].Close() // pipes close without errors
					}
				default:
					ordinary := f.dial()
					clients = append(clients, ordinary)
					ordinary.send(request)
					if got := ordinary.status(); got != http.StatusOK {
						t.Errorf("seed %d: an ordinary request got status %d", seed, got)
					}
				}
				synctest.Wait()
				if u := f.guard.Usage(); u.Conns > u.MaxConns || u.HeaderMemory > u.MaxHeaderMemory || u.HeaderMemory < 0 {
					t.Fatalf("seed %d: %+v", seed, u)
				}
			}
			for _, c := range clients {
				_ = c.Close() // pipes close without errors
			}
			synctest.Wait()
			if u := f.guard.Usage(); u.Conns != 0 || u.HeaderMemory != 0 {
				t.Errorf("seed %d: after all have left: %+v", seed, u)
			}
		})
	}
}

// BenchmarkLargeHeader parses and serves a header of 15 kB with many small fields.
func BenchmarkLargeHeader(b *testing.B) {
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for n := 0; head.Len() < 15<<10; n++ {
		fmt.Fprintf(&head, "f%x:\r\n", n)
	}
	benchmarkRequests(b, head.String()+"\r\n")
}

// BenchmarkOrdinaryHeader parses and serves an ordinary header.
func BenchmarkOrdinaryHeader(b *testing.B) { benchmarkRequests(b, request) }

func benchmarkRequests(b *testing.B, text string) {
	l := &pipeListener{make(chan net.Conn), make(chan struct{})}
	guard := New(Unbounded(tally.NoopScope, slog.New(slog.DiscardHandler)))
	server := &http.Server{Handler: http.HandlerFunc(serveOK)}
	guard.Configure(server)
	go func() { _ = server.Serve(guard.Listener(l)) }() // ends with the benchmark
	defer func() { _ = server.Close() }()               // closes all connections
	conn, serverEnd := net.Pipe()
	l.conns <- serverEnd
	client := &testClient{conn, bufio.NewReader(conn)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(client, text); err != nil {
			b.Fatal(err)
		}
		if got := client.status(); got != http.StatusOK {
			b.Fatalf("status %d", got)
		}
	}
}
