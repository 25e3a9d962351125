package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// serveRaw serves channels without net/http's server, so that a faulty runner can send
// an answer twice: the second one late, at the point where the next answer is expected.
func (r *runner) serveRaw(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.serveChannel(c)
	}
}

// serveChannel serves one request after the other.
func (r *runner) serveChannel(c net.Conn) {
	defer func() { _ = c.Close() }()
	var extra []byte
	for reader := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return // the channel has ended
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.spoils() {
			extra = nil // the disruption is over
		}
		if extra != nil {
			r.note("extra answer sent before that to %s: %.40q", req.Header.Get("Banyanglade-Request-Id"), extra)
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := r.answer(req, len(body))
		if _, err := c.Write(answer); err != nil {
			return
		}
		if r.spoils() && r.answers.Add(1)%r.spoil == 0 {
			extra = answer
		}
	}
}

// answer runs a request and returns the answer. A refusal has the fields that the example
// of "fleetbench wire" has, "a server sheds", and so no id.
func (r *runner) answer(req *http.Request, body int) []byte {
	id := req.Header.Get("Banyanglade-Request-Id")
	switch expected := req.Header.Get("Banyanglade-Expect-Instance"); {
	case req.URL.Path == "/health":
		return response("200 OK", "", "Banyanglade-Instance-Id", r.id)
	case expected != "" && expected != r.id:
		return response("421 Misdirected Request", "", "Banyanglade-Instance-Id", r.id)
	}
	running := r.running.Add(1)
	defer r.running.Add(-1)
	if running > r.slots+r.queue {
		r.note("request %s is refused, the runner is full", id)
		return response("503 Service Unavailable", "", "Banyanglade-Not-Executed", "1")
	}
	// A request waits for a slot.
	r.slot <- struct{}{}
	defer func() { <-r.slot }()
	r.recordRun(id, req, body)
	time.Sleep(r.work)
	return response("200 OK", fmt.Sprintf("the answer of %s to %s", r.id, id),
		"Banyanglade-Request-Id", id, "Banyanglade-Server-Signature", r.id+"."+id,
		"Banyanglade-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, r.slots), max(running-r.slots, 0), r.slots))
}

// response returns the bytes of a response; the fields are names and values by turns.
func response(status, body string, fields ...string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %s\r\n", status)
	for n := 0; n+1 < len(fields); n += 2 {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", fields[n], fields[n+1])
	}
	_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// note writes what else the runner did to its file of notes.
func (r *runner) note(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.notes, "%d %s\n", time.Now().UnixNano(), fmt.Sprintf(format, arguments...))
}
