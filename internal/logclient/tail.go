package logclient

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// maxInfoReplyBytes bounds the reply that describes a stream, in bytes.
const maxInfoReplyBytes = 64 << 10

// tail reads one stream.
type tail struct {
	log    *Log
	stream string
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the tail posts no more.
	done chan struct{}

	next uint64
	// maxRecords is the number of records to ask for; it shrinks when replies
	// are too large.
	maxRecords int
	backoff    *backoff.ExponentialBackOff
	// failing tells that the last read failed, end is the last end posted, and
	// posted the time of the last LogRead.
	failing    bool
	lastEnd    uint64
	lastPosted time.Time
}

// Tail starts reading a stream from an offset, or moves the offset.
func (l *Log) Tail(command structs.LogTail) {
	l.startTail(command.Stream, func(t *tail) { t.run(command.From) })
}

// TailEnd starts reading a stream at its newest record.
func (l *Log) TailEnd(command structs.LogTailEnd) {
	l.startTail(command.Stream, func(t *tail) {
		if from, ok := t.findEnd(); ok {
			t.run(from)
		}
	})
}

// Stop stops reading a stream. Events already posted may still follow.
func (l *Log) Stop(command structs.LogStop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.tails[command.Stream]; t != nil {
		t.cancel()
		delete(l.tails, command.Stream)
	}
}

// startTail replaces the tail of a stream. The new one starts after the old one
// has posted its last event.
func (l *Log) startTail(stream string, run func(*tail)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	t := l.newTail(stream)
	old := l.tails[stream]
	l.tails[stream] = t
	if old != nil {
		old.cancel()
	}
	l.goroutines.Go(func() {
		defer close(t.done)
		defer t.cancel()
		if old != nil {
			<-old.done
		}
		run(t)
	})
}

func (l *Log) newTail(stream string) *tail {
	ctx, cancel := context.WithCancel(l.ctx)
	return &tail{
		log: l, stream: stream, ctx: ctx, cancel: cancel,
		done:       make(chan struct{}),
		maxRecords: l.cfg.MaxReadRecords,
		backoff: backoff.NewExponentialBackOff(
			backoff.WithInitialInterval(l.cfg.MinBackoff),
			backoff.WithMaxInterval(l.cfg.MaxBackoff),
			backoff.WithMaxElapsedTime(0),
		),
	}
}

// findEnd gives the offset of the newest record, or the end of an empty stream.
func (t *tail) findEnd() (from uint64, ok bool) {
	for t.ctx.Err() == nil {
		info, err := t.readInfo()
		if err == nil {
			return newestOffset(info), true
		}
		t.reportFailure(structs.LogReadFailed{Stream: t.stream}, err)
	}
	return 0, false
}

func newestOffset(info wire.StreamInfo) uint64 {
	if info.End > info.First {
		return info.End - 1
	}
	return info.End
}

func (t *tail) readInfo() (wire.StreamInfo, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.log.cfg.ReplyTimeout)
	defer cancel()
	var info wire.StreamInfo
	err := getJSON(ctx, t.log.reads, t.log.streamURL(t.stream), maxInfoReplyBytes, &info)
	return info, err
}

// run reads from an offset until the tail is stopped.
func (t *tail) run(from uint64) {
	t.next = from
	for t.ctx.Err() == nil {
		reply, err := t.read()
		if err != nil {
			t.handleReadError(err)
			continue
		}
		t.deliver(reply)
	}
}

// readResponse is the body of an answer to a read: a reply, or what is retained.
type readResponse struct {
	wire.ReadReply
	First uint64 `json:"first"`
}

// truncatedError tells that the log no longer retains the offset.
type truncatedError struct{ first uint64 }

func (e *truncatedError) Error() string {
	return "not retained, the first offset is " + strconv.FormatUint(e.first, 10)
}

// read reads once from the next offset, waiting at the end of the stream.
func (t *tail) read() (wire.ReadReply, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.log.cfg.PollWait+t.log.cfg.ReplyTimeout)
	defer cancel()
	t.log.metrics.reads.Inc(1)
	var body readResponse
	err := getJSON(ctx, t.log.reads, t.readURL(), t.log.cfg.MaxReplyBytes, &body)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return wire.ReadReply{}, &truncatedError{first: body.First}
	}
	if err != nil {
		return wire.ReadReply{}, err
	}
	return body.ReadReply, checkRead(t.next, body.ReadReply)
}

func (t *tail) readURL() string {
	wait := t.log.cfg.PollWait
	if t.lastPosted.IsZero() || t.failing {
		// The first answer tells where the stream ends and that the log
		// answers again: the log must not hold it.
		wait = 0
	}
	query := "?from=" + strconv.FormatUint(t.next, 10) +
		"&max=" + strconv.Itoa(t.maxRecords) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return t.log.streamURL(t.stream, wire.LogRecordsSegment) + query
}

// checkRead returns ErrProtocol unless the records follow each other from the
// offset asked for.
func checkRead(from uint64, reply wire.ReadReply) error {
	next := from
	for _, record := range reply.Records {
		if record.Offset != next {
			return errors.Wrapf(ErrProtocol, "record %d where %d was due", record.Offset, next)
		}
		next++
	}
	if reply.Next != next {
		return errors.Wrapf(ErrProtocol, "next offset %d after record %d", reply.Next, next)
	}
	return nil
}

// deliver posts what was read. A read without records is posted only if it
// tells something new or the last event is some time ago.
func (t *tail) deliver(reply wire.ReadReply) {
	t.backoff.Reset()
	now := time.Now()
	redundant := len(reply.Records) == 0 && !t.failing && reply.End == t.lastEnd &&
		now.Sub(t.lastPosted) < t.log.cfg.EmptyReadInterval
	if redundant {
		// The log answered at once instead of holding the read.
		t.sleep(t.log.cfg.MinBackoff)
		return
	}
	event := structs.LogRead{
		Stream: t.stream, From: t.next, Records: reply.Records,
		Next: reply.Next, End: reply.End,
	}
	if !t.log.sink.Deliver(t.ctx, event) {
		return
	}
	t.log.metrics.recordsRead.Inc(int64(len(reply.Records)))
	if t.failing {
		t.log.logger.Info("log reads work again", "stream", t.stream)
	}
	t.next, t.lastEnd, t.lastPosted, t.failing = reply.Next, reply.End, now, false
}

// handleReadError posts the failure and waits before the next read.
func (t *tail) handleReadError(err error) {
	if t.ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrReplyTooLarge) && t.maxRecords > 1 {
		t.maxRecords /= 2
		return
	}
	event := structs.LogReadFailed{Stream: t.stream}
	var truncated *truncatedError
	if errors.As(err, &truncated) {
		event.Truncated, event.First = true, truncated.first
	}
	t.reportFailure(event, err)
}

func (t *tail) reportFailure(event structs.LogReadFailed, err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.log.metrics.readsFailed.Inc(1)
	if !t.failing {
		t.log.logger.Warn("log reads fail", "stream", t.stream, "error", err)
	}
	t.failing = true
	t.log.sink.Deliver(t.ctx, event)
	t.sleep(t.backoff.NextBackOff())
}

func (t *tail) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-t.ctx.Done():
	case <-timer.C:
	}
}
