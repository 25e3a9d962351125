package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Reply is what a caller got for a request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if the channel broke or the answer is incomplete.
	Err error
}

// Signed reports whether the answer carries a target's signature.
func (r Reply) Signed() bool { return r.Header.Get(HeaderSigned) != "" }

func (r Reply) String() string {
	if r.Status == 0 {
		return fmt.Sprintf("no answer: %v", r.Err)
	}
	text := fmt.Sprintf("status %d, signature %q, body of %d bytes", r.Status, r.Header.Get(HeaderSigned), len(r.Body))
	if r.Err != nil {
		text += fmt.Sprintf(", not complete: %v", r.Err)
	}
	return text
}

// Call is a request of a caller.
type Call struct {
	Method, Host, Path string
	ID                 string
	Body               []byte
	Header             map[string]string
	// Wait is how long the caller waits, its time limit.
	Wait time.Duration
}

// Do sends a request on a new channel and reads the answer.
func (r *Rig) Do(address string, c Call) Reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Reply{Err: err}
	}
	defer conn.Close()
	return r.DoOn(conn, c)
}

// DoOn sends a request on an open channel and reads the answer.
func (r *Rig) DoOn(conn net.Conn, c Call) Reply {
	_ = conn.SetDeadline(time.Now().Add(c.Wait))
	if _, err := conn.Write(c.encode()); err != nil {
		return Reply{Err: err}
	}
	r.Logf("caller: has sent %s %s %s to %s", c.Method, c.Path, c.ID, conn.RemoteAddr())
	reply := readReply(conn, c.Method)
	r.Logf("caller: gets for %s: %s", c.ID, reply)
	return reply
}

func (c Call) encode() []byte {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.Method, c.Path, c.Host, HeaderID, c.ID, HeaderDeadline, c.Wait.Milliseconds())
	for name, value := range c.Header {
		head += name + ": " + value + "\r\n"
	}
	if c.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.Body))
	}
	return append([]byte(head+"\r\n"), c.Body...)
}

func readReply(conn net.Conn, method string) Reply {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}
