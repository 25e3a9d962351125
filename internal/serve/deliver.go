package serve

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/memlimit"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
)

const eventStream = "text/event-stream"

// maxBufferedBytes bounds a plain response that is buffered until it is complete; a
// longer one is passed on as it arrives.
const maxBufferedBytes = 1 << 20

// deliver passes a target's response on and reports whether another send may follow.
func (x *transfer) deliver(target *targets.Target, resp *exchange.Response, meta call.Response) bool {
	x.markRan(target)
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !meta.Signed {
		x.detail = "a successful response without the target's signature"
		return x.handleBrokenResponse(target, resp)
	}
	if x.route.Kind == route.Stream && success && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream) {
		return x.deliverStream(target, resp)
	}
	if x.headSent {
		// A plain response cannot continue a stream.
		x.detail = "status " + strconv.Itoa(resp.Status) + " to a resumed stream"
		return x.handleBrokenResponse(target, resp)
	}
	return x.deliverWhole(target, resp)
}

// handleBrokenResponse handles a response that cannot be passed on completely. It
// reports whether another send may follow.
func (x *transfer) handleBrokenResponse(target *targets.Target, resp *exchange.Response) bool {
	// The run may still end the target until it is cancelled.
	resp.Close(0)
	x.recordLostRun(target, x.sendCtx.Err() == nil)
	if x.ctx.Err() != nil {
		x.giveUpOnContext()
		return false
	}
	x.failedTarget = target.Incarnation()
	x.server.targets.RecordFailure(target, time.Now())
	return x.retryOrGiveUp()
}

// isTurnFailure reports whether a response is an engine's failure of a turn. An engine
// that fails one turn is likely to fail more while its health checks pass. A 504 only
// reflects the time left.
func (x *transfer) isTurnFailure(resp *exchange.Response) bool {
	return x.route.Kind == route.Stream && resp.Status >= http.StatusInternalServerError &&
		resp.Status != http.StatusGatewayTimeout
}

// recordTurnFailure makes this instance and the others avoid an engine that failed a
// turn.
func (x *transfer) recordTurnFailure(target *targets.Target) {
	now := time.Now()
	x.failedTarget = target.Incarnation()
	x.server.targets.RecordFailure(target, now)
	if x.server.targets.RecordSharedFailure(target, now) {
		x.server.log.Info("target failed a turn", "target", target.ID, "request", x.call.ID)
		x.server.failureReporter.ReportTargetFailures()
	}
}

// deliverWhole passes a plain response on once it is complete, so that a broken one can
// be retried or reported.
func (x *transfer) deliverWhole(target *targets.Target, resp *exchange.Response) bool {
	body, longer, err := x.readResponse(resp)
	// The rest of a longer response takes as long as the caller reads.
	x.stopSendTimer()
	if err != nil {
		x.detail = err.Error()
		x.excludeIfTimedOut(target, err)
		x.recordEarlyRetry(target, err, x.sentAt)
		return x.handleBrokenResponse(target, resp)
	}
	x.reason = reasonServed
	if resp.Status >= http.StatusInternalServerError {
		x.reason = reasonTargetFailed
	}
	if x.isTurnFailure(resp) {
		x.recordTurnFailure(target)
	} else {
		x.recordResponse(target, resp.Status)
	}
	if !longer {
		x.finishWork()
	}
	x.copyHead(resp, longer, len(body))
	if _, err := x.writer.Write(body); err != nil {
		x.callerLeft(err)
		return false
	}
	if longer {
		x.copyRest(resp)
	}
	return false
}

// readResponse buffers up to maxBufferedBytes of a plain response, less while memory is
// short. longer reports whether there is more of it.
func (x *transfer) readResponse(resp *exchange.Response) (body []byte, longer bool, err error) {
	// Buffering is optional, so it must not use the memory reserved for requests that
	// continue a program.
	x.held.SetInProgress(false)
	expected := resp.Length
	if expected > maxBufferedBytes {
		expected = 0
	}
	var short *memlimit.LimitError
	buffer, err := memlimit.NewBuffer(&x.held, expected)
	if err == nil {
		err = buffer.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	}
	if errors.As(err, &short) {
		return buffer.Bytes(), true, nil
	}
	return buffer.Bytes(), len(buffer.Bytes()) == maxBufferedBytes, err
}

// copyRest passes on the rest of a long plain response.
func (x *transfer) copyRest(resp *exchange.Response) {
	if _, err := io.Copy(x.writer, resp.Body); err != nil {
		x.detail, x.reason, x.abort = err.Error(), reasonTruncated, true
		return
	}
	x.finishWork()
}

// copyHead passes on the status and header of a response.
func (x *transfer) copyHead(resp *exchange.Response, unknownLength bool, length int) {
	header := x.writer.Header()
	connection := header.Get("Connection")
	for name, values := range resp.Header {
		if !perConnection(name) {
			header[name] = values
		}
	}
	if connection != "" {
		header.Set("Connection", connection)
	}
	switch {
	case x.request.Method == http.MethodHead && resp.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	case !unknownLength && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(length))
	}
	if unknownLength && !x.request.ProtoAtLeast(1, 1) {
		x.endWithConn()
	}
	x.status = resp.Status
	x.headSent = true
	x.writer.WriteHeader(resp.Status)
}

// endWithConn prepares a response that the end of its connection delimits: until it is
// complete, the connection ends with a reset.
func (x *transfer) endWithConn() {
	x.endsWithConn = true
	if err := setLinger(x.request, lingerReset); err != nil {
		x.server.log.Warn("an incomplete response would end regularly", "request", x.call.ID, "error", err.Error())
	}
}

// completeConn makes the connection of a complete response end regularly.
func (x *transfer) completeConn() {
	if x.flush() != nil {
		return // the caller has left
	}
	if err := setLinger(x.request, lingerDefault); err != nil {
		x.server.log.Warn("a complete response ends with a reset", "request", x.call.ID, "error", err.Error())
	}
}

// perConnection reports whether a response header applies to one connection only.
func perConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Proxy-Connection", "Te":
		return true
	}
	return false
}

// deliverStream passes on complete events as they arrive. It reports whether another
// send may follow.
func (x *transfer) deliverStream(target *targets.Target, resp *exchange.Response) bool {
	events := newEventReader(resp.Body, &x.held)
	timing := x.newStreamTiming(target)
	x.recordResumption(target)
	for {
		event, err := events.next()
		if err == nil && !x.isNextEvent(event) {
			err = errors.Newf("event %s follows event %s out of order", event.id, x.lastEvent)
		}
		if err == nil {
			err = x.recordEvent(event)
		}
		switch {
		case err == io.EOF:
			timing.end()
			return x.endStream(target, resp)
		case err != nil:
			x.detail = err.Error()
			if x.flush() != nil {
				return false
			}
			return x.handleBrokenResponse(target, resp)
		}
		if !x.headSent {
			x.recordBegin(target)
			x.copyHead(resp, true, 0)
		}
		x.delivered++
		x.heardAt = time.Now()
		x.recordPosition(event)
		timing.event(x.heardAt, events.buffered())
		if _, err := x.writer.Write(event.bytes); err != nil {
			x.callerLeft(err)
			return false
		}
		if !events.buffered() && x.flush() != nil {
			return false
		}
	}
}

// flush sends buffered data to the caller. An error ends the request.
func (x *transfer) flush() error {
	if !x.headSent {
		return nil
	}
	err := http.NewResponseController(x.writer).Flush()
	if err != nil {
		x.callerLeft(err)
	}
	return err
}

// callerLeft ends a request whose caller reads no more of the response.
func (x *transfer) callerLeft(err error) {
	x.detail, x.reason, x.abort = err.Error(), reasonCallerLeft, true
	var stalled *stalledError
	if errors.As(err, &stalled) {
		x.reason = reasonStalled
	}
}

// endStream ends a stream that the target completed.
func (x *transfer) endStream(target *targets.Target, resp *exchange.Response) bool {
	x.server.targets.RecordSuccess(target, time.Now())
	x.failedTarget = ""
	x.finishWork()
	if !x.headSent {
		x.copyHead(resp, true, 0)
	}
	if x.storeTurn() {
		x.reason = reasonServed
	}
	return false
}

// recordPosition records the event that the caller received last. An event without an id
// keeps the last id.
func (x *transfer) recordPosition(event event) {
	if event.id != "" {
		x.lastEvent, x.beyondLastEvent = event.id, false
	} else if event.hasData() {
		x.beyondLastEvent = true
	}
}

// isNextEvent reports whether an event follows the last one sent to the caller. Streams
// without numeric event ids are not checked.
func (x *transfer) isNextEvent(event event) bool {
	if event.id == "" || x.lastEvent == "" {
		return true
	}
	last, err := strconv.ParseInt(x.lastEvent, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseInt(event.id, 10, 64)
	return err == nil && number == last+1
}

var errTruncatedEvent = errors.New("the stream ended inside an event")
