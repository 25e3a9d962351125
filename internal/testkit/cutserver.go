package testkit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
)

// CutServer is an HTTP server that responds to each request with given bytes and ends the
// connection behind them, or does so to the second request of each connection.
type CutServer struct {
	Address string
	// reset makes connections end with a reset.
	reset bool

	mu    sync.Mutex
	bytes string
	// first is the response to the first request of each connection, empty for none.
	first    string
	requests int
	conns    []net.Conn
}

// StartCutServer starts a CutServer that runs until the test ends.
func StartCutServer(t *testing.T, reset bool) *CutServer {
	t.Helper()
	l, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &CutServer{Address: l.Addr().String(), reset: reset}
	var work sync.WaitGroup
	work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.track(c)
			work.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close() // ends Accept
		s.closeAll()
		work.Wait()
	})
	return s
}

func (s *CutServer) track(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// closeAll closes the connections on which clients send nothing more.
func (s *CutServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close() // most are closed already
	}
}

func (s *CutServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	if first := s.firstResponse(); first != "" && (!s.read(reader) || !write(c, first)) {
		return
	}
	if !s.read(reader) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	write(c, s.bytes)
	if s.reset {
		_ = c.(*net.TCPConn).SetLinger(0) // otherwise the connection ends regularly
	}
}

// read reads a request. It returns false if the client has disconnected.
func (s *CutServer) read(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return true
}

// write returns false if the client has disconnected.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func (s *CutServer) firstResponse() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// Requests returns the number of requests received.
func (s *CutServer) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// KeepConnections makes the server respond to the first request of each connection with a
// whole response, and cut that to the second.
func (s *CutServer) KeepConnections(first string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = first
}

// RespondWith sets the bytes of the next responses.
func (s *CutServer) RespondWith(bytes string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes = bytes
}

// WholeResponse returns a response with a length. Its header begins with the status line and
// fields of head.
func WholeResponse(head, body string) string { return head + framings["length"](body) }

// framings encode a body behind the header fields of a response.
var framings = map[string]func(body string) string{
	"length": func(body string) string {
		return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	},
	"chunked": func(body string) string {
		half := len(body) / 2
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	},
	"without length": func(body string) string { return "\r\n" + body },
}

// CutResponses calls check with a server for each part of a response that lacks its last
// bytes, in each framing, closed and reset. The header begins with the status line and
// fields of head, each line with its end.
func CutResponses(t *testing.T, head, body string, check func(t *testing.T, s *CutServer, part string)) {
	t.Helper()
	for framing, encode := range framings {
		for end, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(framing+"/"+end, func(t *testing.T) {
				s := StartCutServer(t, reset)
				response := head + encode(body)
				for size := range len(response) {
					s.RespondWith(response[:size])
					check(t, s, response[:size])
				}
			})
		}
	}
}
