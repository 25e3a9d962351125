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
// connection behind them.
type CutServer struct {
	Address string
	// reset makes connections end with a reset.
	reset bool

	mu    sync.Mutex
	bytes string
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
			work.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close() // ends Accept
		work.Wait()
	})
	return s
}

func (s *CutServer) serve(c net.Conn) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // the client has disconnected
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(c, s.bytes) // the client may have disconnected
	if s.reset {
		_ = c.(*net.TCPConn).SetLinger(0) // otherwise the connection ends regularly
	}
}

// RespondWith sets the bytes of the next responses.
func (s *CutServer) RespondWith(bytes string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes = bytes
}

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
