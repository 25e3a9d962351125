package proofs

import (
	"io"
	"net"
	"sync"
)

// relay passes TCP connections on to an address and can cut or hold either
// direction. It is safe for concurrent use.
type relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed chan struct{}
	// blocked holds the bytes of a direction until it is clear again.
	blocked [2]bool
	conns   map[net.Conn]bool
	closed  bool
}

// Directions of a relay.
const (
	towards = 0
	back    = 1
)

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	if !r.keep(near, far) {
		return
	}
	defer r.forget(near, far)
	ended := make(chan struct{}, 2)
	go r.pass(far, near, towards, ended)
	go r.pass(near, far, back, ended)
	<-ended
}

func (r *relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
	return !r.closed
}

func (r *relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// pass copies one direction; a blocked one holds what it has read.
func (r *relay) pass(to io.Writer, from io.Reader, direction int, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.waitClear(direction)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			r.waitClear(direction)
			return
		}
	}
}

// waitClear returns once a direction is not blocked.
func (r *relay) waitClear(direction int) {
	for {
		r.mu.Lock()
		blocked, changed := r.blocked[direction] && !r.closed, r.changed
		r.mu.Unlock()
		if !blocked {
			return
		}
		<-changed
	}
}

// block holds or clears the directions. Bytes that were held go on late, as
// those of a network that comes back.
func (r *relay) block(blockTowards, blockBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = [2]bool{blockTowards, blockBack}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	close(r.changed)
	r.changed = make(chan struct{})
	for c := range r.conns {
		_ = c.Close()
	}
}
