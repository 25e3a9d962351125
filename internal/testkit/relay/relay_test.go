package relay

import (
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer starts an echo server and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// newConnectedRelay returns a relay to an echo server and an established
// connection through it.
func newConnectedRelay(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	r, err := New(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	exchange(t, conn, "a")
	return r, conn
}

func TestRelayHoldsOneDirection(t *testing.T) {
	r, conn := newConnectedRelay(t)
	r.Block(false, true)
	if _, err := conn.Write([]byte("b")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("a byte passed the blocked direction")
	}
	r.Block(false, false)
	_ = conn.SetReadDeadline(time.Time{})
	readByte(t, conn, "b")
	exchange(t, conn, "c")
}

func exchange(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	readByte(t, conn, text)
}

func readByte(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	got := make([]byte, 1)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}
}

func TestRelayResetsConnections(t *testing.T) {
	r, conn := newConnectedRelay(t)
	r.Reset()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection was not reset")
	}
}
