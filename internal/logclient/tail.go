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

// maxInfoReplyBytes bounds the reply that describes a stream.
const maxInfoReplyBytes = 64 << 10

// tail reads one stream.
type tail struct {
	log    *Log
	stream string
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed after the tail posted its last event.
	done chan struct{}

	next uint64
	// maxRecords is the number of records to request. It is halved when a
	// reply is too large.
	maxRecords int
	backoff    *backoff.ExponentialBackOff
	// failing indicates that the last read failed. lastEnd is the End of the
	// last LogRead posted, and lastPosted its time.
	failing    bool
	lastEnd    uint64
	lastPosted time.Time
}

// Tail starts reading a stream from an offset. It replaces a running tail.
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
// posted its last event.
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

// findEnd returns the offset of the newest record, or the end of an empty stream.
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

// readResponse is the body of the response to a read: the records, or with status
// 410 the first retained offset.
type readResponse struct {
	wire.ReadReply
	First uint64 `json:"first"`
}

// truncatedError indicates that the log no longer retains the offset.
type truncatedError struct{ first uint64 }

func (e *truncatedError) Error() string {
	return "offset is no longer retained, the first retained offset is " + strconv.FormatUint(e.first, 10)
}

// read sends one read from the next offset, with a long poll at the end of the
// stream.
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
		// The first read, and the first after a failure, reports the end of
		// the stream and the recovery without delay.
		wait = 0
	}
	query := "?from=" + strconv.FormatUint(t.next, 10) +
		"&max=" + strconv.Itoa(t.maxRecords) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return t.log.streamURL(t.stream, wire.LogRecordsSegment) + query
}

// checkRead returns ErrProtocol unless the offsets are consecutive and start at
// the requested one.
func checkRead(from uint64, reply wire.ReadReply) error {
	next := from
	for _, record := range reply.Records {
		if record.Offset != next {
			return errors.Wrapf(ErrProtocol, "got record offset %d, expected %d", record.Offset, next)
		}
		next++
	}
	if reply.Next != next {
		return errors.Wrapf(ErrProtocol, "got next offset %d, expected %d", reply.Next, next)
	}
	return nil
}

// deliver posts a read. An empty read is posted only if it reports a new end or a
// recovery, or if EmptyReadInterval has passed since the last LogRead.
func (t *tail) deliver(reply wire.ReadReply) {
	t.backoff.Reset()
	now := time.Now()
	redundant := len(reply.Records) == 0 && !t.failing && reply.End == t.lastEnd &&
		now.Sub(t.lastPosted) < t.log.cfg.EmptyReadInterval
	if redundant {
		// Do not spin if the log did not hold the read.
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
		t.log.logger.Info("log reads recovered", "stream", t.stream)
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
		t.log.logger.Warn("log read failed", "stream", t.stream, "error", err)
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
