package logclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestAppendsOfOneStreamStayInOrder(t *testing.T) {
	var inFlight, maxInFlight atomic.Int32
	l := newPlatformLog(t, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
			next.ServeHTTP(w, r)
		})
	})
	const appends = 50
	for i := range appends {
		l.Append(newAppend(i, fmt.Sprint(i)))
	}
	for i := range appends {
		want := structs.LogAppended{ID: structs.AppendID(i), Stream: stream, First: uint64(i)}
		if got := l.next(); got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
	if maxInFlight.Load() != 1 {
		t.Fatalf("%d appends in flight at once", maxInFlight.Load())
	}
}

func TestLostRepliesAreUnknownAndNotRepeated(t *testing.T) {
	l := newPlatformLog(t, nil)
	l.Append(newAppend(1, "warm up the connection"))
	l.next()
	l.service.DropAppendReplies(stream, 1)
	l.Append(newAppend(2, "took effect"))
	if got := l.next(); got != (structs.LogAppendFailed{ID: 2, Stream: stream}) {
		t.Fatalf("got %+v", got)
	}
	l.service.DropAppends(stream, 1)
	l.Append(newAppend(3, "took none"))
	if got := l.next(); got != (structs.LogAppendFailed{ID: 3, Stream: stream}) {
		t.Fatalf("got %+v", got)
	}
	if info, err := l.service.Info(stream); err != nil || info.End != 2 {
		t.Fatalf("stream %+v, error %v, want two records", info, err)
	}
}

func TestAppendOutcomesByStatus(t *testing.T) {
	for status, refused := range map[int]bool{
		http.StatusBadRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
		http.StatusRequestTimeout: false, http.StatusInternalServerError: false, http.StatusBadGateway: false,
		http.StatusGatewayTimeout: false, http.StatusFound: false, http.StatusNoContent: false, http.StatusOK: false,
	} {
		l := newPlatformLog(t, func(http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(status)
			})
		})
		l.Append(newAppend(1, "x"))
		if got := l.next(); got != (structs.LogAppendFailed{ID: 1, Stream: stream, Refused: refused}) {
			t.Errorf("status %d: %+v", status, got)
		}
	}
}

func TestAppendToFrozenLogIsUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	e := newEvents(t, 10)
	l := startLog(t, LogConfig{URL: "http://" + listener.Addr().String(), AppendTimeout: 50 * time.Millisecond}, e)
	l.Append(newAppend(1, "x"))
	if got := e.next(); got != (structs.LogAppendFailed{ID: 1, Stream: stream}) {
		t.Fatalf("got %+v", got)
	}
}

func TestAppendWithoutConnectionIsRefused(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	e := newEvents(t, 10)
	l := startLog(t, LogConfig{URL: server.URL}, e)
	l.Append(newAppend(1, "x"))
	if got := e.next(); got != (structs.LogAppendFailed{ID: 1, Stream: stream, Refused: true}) {
		t.Fatalf("got %+v", got)
	}
}

func TestFullAppendQueueRefuses(t *testing.T) {
	proceed := make(chan struct{})
	l := newPlatformLog(t, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-proceed
			next.ServeHTTP(w, r)
		})
	}, func(c *LogConfig) { c.AppendQueueRecords, c.AppendTimeout = 2, testTimeout })
	for i := range 4 {
		l.Append(newAppend(i, "x"))
	}
	close(proceed)
	for i, want := range []structs.Event{
		structs.LogAppended{ID: 0, Stream: stream, First: 0}, structs.LogAppended{ID: 1, Stream: stream, First: 1},
		structs.LogAppendFailed{ID: 2, Stream: stream, Refused: true}, structs.LogAppendFailed{ID: 3, Stream: stream, Refused: true},
	} {
		if got := l.next(); got != want {
			t.Fatalf("append %d: got %+v, want %+v", i, got, want)
		}
	}
}

func TestTailSurvivesReconnectsWithoutGaps(t *testing.T) {
	var reads atomic.Int32
	l := newPlatformLog(t, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet && reads.Add(1)%3 == 0 {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		})
	}, func(c *LogConfig) { c.MaxReadRecords = 3 })
	l.Tail(structs.LogTail{Stream: stream, From: 0})
	const appends = 40
	go func() {
		for i := range appends {
			_, _ = l.service.Append(stream, [][]byte{fmt.Append(nil, i)})
		}
	}()
	for i, data := range l.nextRecords(0, appends) {
		if string(data) != fmt.Sprint(i) {
			t.Fatalf("record %d holds %q", i, data)
		}
	}
}

func TestTailReportsOutageAndRecovery(t *testing.T) {
	l := newPlatformLog(t, nil)
	l.service.SetDown(true)
	l.Tail(structs.LogTail{Stream: stream})
	for range 2 {
		if got := l.next(); got != (structs.LogReadFailed{Stream: stream}) {
			t.Fatalf("got %+v", got)
		}
	}
	l.service.SetDown(false)
	for {
		// An empty read means that the log is available again.
		if read, ok := l.next().(structs.LogRead); ok && len(read.Records) == 0 {
			return
		}
	}
}

func TestTailEndStartsAtTheNewestRecord(t *testing.T) {
	l := newPlatformLog(t, nil)
	for i := range 5 {
		if _, err := l.service.Append(stream, [][]byte{fmt.Append(nil, i)}); err != nil {
			t.Fatal(err)
		}
	}
	l.service.SetDown(true)
	l.TailEnd(structs.LogTailEnd{Stream: stream})
	l.next()
	l.service.SetDown(false)
	if got := l.nextRecords(4, 1); string(got[0]) != "4" {
		t.Fatalf("got %q", got)
	}
	l.TailEnd(structs.LogTailEnd{Stream: "shard.empty.1"})
	for {
		if read, ok := l.next().(structs.LogRead); ok && read.Stream == "shard.empty.1" {
			if read.From != 0 || read.Next != 0 || read.End != 0 {
				t.Fatalf("got %+v", read)
			}
			return
		}
	}
}

func TestSecondTailMovesTheOffset(t *testing.T) {
	l := newPlatformLog(t, nil)
	for range 5 {
		_, _ = l.service.Append(stream, [][]byte{[]byte("x")})
	}
	l.Tail(structs.LogTail{Stream: stream, From: 0})
	l.nextRecords(0, 5)
	l.Tail(structs.LogTail{Stream: stream, From: 3})
	l.nextRecords(3, 2)
	l.Stop(structs.LogStop{Stream: stream})
	l.Tail(structs.LogTail{Stream: stream, From: 5})
	_, _ = l.service.Append(stream, [][]byte{[]byte("y")})
	l.nextRecords(5, 1)
}

func TestTruncatedOffsetIsReported(t *testing.T) {
	l := newPlatformLog(t, func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusGone)
			_, _ = w.Write([]byte(`{"first":17,"end":20}`))
		})
	})
	l.Tail(structs.LogTail{Stream: stream})
	if got := l.next(); got != (structs.LogReadFailed{Stream: stream, Truncated: true, First: 17}) {
		t.Fatalf("got %+v", got)
	}
}

func TestRepliesThatBreakTheProtocolAreFailures(t *testing.T) {
	for name, body := range map[string]string{
		"gap":          `{"records":[{"offset":1}],"next":2,"end":2}`,
		"out of order": `{"records":[{"offset":0},{"offset":0}],"next":1,"end":2}`,
		"wrong next":   `{"records":[{"offset":0}],"next":5,"end":5}`,
		"truncated":    `{"records":[],"next":0,"end":0`,
		"not JSON":     `<html>`,
		"too large":    `{"records":[],"next":0,"end":0,"x":"` + strings.Repeat("x", 2000) + `"}`,
	} {
		l := newPlatformLog(t, func(http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
		}, func(c *LogConfig) { c.MaxReplyBytes = 1000 })
		l.Tail(structs.LogTail{Stream: stream})
		if got := l.next(); got != (structs.LogReadFailed{Stream: stream}) {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

func TestReadSizeIsReducedForLargeReplies(t *testing.T) {
	l := newPlatformLog(t, nil, func(c *LogConfig) { c.MaxReplyBytes = 4096 })
	const count = 64
	for range count {
		_, _ = l.service.Append(stream, [][]byte{make([]byte, 500)})
	}
	l.Tail(structs.LogTail{Stream: stream})
	l.nextRecords(0, count)
}

func TestFullEventQueueBlocksReads(t *testing.T) {
	l := newPlatformLog(t, nil, func(c *LogConfig) { c.MaxReadRecords = 1 })
	full := newEvents(t, 1)
	tailing := startLog(t, LogConfig{URL: l.server.URL, MaxReadRecords: 1}, full)
	const count = 20
	for range count {
		_, _ = l.service.Append(stream, [][]byte{[]byte("x")})
	}
	tailing.Tail(structs.LogTail{Stream: stream})
	full.nextRecords(0, count)
}

func TestInvalidURLIsRefused(t *testing.T) {
	for _, url := range []string{"", "host:80", "ftp://host", "http://", "http://a b/"} {
		if _, err := NewLog(context.Background(), LogConfig{URL: url}, nil, nil, nil); !errors.Is(err, ErrConfig) {
			t.Errorf("%q: %v", url, err)
		}
	}
}

func TestStreamNameIsEscapedInURL(t *testing.T) {
	l := startLog(t, LogConfig{URL: "http://host/base/"}, newEvents(t, 1))
	if got := l.streamURL("../x?y", wire.LogRecordsSegment); got != "http://host/base/v1/streams/..%2Fx%3Fy/records" {
		t.Fatal(got)
	}
}
