package peer

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKey = []byte("a test key that is long enough")

// node is a Transport with its listener and the events that it posted.
type node struct {
	*Transport
	t       *testing.T
	address string
	events  chan structs.Event
	scope   tally.TestScope
	logs    *lockedBuffer
	peers   sync.Map
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) contents() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

func newNode(t *testing.T, id structs.InstanceID, edit ...func(*Config)) *node {
	t.Helper()
	cfg := Config{Self: structs.Peer{ID: id}, Incarnation: "first", Key: testKey}
	for _, f := range edit {
		f(&cfg)
	}
	n := &node{t: t, events: make(chan structs.Event, 4096), scope: tally.NewTestScope("", nil), logs: new(lockedBuffer)}
	post := func(event structs.Event) bool {
		select {
		case n.events <- event:
			return true
		default:
			return false
		}
	}
	transport, err := New(context.Background(), cfg, post, n.resolve, n.scope, slog.New(slog.NewJSONHandler(n.logs, nil)))
	if err != nil {
		t.Fatal(err)
	}
	n.Transport = transport
	engine := gin.New()
	engine.GET(Route, gin.WrapH(transport.Handler()))
	server := httptest.NewServer(engine)
	n.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(server.Close)
	t.Cleanup(transport.Close)
	return n
}

func (n *node) resolve(id structs.InstanceID) (structs.Peer, bool) {
	address, ok := n.peers.Load(id)
	if !ok {
		return structs.Peer{}, false
	}
	return structs.Peer{ID: id, Address: address.(string)}, true
}

// await returns the first event that match accepts and discards those before it.
func (n *node) await(match func(structs.Event) bool) structs.Event {
	n.t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case event := <-n.events:
			if match(event) {
				return event
			}
		case <-timeout:
			n.t.Fatalf("timed out waiting for an event at %s; log:\n%s", n.cfg.Self.ID, n.logs.contents())
		}
	}
}

func (n *node) awaitEvent(want structs.Event) {
	n.t.Helper()
	n.await(func(event structs.Event) bool { return event == want })
}

func (n *node) awaitMessage(from structs.InstanceID) structs.Message {
	n.t.Helper()
	event := n.await(func(event structs.Event) bool {
		message, ok := event.(structs.PeerMessage)
		return ok && message.From == from
	})
	return event.(structs.PeerMessage).Msg
}

func (n *node) count(name string) int64 {
	if counter, ok := n.scope.Snapshot().Counters()[name+"+"]; ok {
		return counter.Value()
	}
	return 0
}

func (n *node) awaitCount(name string) {
	n.t.Helper()
	for deadline := time.Now().Add(testTimeout); n.count(name) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("%s is 0; log:\n%s", name, n.logs.contents())
		}
	}
}

// awaitHandshakes waits until a number of accepted handshakes are in progress.
func (n *node) awaitHandshakes(want int) {
	n.t.Helper()
	count := func() int {
		n.handshakes.mu.Lock()
		defer n.handshakes.mu.Unlock()
		return len(n.handshakes.inProgress)
	}
	for deadline := time.Now().Add(testTimeout); count() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("%d handshakes are in progress, want %d", count(), want)
		}
	}
}

// tcpProxy forwards TCP connections and can drop the traffic of either direction.
type tcpProxy struct {
	listener                  net.Listener
	target                    string
	dropForward, dropBackward atomic.Bool
	work                      sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target}
	p.work.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		p.work.Go(func() { p.pipe(out, in, &p.dropForward) })
		p.work.Go(func() { p.pipe(in, out, &p.dropBackward) })
	}
}

// pipe copies until a connection closes. While drop is set it discards the data,
// like a network partition.
func (p *tcpProxy) pipe(to, from net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !drop.Load() {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.mu.Unlock()
	p.work.Wait()
}

// unresponsiveListener returns the address of a listener that accepts
// connections and never reads from them.
func unresponsiveListener(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// dialRaw opens a WebSocket connection on which the test sends its own frames.
func dialRaw(t *testing.T, n *node) *websocket.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	conn, _, err := websocket.Dial(ctx, "ws://"+n.address+Route, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	return conn
}

// dialAuthenticated opens a raw connection and completes the handshake.
func dialAuthenticated(t *testing.T, n *node, id structs.InstanceID) *websocket.Conn {
	t.Helper()
	conn := dialRaw(t, n)
	h := handshaker{id: id, incarnation: "raw", key: testKey}
	if _, err := h.dial(context.Background(), conn, n.cfg.Self.ID); err != nil {
		t.Fatal(err)
	}
	return conn
}

func sendRaw(t *testing.T, conn *websocket.Conn, frame []byte) {
	t.Helper()
	if err := conn.Write(context.Background(), websocket.MessageBinary, frame); err != nil {
		t.Fatal(err)
	}
}

// awaitClosed waits until the connection is closed and returns the read error.
func awaitClosed(t *testing.T, conn *websocket.Conn) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		if _, _, err := conn.Read(ctx); err != nil {
			if ctx.Err() != nil {
				t.Fatal("the connection was not closed")
			}
			return err
		}
	}
}
