// Package relay is a TCP proxy for tests that injects network faults: it blocks,
// delays and resets connections. It is unrelated to internal/relay, which
// distributes the topics of the store.
package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to a target address. It is safe for concurrent
// use.
type Relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed chan struct{}
	// blocked marks the directions whose bytes are held back.
	blocked [2]bool
	delay   time.Duration
	conns   map[net.Conn]bool
	closed  bool
}

// Directions of a relay, the indexes of Relay.blocked.
const (
	toTarget = 0
	toClient = 1
)

// New starts a relay to target on a free loopback port.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// Address returns the listen address, IP:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	if !r.register(client, target) {
		return
	}
	defer r.unregister(client, target)
	done := make(chan struct{}, 2)
	go r.forward(target, client, toTarget, done)
	go r.forward(client, target, toClient, done)
	<-done
}

func (r *Relay) register(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
	return !r.closed
}

func (r *Relay) unregister(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// forward forwards one direction. While the direction is blocked, it holds what it
// has read.
func (r *Relay) forward(to io.Writer, from io.Reader, direction int, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.waitUnblocked(direction)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			r.waitUnblocked(direction)
			return
		}
	}
}

// waitUnblocked waits until a direction is not blocked, then for the delay.
func (r *Relay) waitUnblocked(direction int) {
	for {
		r.mu.Lock()
		blocked, changed, delay := r.blocked[direction] && !r.closed, r.changed, r.delay
		r.mu.Unlock()
		if !blocked {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// Block blocks or unblocks each direction. Bytes held back are forwarded once
// the direction is unblocked, as after a network recovers.
func (r *Relay) Block(toTargetBlocked, toClientBlocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = [2]bool{toTargetBlocked, toClientBlocked}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Delay sets the delay before each read is forwarded.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset resets all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = c.Close()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // ends accept
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	close(r.changed)
	r.changed = make(chan struct{})
	for c := range r.conns {
		_ = c.Close()
	}
}
