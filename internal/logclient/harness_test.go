package logclient

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/banyanglade/banyanglade/internal/standin/logservice"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	testTimeout = 20 * time.Second
	stream      = "shard.great-lakes.7"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// events receives the events that a client posts.
type events struct {
	t       *testing.T
	channel chan structs.Event
}

func newEvents(t *testing.T, size int) *events {
	return &events{t: t, channel: make(chan structs.Event, size)}
}

func (e *events) post(event structs.Event) bool {
	select {
	case e.channel <- event:
		return true
	default:
		return false
	}
}

func (e *events) next() structs.Event {
	e.t.Helper()
	select {
	case event := <-e.channel:
		return event
	case <-time.After(testTimeout):
		e.t.Fatal("timed out waiting for an event")
		return nil
	}
}

// nextRecords waits until count records were read, skipping other events. It
// checks that their offsets start at from and have no gap.
func (e *events) nextRecords(from uint64, count int) [][]byte {
	e.t.Helper()
	var data [][]byte
	for len(data) < count {
		read, ok := e.next().(structs.LogRead)
		if !ok {
			continue
		}
		if read.From != from {
			e.t.Fatalf("read from offset %d, want %d", read.From, from)
		}
		for _, record := range read.Records {
			if record.Offset != from {
				e.t.Fatalf("record offset %d, want %d", record.Offset, from)
			}
			data = append(data, record.Data)
			from++
		}
	}
	return data
}

// platformLog is a Log connected to a log service.
type platformLog struct {
	*Log
	*events
	service *logservice.Service
	server  *httptest.Server
}

func newPlatformLog(t *testing.T, wrap func(http.Handler) http.Handler, edit ...func(*LogConfig)) *platformLog {
	t.Helper()
	service := logservice.New(logservice.Settings{})
	handler := service.Handler()
	if wrap != nil {
		handler = wrap(handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	cfg := LogConfig{URL: server.URL, PollWait: time.Second, MinBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond}
	for _, f := range edit {
		f(&cfg)
	}
	e := newEvents(t, 1024)
	return &platformLog{Log: startLog(t, cfg, e), events: e, service: service, server: server}
}

func startLog(t *testing.T, cfg LogConfig, e *events) *Log {
	t.Helper()
	log, err := NewLog(context.Background(), cfg, e.post, tally.NoopScope, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	return log
}

func newAppend(id int, data string) structs.LogAppend {
	return structs.LogAppend{ID: structs.AppendID(id), Stream: stream, Records: [][]byte{[]byte(data)}}
}
