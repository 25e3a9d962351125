package serve

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// requestBytes is held for each request besides its body, in bytes: its heads,
// the buffers of two connections and the stacks of their goroutines.
const requestBytes = 32 << 10

// retryMemory is when a caller should come back that was refused for lack of
// memory: about the time of a turn.
const retryMemory = 500 * time.Millisecond

// ofProgramUnderWay tells whether a request is known not to begin a program:
// calls of tools, later turns of a kept conversation and resumed streams.
func (x *transfer) ofProgramUnderWay() bool {
	return x.call.LastEvent != "" || x.call.PreviousTurn != "" || (x.call.Program != "" && !x.isTurn())
}

// readBody reads the request's body into memory that is held for it. It returns
// false if the request has been answered.
func (x *transfer) readBody() bool {
	if x.ofProgramUnderWay() {
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
	x.boundBodyTime(x.deadline)
	err := x.held.Reserve(requestBytes)
	if err != nil {
		return x.refuseUnread(err)
	}
	body, err := memlimit.NewBuffer(&x.held, x.request.ContentLength)
	if err != nil {
		return x.refuseUnread(err)
	}
	if err := body.ReadAll(source); err != nil {
		return x.refuseUnread(err)
	}
	x.boundBodyTime(time.Time{})
	if limit > 0 && int64(len(body.Bytes())) > limit {
		x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	}
	x.body = body.Bytes()
	return true
}

// boundBodyTime sets until when the body may arrive: memory is held for it, and
// what is left of a refused one is read until then. The zero time stands for no
// bound.
func (x *transfer) boundBodyTime(until time.Time) {
	if x.request.ContentLength == 0 {
		return
	}
	err := http.NewResponseController(x.writer).SetReadDeadline(until)
	if err != nil {
		x.server.log.Warn("no bound for a body's time", "error", err.Error())
	}
}

// refuseUnread refuses a request whose body, or the conversation before it, could
// not be read or held. It returns false.
func (x *transfer) refuseUnread(err error) bool {
	x.detail = err.Error()
	var short *memlimit.LimitError
	if errors.As(err, &short) {
		x.refuse(http.StatusServiceUnavailable, reasonNoMemory, retryMemory)
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// What is left of the body is not waited for.
		x.writer.Header().Set("Connection", "close")
		x.refuse(http.StatusServiceUnavailable, reasonNotSent, x.comeBack())
		return false
	}
	x.refuse(http.StatusBadRequest, reasonMalformed, 0)
	return false
}
