package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// concurrentBody is the size of a body, in bytes, above which it is written
// while the answer is read: a target may answer before it has read a long one.
const concurrentBody = 16 << 10

// maxInformational bounds the 1xx answers before the final one.
const maxInformational = 5

// aLongTimeAgo is a deadline that ends reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// Errors of a send, by how far it got.
var (
	// ErrNotSent tells that no byte of the request can have reached the
	// target: the connection could not be opened.
	ErrNotSent = errors.New("no connection to the target")
	// ErrBroken tells that the connection broke, or carried something that is
	// no answer, after the request may have been sent.
	ErrBroken = errors.New("the connection to the target broke")
	// ErrNoResponse tells, beside ErrBroken, that the connection ended before
	// the head of an answer was there.
	ErrNoResponse = errors.New("the connection ended without an answer")
	// ErrReusedConn tells, beside ErrBroken, that the connection had carried a
	// request before: the target may have dropped it while it was idle.
	ErrReusedConn = errors.New("the connection was used before")
)

// Request is a request to a target.
type Request struct {
	Address string
	Method  string
	// URI is the path with the query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is a target's answer. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF if the answer is whole.
	Body io.Reader
	// Length is the length of the body, -1 if it is not known ahead.
	Length int64

	pool    *Pool
	conn    *conn
	raw     *http.Response
	written *bodyWrite
	stop    func() bool
	once    sync.Once
	// whole is set when the body was read to its end.
	whole bool
}

// bodyWrite is a body that is written while the answer is read.
type bodyWrite struct {
	done chan struct{}
	err  error
}

// finished tells whether the whole body was written.
func (b *bodyWrite) finished() bool {
	if b == nil {
		return true
	}
	select {
	case <-b.done:
		return b.err == nil
	default:
		return false
	}
}

// Do sends a request and reads the head of the answer. When the context ends,
// the connection is closed, which ends the work at the target. Errors are
// ErrNotSent or ErrBroken, or that of the context.
//
// The function accept looks at the head of each answer; an answer that it does
// not accept belongs to an earlier request and is skipped.
func (p *Pool) Do(ctx context.Context, req Request, accept func(status int, header http.Header) bool) (*Response, error) {
	c, err := p.get(ctx, req.Address, time.Now())
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(aLongTimeAgo) })
	resp, err := p.exchange(c, req, accept)
	if err != nil {
		stop()
		p.drop(c)
		if ctx.Err() != nil {
			return nil, errors.Mark(errors.Mark(err, context.Cause(ctx)), ErrBroken)
		}
		return nil, p.broken(c, err)
	}
	resp.stop = stop
	return resp, nil
}

// drop closes a connection with what is left on it.
func (p *Pool) drop(c *conn) {
	_ = c.Close() // it is given up
	p.ended(c.address)
}

// broken marks the error of a connection that broke. If it had been idle, the
// others to its target may have been dropped as well and are given up.
func (p *Pool) broken(c *conn, err error) error {
	err = errors.Mark(err, ErrBroken)
	if ended(err) {
		err = errors.Mark(err, ErrNoResponse)
	}
	if c.reused {
		p.CloseIdle(c.address)
		err = errors.Mark(err, ErrReusedConn)
	}
	return err
}

// ended tells whether an error is the end of a connection.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (p *Pool) exchange(c *conn, req Request, accept func(int, http.Header) bool) (*Response, error) {
	head := encodeHead(req)
	var written *bodyWrite
	if len(req.Body) <= concurrentBody {
		if _, err := c.Write(append(head, req.Body...)); err != nil {
			return nil, errors.Wrap(err, "send")
		}
	} else {
		written = startWrite(c, head, req.Body)
	}
	raw, skipped, err := readHead(c.reader, req.Method, accept)
	if err != nil {
		return nil, err
	}
	resp := &Response{
		Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength,
		pool: p, conn: c, raw: raw, written: written,
	}
	resp.Body = &wholeReader{resp: resp}
	if skipped {
		raw.Close = true
	}
	return resp, nil
}

func startWrite(c *conn, head, body []byte) *bodyWrite {
	written := &bodyWrite{done: make(chan struct{})}
	go func() {
		defer close(written.done)
		if _, err := c.Write(head); err != nil {
			written.err = err
			return
		}
		_, written.err = c.Write(body)
	}()
	return written
}

// readHead reads heads until one is final and accepted, and tells whether any
// whole answer was skipped before.
func readHead(reader *bufio.Reader, method string, accept func(int, http.Header) bool) (*http.Response, bool, error) {
	skipped := false
	for range maxInformational {
		raw, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, skipped, errors.Wrap(err, "read the answer")
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		if accept(raw.StatusCode, raw.Header) {
			return raw, skipped, nil
		}
		skipped = true
		if _, err := io.Copy(io.Discard, raw.Body); err != nil {
			return nil, skipped, errors.Wrap(err, "skip another request's answer")
		}
		if raw.Close {
			break
		}
	}
	return nil, skipped, errors.New("the answer belongs to another request")
}

func encodeHead(req Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(req.Body))
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	for name, values := range req.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// wholeReader notes when the body was read to its end.
type wholeReader struct{ resp *Response }

func (w *wholeReader) Read(p []byte) (int, error) {
	n, err := w.resp.raw.Body.Read(p)
	if err == io.EOF {
		w.resp.whole = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end and the
// target keeps it; otherwise it closes the connection, which ends the work at
// the target.
func (r *Response) Close(keepAlive time.Duration) {
	r.once.Do(func() { r.release(keepAlive) })
}

func (r *Response) release(keepAlive time.Duration) {
	cancelled := !r.stop()
	reusable := r.whole && !r.raw.Close && !cancelled && r.written.finished() && r.conn.reader.Buffered() == 0
	if !reusable {
		r.pool.drop(r.conn)
		return
	}
	r.pool.put(r.conn, keepAlive, time.Now())
}
