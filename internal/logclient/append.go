package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// maxAppendReplyBytes bounds the reply to an append, in bytes.
const maxAppendReplyBytes = 64 << 10

// appender sends the appends of one stream one at a time. Log.mu guards its
// queue. Its goroutine runs only while the queue is not empty.
type appender struct {
	stream  string
	queue   []queuedAppend
	records int
	bytes   int
}

// queuedAppend is an append in the queue. With overflow set, the queue was full:
// its records are dropped and it is refused in order.
type queuedAppend struct {
	id       structs.AppendID
	records  [][]byte
	overflow bool
}

func (q queuedAppend) size() (records, bytes int) {
	for _, record := range q.records {
		bytes += len(record)
	}
	return len(q.records), bytes
}

// Append queues an append. The result is posted as LogAppended or
// LogAppendFailed.
func (l *Log) Append(command structs.LogAppend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	a, running := l.appenders[command.Stream]
	if !running {
		a = &appender{stream: command.Stream}
		l.appenders[command.Stream] = a
	}
	l.enqueue(a, command)
	if !running {
		l.goroutines.Go(func() { l.runAppender(a) })
	}
}

// enqueue adds an append to the queue. One that does not fit is marked as overflow.
// An empty queue accepts an append of any size.
func (l *Log) enqueue(a *appender, command structs.LogAppend) {
	queued := queuedAppend{id: command.ID, records: command.Records}
	records, size := queued.size()
	full := a.records+records > l.cfg.AppendQueueRecords || a.bytes+size > l.cfg.AppendQueueBytes
	if full && a.records > 0 {
		a.queue = append(a.queue, queuedAppend{id: command.ID, overflow: true})
		return
	}
	a.records += records
	a.bytes += size
	a.queue = append(a.queue, queued)
}

func (l *Log) runAppender(a *appender) {
	for {
		queued, ok := l.nextAppend(a)
		if !ok {
			return
		}
		event := l.execute(a.stream, queued)
		if !l.sink.Deliver(l.ctx, event) {
			return
		}
		l.appendDone(a, queued)
	}
}

// nextAppend returns the first queued append. It returns false and removes the
// appender if the queue is empty or the Log is closed.
func (l *Log) nextAppend(a *appender) (queuedAppend, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(a.queue) == 0 || l.closed {
		delete(l.appenders, a.stream)
		return queuedAppend{}, false
	}
	return a.queue[0], true
}

func (l *Log) appendDone(a *appender, queued queuedAppend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records, size := queued.size()
	a.records -= records
	a.bytes -= size
	a.queue[0] = queuedAppend{}
	a.queue = a.queue[1:]
}

// execute sends an append once and returns the event that reports its result.
func (l *Log) execute(stream string, queued queuedAppend) structs.Event {
	failed := structs.LogAppendFailed{ID: queued.id, Stream: stream}
	if queued.overflow {
		l.metrics.appendsRefused.Inc(1)
		failed.Refused = true
		return failed
	}
	stopwatch := l.metrics.appendTime.Start()
	first, refused, err := l.send(stream, queued.records)
	stopwatch.Stop()
	l.metrics.appends.Inc(1)
	if err == nil {
		l.metrics.recordsAppended.Inc(int64(len(queued.records)))
		return structs.LogAppended{ID: queued.id, Stream: stream, First: first}
	}
	failed.Refused = refused
	if refused {
		l.metrics.appendsRefused.Inc(1)
	} else {
		l.metrics.appendsUnknown.Inc(1)
	}
	l.logger.Warn("append failed", "stream", stream, "refused", refused, "error", err)
	return failed
}

// send sends one append. On an error, refused reports that the append certainly
// had no effect: it was never written to a connection, or the log refused it.
func (l *Log) send(stream string, records [][]byte) (first uint64, refused bool, err error) {
	body, err := json.Marshal(wire.AppendRequest{Records: records})
	if err != nil {
		return 0, true, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.AppendTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.streamURL(stream, wire.LogRecordsSegment), bytes.NewReader(body))
	if err != nil {
		return 0, true, err
	}
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot retry the request.
	request.GetBody = nil
	reply, err := l.appends.Do(request)
	if err != nil {
		return 0, !connected.Load(), err
	}
	defer discardBody(reply.Body)
	return readAppendReply(reply.StatusCode, reply.Body)
}

func readAppendReply(status int, body io.Reader) (first uint64, refused bool, err error) {
	if status != http.StatusOK {
		return 0, isRefusal(status), &StatusError{Status: status}
	}
	var reply struct {
		First *uint64 `json:"first"`
	}
	if err := decodeJSON(body, maxAppendReplyBytes, &reply); err != nil {
		return 0, false, err
	}
	if reply.First == nil {
		return 0, false, errors.Wrap(ErrProtocol, "append reply has no first offset")
	}
	return *reply.First, false, nil
}

// isRefusal reports whether a status means that the append had no effect. A
// request timeout (408) does not, since a proxy may have sent it.
func isRefusal(status int) bool {
	if status == http.StatusServiceUnavailable {
		return true
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout
}
