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

// maxBuffered is the size of the longest plain answer, in bytes, that is held
// until it is whole; a longer one is passed on as it arrives.
const maxBuffered = 1 << 20

// deliver passes a target's answer on and tells whether another send may
// follow.
func (x *transfer) deliver(target *targets.Target, resp *exchange.Response, answer call.Response) bool {
	x.markRan(target)
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !answer.Signed {
		x.detail = "a success without a target's signature"
		return x.brokeOff(target)
	}
	if x.route.Kind == route.Stream && success && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream) {
		return x.deliverStream(target, resp)
	}
	if x.headSent {
		// A stream that was to go on got a plain answer instead.
		x.detail = "status " + strconv.Itoa(resp.Status) + " to a resumed stream"
		return x.brokeOff(target)
	}
	return x.deliverWhole(target, resp)
}

// brokeOff handles an answer that cannot be passed on whole.
func (x *transfer) brokeOff(target *targets.Target) bool {
	if x.ctx.Err() != nil {
		x.giveUpInTime()
		return false
	}
	x.failedAt = target.Incarnation()
	x.server.targets.RecordFailure(target, time.Now())
	return x.mayRepeat()
}

// failsTurn tells whether an answer is an engine's failure of a turn, which
// others seldom give: an engine that fails one is likely to fail more, while its
// health checks are good. A 504 tells of the time left alone.
func (x *transfer) failsTurn(resp *exchange.Response) bool {
	return x.route.Kind == route.Stream && resp.Status >= http.StatusInternalServerError &&
		resp.Status != http.StatusGatewayTimeout
}

// noteFailedTurn keeps turns away from an engine that failed one, here and, for
// a second, at other instances.
func (x *transfer) noteFailedTurn(target *targets.Target) {
	now := time.Now()
	x.failedAt = target.Incarnation()
	x.server.targets.RecordFailure(target, now)
	if x.server.targets.RecordBreak(target, now) {
		x.server.log.Info("target failed a turn", "target", target.ID, "request", x.call.ID)
		x.server.notices.ReportTargetBreaks()
	}
}

// deliverWhole passes a plain answer on once it is whole, so that a broken one
// can be repeated or reported as such.
func (x *transfer) deliverWhole(target *targets.Target, resp *exchange.Response) bool {
	body, longer, err := x.readAnswer(resp)
	// What is passed on as it comes takes as long as the caller reads.
	x.stopPatience()
	if err != nil {
		x.detail = err.Error()
		x.passOverSilent(target, err)
		x.gaveUpStraggler(target, err, x.sentAt)
		return x.brokeOff(target)
	}
	x.reason = reasonServed
	if resp.Status >= http.StatusInternalServerError {
		x.reason = reasonTargetFailed
	}
	if x.failsTurn(resp) {
		x.noteFailedTurn(target)
	} else {
		x.noteAnswer(target, resp.Status)
	}
	x.copyHead(resp, longer, len(body))
	if _, err := x.writer.Write(body); err != nil {
		x.callerGone(err)
		return false
	}
	if longer {
		x.copyRest(resp)
	}
	return false
}

// readAnswer reads a plain answer as far as it is held: up to maxBuffered, or
// less while memory is short. The answer is longer if it was not read to its end.
func (x *transfer) readAnswer(resp *exchange.Response) (body []byte, longer bool, err error) {
	// An answer that is not held is passed on as it comes, so that it leaves to
	// requests of programs under way what they cannot do without.
	x.held.SetInProgress(false)
	expected := resp.Length
	if expected > maxBuffered {
		expected = 0
	}
	var short *memlimit.LimitError
	buffer, err := memlimit.NewBuffer(&x.held, expected)
	if err == nil {
		err = buffer.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	}
	if errors.As(err, &short) {
		return buffer.Bytes(), true, nil
	}
	return buffer.Bytes(), len(buffer.Bytes()) == maxBuffered, err
}

// copyRest passes on what is left of a long plain answer.
func (x *transfer) copyRest(resp *exchange.Response) {
	if _, err := io.Copy(x.writer, resp.Body); err != nil {
		x.detail, x.reason, x.cut = err.Error(), reasonCut, true
	}
}

// copyHead passes the head of an answer on.
func (x *transfer) copyHead(resp *exchange.Response, unknownLength bool, length int) {
	header := x.writer.Header()
	closing := header.Get("Connection")
	for name, values := range resp.Header {
		if !perConnection(name) {
			header[name] = values
		}
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	switch {
	case x.request.Method == http.MethodHead && resp.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	case !unknownLength && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(length))
	}
	x.status = resp.Status
	x.headSent = true
	x.writer.WriteHeader(resp.Status)
}

// perConnection tells whether a header of an answer concerns one connection.
func perConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Proxy-Connection", "Te":
		return true
	}
	return false
}

// deliverStream passes whole events on as they arrive.
func (x *transfer) deliverStream(target *targets.Target, resp *exchange.Response) bool {
	events := newEventReader(resp.Body)
	timing := x.newStreamTiming(target)
	for {
		event, err := events.next()
		if err == nil && !x.follows(event) {
			err = errors.Newf("event %s behind event %s", event.id, x.lastEvent)
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
			return x.brokeOff(target)
		}
		if !x.headSent {
			x.copyHead(resp, true, 0)
		}
		x.delivered++
		x.lastEvent = event.id
		timing.event(time.Now(), events.buffered())
		x.noteEvent(event)
		if _, err := x.writer.Write(event.bytes); err != nil {
			x.callerGone(err)
			return false
		}
		if !events.buffered() && x.flush() != nil {
			return false
		}
	}
}

// flush sends the caller what was written. An error ends the request.
func (x *transfer) flush() error {
	if !x.headSent {
		return nil
	}
	err := http.NewResponseController(x.writer).Flush()
	if err != nil {
		x.callerGone(err)
	}
	return err
}

// callerGone ends a request whose caller takes no more of the answer.
func (x *transfer) callerGone(err error) {
	x.detail, x.reason, x.cut = err.Error(), reasonCallerLeft, true
	var stalled *stalledError
	if errors.As(err, &stalled) {
		x.reason = reasonStalled
	}
}

// endStream ends a stream that the target completed.
func (x *transfer) endStream(target *targets.Target, resp *exchange.Response) bool {
	x.server.targets.RecordSuccess(target, time.Now())
	x.failedAt = ""
	if !x.headSent {
		x.copyHead(resp, true, 0)
	}
	if x.keepTurn() {
		x.reason = reasonServed
	}
	return false
}

// follows tells whether an event is the next one after the last that went out.
// Streams whose events carry no numbers are taken as they come.
func (x *transfer) follows(event event) bool {
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

// errTorn tells that a stream ended inside an event.
var errTorn = errors.New("the stream ended inside an event")
