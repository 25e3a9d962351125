package exchange

import (
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

// concurrentBodyBytes is the body size above which the body is written concurrently
// with reading the response, because a target may respond before it has read a long
// body.
const concurrentBodyBytes = 16 << 10

// maxInformational bounds the responses read for one request, 1xx ones and ones to
// other requests included.
const maxInformational = 5

// expiredDeadline is a deadline that ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// Errors returned by Pool.Do. They indicate how far a send got.
var (
	// ErrNotSent indicates that the connection could not be opened, so no part of the
	// request reached the target.
	ErrNotSent = errors.New("no connection to the target")
	// ErrConnBroken indicates that the connection broke, or received something other
	// than a response, after the request may have been sent.
	ErrConnBroken = errors.New("the connection to the target broke")
	// ErrNoResponse is set in addition to ErrConnBroken if the connection ended before
	// a complete response header.
	ErrNoResponse = errors.New("the connection ended without an answer")
	// ErrReusedConn is set in addition to ErrConnBroken if the connection had carried a
	// request before: the target may have closed it while idle.
	ErrReusedConn = errors.New("the connection was reused")
)

// Request is a request to a target.
type Request struct {
	Address string
	Method  string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is a target's response. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only if the response is complete.
	Body io.Reader
	// Length is the length of the body, -1 if unknown.
	Length int64

	pool    *Pool
	conn    *conn
	raw     *http.Response
	written *bodyWrite
	stop    func() bool
	once    sync.Once
	// complete is set once the body was read to its end.
	complete bool
}

// bodyWrite is a body that is written concurrently with reading the response.
type bodyWrite struct {
	done chan struct{}
	err  error
}

// complete reports whether the whole body was written.
func (b *bodyWrite) complete() bool {
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

// Do sends a request and reads the response header. When the context ends, the
// connection is closed, which cancels the work at the target. Errors are marked with
// ErrNotSent or ErrConnBroken, and with the context's cause if it has ended.
//
// The function accept inspects the header of each response. A response that it rejects
// belongs to an earlier request and is skipped.
func (p *Pool) Do(ctx context.Context, req Request, accept func(status int, header http.Header) bool) (*Response, error) {
	if ctx.Err() != nil {
		// An idle connection would take the request before the context's end closes it.
		return nil, errors.Mark(errors.Wrap(context.Cause(ctx), "connect"), ErrNotSent)
	}
	c, err := p.get(ctx, req.Address, time.Now())
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(expiredDeadline) })
	resp, err := p.exchange(c, req, accept)
	if err != nil {
		stop()
		p.drop(c)
		if ctx.Err() != nil {
			return nil, errors.Mark(errors.Mark(err, context.Cause(ctx)), ErrConnBroken)
		}
		return nil, p.markBroken(c, err)
	}
	resp.stop = stop
	return resp, nil
}

// drop closes a connection in use.
func (p *Pool) drop(c *conn) {
	_ = c.Close() // the result does not matter
	p.release(c.address)
}

// markBroken marks the error of a broken connection. If the connection was reused, the
// address's idle connections may be broken as well and are closed.
func (p *Pool) markBroken(c *conn, err error) error {
	err = errors.Mark(err, ErrConnBroken)
	if isConnEnd(err) {
		err = errors.Mark(err, ErrNoResponse)
	}
	if c.reused {
		p.CloseIdle(c.address)
		err = errors.Mark(err, ErrReusedConn)
	}
	return err
}

// isConnEnd reports whether an error means that the peer closed the connection.
func isConnEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (p *Pool) exchange(c *conn, req Request, accept func(int, http.Header) bool) (*Response, error) {
	head := encodeHead(req)
	var written *bodyWrite
	if len(req.Body) <= concurrentBodyBytes {
		if _, err := c.Write(append(head, req.Body...)); err != nil {
			return nil, errors.Wrap(err, "send")
		}
	} else {
		written = startWrite(c, head, req.Body)
	}
	raw, skipped, err := readHead(c, req.Method, accept)
	if err != nil {
		return nil, err
	}
	c.unlimit()
	resp := &Response{
		Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength,
		pool: p, conn: c, raw: raw, written: written,
	}
	resp.Body = &completionReader{resp: resp}
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

// readHead reads response headers until one is final and accepted. It reports whether
// it skipped any response before. The connection stays limited.
func readHead(c *conn, method string, accept func(int, http.Header) bool) (*http.Response, bool, error) {
	skipped := false
	for range maxInformational {
		c.limit(maxHeadBytes)
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: method})
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
		c.limit(maxSkippedBytes)
		if err := discard(raw.Body, maxSkippedBytes); err != nil {
			return nil, skipped, errors.Wrap(err, "skip the response to another request")
		}
		if raw.Close {
			break
		}
	}
	return nil, skipped, errors.New("the response belongs to another request")
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

// completionReader records that the body was read to its end.
type completionReader struct{ resp *Response }

func (c *completionReader) Read(p []byte) (int, error) {
	n, err := c.resp.raw.Body.Read(p)
	if err == io.EOF {
		c.resp.complete = true
	}
	return n, err
}

// Close returns the connection to the pool if the response was read to its end and the
// connection can be kept alive. Otherwise it closes the connection, which cancels the
// work at the target.
func (r *Response) Close(keepAlive time.Duration) {
	r.once.Do(func() { r.release(keepAlive) })
}

func (r *Response) release(keepAlive time.Duration) {
	cancelled := !r.stop()
	reusable := r.complete && !r.raw.Close && !cancelled && r.written.complete() && r.conn.reader.Buffered() == 0
	if !reusable {
		r.pool.drop(r.conn)
		return
	}
	r.pool.put(r.conn, keepAlive, time.Now())
}
