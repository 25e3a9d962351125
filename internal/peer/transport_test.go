package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func withdraw(i int) *structs.Withdraw {
	return &structs.Withdraw{Request: structs.RequestID(fmt.Sprint(i))}
}

func shortTimeouts(c *Config) {
	c.PeerTimeout = 300 * time.Millisecond
	c.HeartbeatInterval = 50 * time.Millisecond
}

func TestMessagesKeepOrderInBothDirections(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.peers.Store(structs.InstanceID("b"), b.address)
	const messages = 500
	for i := range messages {
		a.Send("b", withdraw(i))
	}
	for i := range messages {
		if got := b.awaitMessage("a").(*structs.Withdraw); *got != *withdraw(i) {
			t.Fatalf("got %v, wanted message %d", got, i)
		}
	}
	// b cannot resolve a and must reuse the connection.
	b.Send("a", withdraw(0))
	a.awaitMessage("b")
	if s := a.Stats(); s.Sessions != 1 || s.DataBytesSent != 0 || s.ControlBytesSent == 0 || s.FramesSent != messages {
		t.Fatalf("stats %+v", s)
	}
}

func TestTrySendNeedsAConnection(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.peers.Store(structs.InstanceID("b"), b.address)
	if a.TrySend("b", withdraw(0)) {
		t.Error("sent without a connection")
	}
	a.Send("b", withdraw(1))
	if !a.TrySend("b", withdraw(2)) {
		t.Error("not sent while a connection is being opened")
	}
	for want := 1; want <= 2; want++ {
		if got := b.awaitMessage("a").(*structs.Withdraw); *got != *withdraw(want) {
			t.Errorf("got %v, want message %d", got, want)
		}
	}
}

func TestSimultaneousDials(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.peers.Store(structs.InstanceID("b"), b.address)
	b.peers.Store(structs.InstanceID("a"), a.address)
	const messages = 200
	for i := range messages {
		a.Send("b", withdraw(i))
		b.Send("a", withdraw(i))
	}
	for i := range messages {
		if *b.awaitMessage("a").(*structs.Withdraw) != *withdraw(i) || *a.awaitMessage("b").(*structs.Withdraw) != *withdraw(i) {
			t.Fatalf("message %d out of order", i)
		}
	}
}

func TestWrongKeyIsRejected(t *testing.T) {
	const secret = "another key that is long enough"
	a := newNode(t, "a", func(c *Config) { c.Key = []byte(secret) })
	b := newNode(t, "b")
	a.peers.Store(structs.InstanceID("b"), b.address)
	b.peers.Store(structs.InstanceID("a"), a.address)
	a.Send("b", withdraw(0))
	a.awaitEvent(structs.PeerDown{Peer: "b"})
	b.awaitCount("handshakes_refused")
	if text := a.logs.contents() + b.logs.contents(); !strings.Contains(text, ErrKeyMismatch.Error()) || strings.Contains(text, secret) {
		t.Fatalf("log: %s", text)
	}
}

// Clients without the key that begin handshakes and stop must not keep other instances out.
func TestStoppedHandshakesMakeRoom(t *testing.T) {
	const maxHandshakes = 4
	b := newNode(t, "b", func(c *Config) {
		c.PeerTimeout, c.MaxHandshakes = 2*testTimeout, maxHandshakes
	})
	for range maxHandshakes {
		dialRaw(t, b)
	}
	b.awaitHandshakes(maxHandshakes)
	sendRaw(t, dialAuthenticated(t, b, "a"), mustEncode(t, withdraw(1)))
	b.awaitMessage("a")
	b.awaitCount("handshakes_refused")
}

func TestAcceptorChecksTheDialersProof(t *testing.T) {
	b := newNode(t, "b")
	conn := dialRaw(t, b)
	self := identity{ID: "a", Incarnation: "raw", Nonce: newNonce()}
	helloFrame, _ := encodeBody(kindHello, &hello{From: self, To: "b"})
	sendRaw(t, conn, helloFrame)
	// Reflect the acceptor's own proof.
	var reply welcome
	if err := readFrame(t.Context(), conn, kindWelcome, &reply); err != nil {
		t.Fatal(err)
	}
	reflected, _ := encodeBody(kindConfirm, &confirm{Proof: reply.Proof})
	sendRaw(t, conn, reflected)
	if err := awaitClosed(t, conn); !strings.Contains(err.Error(), ErrKeyMismatch.Error()) {
		t.Fatal(err)
	}
}

func TestBadHandshakeFramesAreRejected(t *testing.T) {
	helloFrame, _ := encodeBody(kindHello, &hello{From: identity{ID: "a", Nonce: newNonce()}, To: "b"})
	old := append([]byte{structs.ProtocolVersion - 1}, helloFrame[1:]...)
	other, _ := encodeBody(kindHello, &hello{From: identity{ID: "a", Nonce: newNonce()}, To: "c"})
	for name, frame := range map[string][]byte{
		"old version": old, "garbage": []byte("GET / HTTP/1.1"), "empty": {}, "other instance": other,
		"oversized": make([]byte, maxHandshakeFrameBytes+1), "message before the handshake": {structs.ProtocolVersion, byte(structs.KindWithdraw), 0x80},
	} {
		t.Run(name, func(t *testing.T) {
			b := newNode(t, "b")
			conn := dialRaw(t, b)
			sendRaw(t, conn, frame)
			_ = awaitClosed(t, conn)
			b.awaitCount("handshakes_refused")
		})
	}
}

// A client that announces a long frame and stops is rejected without waiting for the frame.
func TestRejectionDoesNotWaitForFrames(t *testing.T) {
	b := newNode(t, "b")
	for _, frames := range []string{
		"\x82\xff\x00\x00\x00\x00\x7f\xff\xff\xff\x00\x00\x00\x00",
		"\x82\x80\x00\x00\x00\x00\x82\xff\x00\x00\x00\x00\x7f\xff\xff\xff\x00\x00\x00\x00",
	} {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }() // open until the end of the test
		head := "GET " + Route + " HTTP/1.1\r\nHost: b\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
		if _, err := io.WriteString(conn, head+frames); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%x: the connection is open after %s", frames, testTimeout)
		}
		b.awaitHandshakes(0)
	}
}

func TestBadFramesCloseConnection(t *testing.T) {
	good, _ := EncodeFrame(withdraw(1))
	for name, frame := range map[string][]byte{
		"old version": append([]byte{structs.ProtocolVersion - 1}, good[1:]...), "unknown kind": {structs.ProtocolVersion, 200, 0x80},
		"garbage body": {structs.ProtocolVersion, byte(structs.KindSubmit), 0xff, 0xff}, "bytes after the body": append(good, 0),
		"oversized": make([]byte, 5000), "bad heartbeat": {structs.ProtocolVersion, byte(kindPing)},
	} {
		t.Run(name, func(t *testing.T) {
			b := newNode(t, "b", func(c *Config) { c.MaxFrameBytes = 4096 })
			conn := dialAuthenticated(t, b, "a")
			sendRaw(t, conn, good)
			b.awaitMessage("a")
			sendRaw(t, conn, frame)
			_ = awaitClosed(t, conn)
			b.awaitEvent(structs.PeerDown{Peer: "a"})
			sendRaw(t, dialAuthenticated(t, b, "c"), good)
			b.awaitMessage("c")
		})
	}
}

func TestPartitionedPeerIsDetectedAndReconnected(t *testing.T) {
	for name, cut := range map[string]func(*tcpProxy, bool){
		"both directions": func(r *tcpProxy, on bool) { r.dropForward.Store(on); r.dropBackward.Store(on) },
		"forward":         func(r *tcpProxy, on bool) { r.dropForward.Store(on) },
		"backward":        func(r *tcpProxy, on bool) { r.dropBackward.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newNode(t, "a", shortTimeouts), newNode(t, "b", shortTimeouts)
			r := newTCPProxy(t, b.address)
			a.peers.Store(structs.InstanceID("b"), r.address())
			a.Watch([]structs.InstanceID{"b"})
			a.awaitEvent(structs.PeerUp{Peer: "b"})
			cut(r, true)
			a.awaitEvent(structs.PeerDown{Peer: "b"})
			cut(r, false)
			a.awaitEvent(structs.PeerUp{Peer: "b"})
		})
	}
}

func TestOneWayPartitionIsDetectedWhileMessagesArrive(t *testing.T) {
	a, b := newNode(t, "a", shortTimeouts), newNode(t, "b", shortTimeouts)
	r := newTCPProxy(t, b.address)
	a.peers.Store(structs.InstanceID("b"), r.address())
	a.Watch([]structs.InstanceID{"b"})
	a.awaitEvent(structs.PeerUp{Peer: "b"})
	r.dropForward.Store(true)
	down := make(chan struct{})
	go func() {
		defer close(down)
		a.awaitEvent(structs.PeerDown{Peer: "b"})
	}()
	for i := 0; ; i++ {
		b.Send("a", withdraw(i))
		select {
		case <-down:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func TestFrozenPeerIsDetected(t *testing.T) {
	b := newNode(t, "b", shortTimeouts)
	conn := dialAuthenticated(t, b, "a")
	b.awaitEvent(structs.PeerUp{Peer: "a"})
	// The peer no longer reads, but its connection stays open.
	b.Watch([]structs.InstanceID{"a"})
	b.awaitEvent(structs.PeerDown{Peer: "a"})
	_ = awaitClosed(t, conn)
}

func TestSessionsPerPeerAreBounded(t *testing.T) {
	b := newNode(t, "b")
	for range maxSessionsPerPeer {
		dialAuthenticated(t, b, "a")
		b.awaitEvent(structs.PeerUp{Peer: "a"})
	}
	_ = awaitClosed(t, dialAuthenticated(t, b, "a"))
	if n := b.Stats().Sessions; n != maxSessionsPerPeer {
		t.Fatalf("got %d sessions", n)
	}
}

func TestPendingHandshakesAreBounded(t *testing.T) {
	b := newNode(t, "b", func(c *Config) { c.MaxHandshakes, c.PeerTimeout = 1, testTimeout })
	first := dialRaw(t, b)
	b.awaitHandshakes(1)
	dialRaw(t, b)
	_ = awaitClosed(t, first)
	b.awaitCount("handshakes_refused")
	b.awaitHandshakes(1)
}

func TestUnresponsivePeer(t *testing.T) {
	a := newNode(t, "a", shortTimeouts)
	a.peers.Store(structs.InstanceID("b"), unresponsiveListener(t))
	a.Probe("b")
	a.awaitEvent(structs.PeerDown{Peer: "b"})
	a.Probe("nobody")
	a.awaitEvent(structs.PeerDown{Peer: "nobody"})
	a.Send("nobody", withdraw(0))
	a.awaitEvent(structs.PeerDown{Peer: "nobody"})
}

// DialTimeout applies to dials even if PeerTimeout is longer.
func TestDialTimeout(t *testing.T) {
	a := newNode(t, "a", func(c *Config) {
		c.PeerTimeout = time.Hour
		c.DialTimeout = 50 * time.Millisecond
	})
	a.peers.Store(structs.InstanceID("b"), unresponsiveListener(t))
	a.Send("b", withdraw(0))
	a.awaitEvent(structs.PeerDown{Peer: "b"})
}

func TestProbeOverOpenConnection(t *testing.T) {
	a, b := newNode(t, "a", shortTimeouts), newNode(t, "b", shortTimeouts)
	r := newTCPProxy(t, b.address)
	a.peers.Store(structs.InstanceID("b"), r.address())
	for range 3 {
		a.Probe("b")
		a.awaitEvent(structs.PeerUp{Peer: "b"})
	}
	r.dropBackward.Store(true)
	a.Probe("b")
	a.awaitEvent(structs.PeerDown{Peer: "b"})
}

func TestFullQueueBreaksConnection(t *testing.T) {
	a := newNode(t, "a", func(c *Config) { c.MaxQueuedFrames = 8 })
	a.peers.Store(structs.InstanceID("b"), unresponsiveListener(t))
	for i := range 9 {
		a.Send("b", withdraw(i))
	}
	a.awaitEvent(structs.PeerDown{Peer: "b"})
	if a.count("frames_lost") != 9 {
		t.Fatalf("got frames_lost %d, wanted 9", a.count("frames_lost"))
	}
}

func TestOversizedMessageReportsPeerDown(t *testing.T) {
	a := newNode(t, "a", func(c *Config) { c.MaxFrameBytes = 1024 })
	a.Send("b", &structs.Submit{Call: &structs.Call{Body: make([]byte, 2048)}})
	a.awaitEvent(structs.PeerDown{Peer: "b"})
}

func TestSlowReaderIsDisconnected(t *testing.T) {
	b := newNode(t, "b", func(c *Config) { c.WriteTimeout = 100 * time.Millisecond })
	conn := dialAuthenticated(t, b, "a")
	sendRaw(t, conn, mustEncode(t, withdraw(0)))
	b.awaitMessage("a")
	for range 16 {
		b.Send("a", &structs.Submit{Call: &structs.Call{Body: make([]byte, 1<<20)}})
	}
	b.awaitEvent(structs.PeerDown{Peer: "a"})
}

func TestRestartedPeerReplacesItsConnection(t *testing.T) {
	b := newNode(t, "b")
	first := dialAuthenticated(t, b, "a")
	b.awaitEvent(structs.PeerUp{Peer: "a"})
	second := dialRaw(t, b)
	h := handshaker{id: "a", incarnation: "second", key: testKey}
	if _, err := h.dial(t.Context(), second, "b"); err != nil {
		t.Fatal(err)
	}
	b.awaitEvent(structs.PeerDown{Peer: "a"})
	b.awaitEvent(structs.PeerUp{Peer: "a"})
	_ = awaitClosed(t, first)
	b.Send("a", withdraw(7))
	if kind, _, err := second.Read(t.Context()); err != nil || kind != websocket.MessageBinary {
		t.Fatal(kind, err)
	}
}

func TestFullEventQueueAppliesBackpressure(t *testing.T) {
	// On a busy machine the delay of frames exceeds a short liveness timeout.
	longTimeout := func(c *Config) { c.PeerTimeout, c.HeartbeatInterval = testTimeout, 50*time.Millisecond }
	a, b := newNode(t, "a", longTimeout), newNode(t, "b", longTimeout)
	a.peers.Store(structs.InstanceID("b"), b.address)
	messages := 2 * cap(b.events)
	for i := range messages {
		a.Send("b", withdraw(i))
	}
	for i := range messages {
		if got := b.awaitMessage("a").(*structs.Withdraw); *got != *withdraw(i) {
			t.Fatalf("got %v, wanted message %d", got, i)
		}
	}
}

func mustEncode(t *testing.T, msg structs.Message) []byte {
	t.Helper()
	frame, err := EncodeFrame(msg)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestCloseSendsQueuedMessages(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.peers.Store(structs.InstanceID("b"), b.address)
	a.Probe("b")
	a.awaitEvent(structs.PeerUp{Peer: "b"})
	const messages = 2000
	for i := range messages {
		a.Send("b", withdraw(i))
	}
	a.Close()
	for i := range messages {
		if got := b.awaitMessage("a").(*structs.Withdraw); *got != *withdraw(i) {
			t.Fatalf("got %v, wanted message %d", got, i)
		}
	}
	b.awaitEvent(structs.PeerDown{Peer: "a"})
}

func TestCloseIsBoundedWithFrozenPeer(t *testing.T) {
	b := newNode(t, "b", func(c *Config) { c.CloseTimeout = 50 * time.Millisecond })
	conn := dialAuthenticated(t, b, "a")
	b.awaitEvent(structs.PeerUp{Peer: "a"})
	for range 16 {
		b.Send("a", &structs.Submit{Call: &structs.Call{Body: make([]byte, 1<<20)}})
	}
	b.Close()
	_ = awaitClosed(t, conn)
}

func TestCloseByEndsBeforeTheCloseTimeout(t *testing.T) {
	b := newNode(t, "b", func(c *Config) { c.CloseTimeout = time.Hour })
	conn := dialAuthenticated(t, b, "a")
	b.awaitEvent(structs.PeerUp{Peer: "a"})
	for range 16 {
		b.Send("a", &structs.Submit{Call: &structs.Call{Body: make([]byte, 1<<20)}})
	}
	b.CloseBy(time.Now())
	_ = awaitClosed(t, conn)
}

func TestOwnPauseIsNotHeartbeatTimeout(t *testing.T) {
	b := newNode(t, "b", func(c *Config) { c.PeerTimeout, c.HeartbeatInterval = time.Minute, time.Hour })
	dialAuthenticated(t, b, "a")
	b.awaitEvent(structs.PeerUp{Peer: "a"})
	b.Watch([]structs.InstanceID{"a"})
	resumed := time.Now().Add(time.Hour)
	b.checkHeartbeats(resumed, true)
	if b.Stats().Sessions != 1 {
		t.Fatal("the connection was closed after a pause of this process")
	}
	b.checkHeartbeats(resumed.Add(2*time.Minute), false)
	b.awaitEvent(structs.PeerDown{Peer: "a"})
}
