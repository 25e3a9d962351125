package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"sync"
	"testing"

	"github.com/coder/websocket"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Guards against decoding part of a message as a message.
func TestPartsOfMessagesAreMalformed(t *testing.T) {
	for kind := range numKinds {
		msg := structs.NewMessage(structs.MessageKind(kind))
		if msg == nil {
			continue
		}
		setNonZero(reflect.ValueOf(msg).Elem())
		frame := mustEncode(t, msg)
		for size := range len(frame) {
			if got, err := DecodeFrame(frame[:size]); err == nil {
				t.Errorf("%d of %d bytes of %T are decoded as %+v", size, len(frame), msg, got)
			}
		}
	}
}

// cutConn is a connection that is closed once some bytes were written to it.
type cutConn struct {
	net.Conn
	mu sync.Mutex
	// left is the number of bytes to write before the close, negative for no limit.
	left int
}

func (c *cutConn) cutAfter(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = bytes
}

func (c *cutConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left < 0 || len(p) <= c.left {
		c.left -= min(max(c.left, 0), len(p))
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:c.left])
	_ = c.Close() // the subject is what the other side makes of it
	if err == nil {
		err = net.ErrClosed
	}
	return n, err
}

// dialCut opens an authenticated connection that can be cut.
func dialCut(t *testing.T, n *node, id structs.InstanceID) (*websocket.Conn, *cutConn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var raw *cutConn
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		raw = &cutConn{Conn: c, left: -1}
		return raw, err
	}}}
	conn, _, err := websocket.Dial(ctx, "ws://"+n.address+Route, &websocket.DialOptions{HTTPClient: client, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	h := handshaker{id: id, incarnation: string(id), key: testKey}
	if _, err := h.dial(ctx, conn, n.cfg.Self.ID); err != nil {
		t.Fatal(err)
	}
	return conn, raw
}

// Guards against delivering a message whose connection ended within it.
func TestMessagesCutAtAnyByteAreNotDelivered(t *testing.T) {
	const frameOverhead = 6 // the header and the mask of a short WebSocket frame
	n := newNode(t, "a")
	msg := &structs.SubmitAccepted{}
	setNonZero(reflect.ValueOf(msg).Elem())
	frame := mustEncode(t, msg)
	for size := range len(frame) + frameOverhead {
		conn, raw := dialCut(t, n, structs.InstanceID(fmt.Sprint("b", size)))
		raw.cutAfter(size)
		if err := conn.Write(t.Context(), websocket.MessageBinary, frame); err == nil {
			t.Fatalf("%d of %d bytes were written as a whole", size, len(frame)+frameOverhead)
		}
	}
	conn, _ := dialCut(t, n, "c")
	sendRaw(t, conn, frame)
	for {
		message, ok := n.await(func(event structs.Event) bool {
			_, ok := event.(structs.PeerMessage)
			return ok
		}).(structs.PeerMessage)
		if ok && message.From == "c" {
			return
		}
		t.Errorf("part of a message was delivered: %+v", message)
	}
}
