package serve

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// requestOverheadBytes is the memory held for each request besides its body: headers,
// the buffers of two connections and goroutine stacks.
const requestOverheadBytes = 32 << 10

// retryMemory is the RetryAfter delay of a request refused for lack of memory, about
// the time of a turn.
const retryMemory = 500 * time.Millisecond

// continuesProgram reports whether a request is known not to begin a program: a tool
// call, a later turn of a stored conversation or a resumed stream.
func (x *transfer) continuesProgram() bool {
	return x.call.LastEvent != "" || x.call.PreviousTurn != "" || (x.call.Program != "" && !x.isTurn())
}

// readBody reads the request's body into memory accounted to it. It returns false if
// the request has been refused.
func (x *transfer) readBody() bool {
	if x.continuesProgram() {
		x.held.SetInProgress(true)
	}
	limit := x.table.Limits.MaxBodyBytes
	source := io.Reader(x.request.Body)
	if limit > 0 {
		if x.request.ContentLength > limit {
			x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
			return false
		}
		source = io.LimitReader(source, limit+1)
	}
	x.setBodyDeadline(x.deadline)
	defer context.AfterFunc(x.ctx, func() { x.setBodyDeadline(expiredDeadline) })()
	body, err := x.receiveBody(source)
	if err != nil {
		return x.refuseUnreadable(err)
	}
	x.setBodyDeadline(time.Time{})
	if limit > 0 && int64(len(body)) > limit {
		x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	}
	x.body, x.bodyRead = body, true
	return true
}

// receiveBody reads a body into memory that is reserved for it. If that fails it releases the
// memory.
func (x *transfer) receiveBody(source io.Reader) ([]byte, error) {
	if x.request.ContentLength == 0 {
		return x.readIntoMemory(source, nil)
	}
	arrival := x.server.arrivals.add(&x.held, func() { x.setBodyDeadline(expiredDeadline) })
	body, err := x.readIntoMemory(source, arrival)
	if err != nil {
		x.held.Close()
	}
	if evicted := x.server.arrivals.remove(arrival); evicted && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errBodyTooSlow
	}
	return body, err
}

func (x *transfer) readIntoMemory(source io.Reader, arrival *arrival) ([]byte, error) {
	if err := x.withRoom(arrival, func() error { return x.held.Reserve(requestOverheadBytes) }); err != nil {
		return nil, err
	}
	var body *memlimit.Buffer
	err := x.withRoom(arrival, func() (err error) {
		body, err = memlimit.NewBuffer(&x.held, x.request.ContentLength)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = x.withRoom(arrival, func() error { return body.ReadAll(source) })
	return body.Bytes(), err
}

// expiredDeadline is a deadline that ends reads at once.
var expiredDeadline = time.Unix(1, 0)

// setBodyDeadline bounds the arrival of the body, for which memory is held. It also
// bounds how long net/http drains the body of a refused request. The zero time means no
// bound.
func (x *transfer) setBodyDeadline(until time.Time) {
	if x.request.ContentLength == 0 {
		return
	}
	err := http.NewResponseController(x.writer).SetReadDeadline(until)
	if err != nil {
		x.server.log.Warn("failed to set the read deadline of a body", "error", err.Error())
	}
}

// discardTimeout bounds how long net/http discards the body of a refused request, so that
// the connection can be used again.
const discardTimeout = time.Second

// boundDiscard bounds the arrival of the body of a request that is refused without it.
func (x *transfer) boundDiscard() {
	if !x.bodyRead {
		x.setBodyDeadline(time.Now().Add(discardTimeout))
	}
}

// refuseUnreadable refuses a request whose body or stored conversation could not be
// read or held in memory. It returns false.
func (x *transfer) refuseUnreadable(err error) bool {
	x.detail = err.Error()
	var short *memlimit.LimitError
	if errors.As(err, &short) {
		x.refuse(http.StatusServiceUnavailable, reasonNoMemory, retryMemory)
		return false
	}
	if errors.Is(err, errBodyTooSlow) {
		x.writer.Header().Set("Connection", "close")
		x.refuse(http.StatusServiceUnavailable, reasonNoMemory, retryMemory)
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The rest of the body is not drained.
		x.writer.Header().Set("Connection", "close")
		if x.endOfContext() == reasonStopped {
			x.giveUpOnContext()
			return false
		}
		// net/http has cancelled the request's context with the failed read.
		x.refuse(http.StatusServiceUnavailable, reasonNotSent, x.targetRetryAfter())
		return false
	}
	x.refuse(http.StatusBadRequest, reasonMalformed, 0)
	return false
}
