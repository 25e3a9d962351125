package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func appendTo(t *testing.T, log *Service, stream string, records ...string) uint64 {
	t.Helper()
	var data [][]byte
	for _, record := range records {
		data = append(data, []byte(record))
	}
	first, err := log.Append(stream, data)
	if err != nil {
		t.Fatal(err)
	}
	return first
}

func TestOffsetsAreConsecutive(t *testing.T) {
	log := New(Settings{})
	appendTo(t, log, "other", "x")
	if appendTo(t, log, "s", "a", "b") != 0 || appendTo(t, log, "s", "c") != 2 {
		t.Error("wrong offsets")
	}
	reply, err := log.Read(context.Background(), "s", 1, 1, 0)
	if err != nil || len(reply.Records) != 1 || string(reply.Records[0].Data) != "b" || reply.Next != 2 || reply.End != 3 {
		t.Errorf("read %+v, %v", reply, err)
	}
}

func TestRetentionByCountAndAge(t *testing.T) {
	now := time.Unix(1000, 0)
	log := New(Settings{RetainRecords: 2, RetainAge: time.Minute, Now: func() time.Time { return now }})
	appendTo(t, log, "s", "a", "b", "c")
	if info, _ := log.Info("s"); info != (wire.StreamInfo{First: 1, End: 3}) {
		t.Errorf("after count: %+v", info)
	}
	if _, err := log.Read(context.Background(), "s", 0, 0, 0); !errors.Is(err, ErrNotRetained) {
		t.Errorf("read below the first retained: %v", err)
	}
	now = now.Add(time.Minute)
	if info, _ := log.Info("s"); info != (wire.StreamInfo{First: 3, End: 3}) {
		t.Errorf("after age: %+v", info)
	}
	if got := appendTo(t, log, "s", "d"); got != 3 {
		t.Errorf("offset after retention %d, want 3", got)
	}
}

func TestAppendRate(t *testing.T) {
	now := time.Unix(1000, 0)
	log := New(Settings{AppendsPerSecond: 2, Now: func() time.Time { return now }})
	appendTo(t, log, "s", "a")
	appendTo(t, log, "s", "b")
	if _, err := log.Append("s", [][]byte{{1}}); !errors.Is(err, ErrOverloaded) {
		t.Errorf("third append: %v", err)
	}
	now = now.Add(time.Second)
	appendTo(t, log, "s", "c")
}

func TestLongPoll(t *testing.T) {
	events := map[string]struct {
		trigger func(*Service)
		records int
		err     error
	}{
		"append":  {func(log *Service) { _, _ = log.Append("s", [][]byte{{1}}) }, 1, nil},
		"outage":  {func(log *Service) { log.SetDown(true) }, 0, ErrDown},
		"timeout": {func(*Service) {}, 0, nil},
	}
	for name, event := range events {
		synctest.Test(t, func(t *testing.T) {
			log := New(Settings{})
			started := time.Now()
			go func() {
				synctest.Wait()
				event.trigger(log)
			}()
			reply, err := log.Read(t.Context(), "s", 0, 0, time.Minute)
			if !errors.Is(err, event.err) || len(reply.Records) != event.records {
				t.Errorf("%s: read %+v, %v", name, reply, err)
			}
			if waited := time.Since(started) != 0; waited != (name == "timeout") {
				t.Errorf("%s: waited %v", name, time.Since(started))
			}
		})
	}
}

type testLog struct {
	*Service
	t   *testing.T
	url string
}

func serve(t *testing.T, settings Settings) testLog {
	t.Helper()
	log := New(settings)
	server, err := standin.Listen("", log.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return testLog{Service: log, t: t, url: server.URL}
}

// post appends a record over HTTP and returns the status, 0 if the connection
// was dropped.
func (l testLog) post(stream string) int {
	l.t.Helper()
	body, err := json.Marshal(wire.AppendRequest{Records: [][]byte{{1}}})
	if err != nil {
		l.t.Fatal(err)
	}
	url := l.url + wire.LogStreamsRoute + "/" + stream + "/" + wire.LogRecordsSegment
	response, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (l testLog) end(stream string) uint64 {
	info, _ := l.Info(stream)
	return info.End
}

func TestDroppedAppends(t *testing.T) {
	log := serve(t, Settings{})
	log.DropAppends("s", 1)
	if got := log.post("other"); got != http.StatusOK {
		t.Errorf("append to another stream: status %d", got)
	}
	if got := log.post("s"); got != 0 || log.end("s") != 0 {
		t.Errorf("append dropped before it took effect: status %d, end %d", got, log.end("s"))
	}
	log.DropAppendReplies("s", 1)
	if got := log.post("s"); got != 0 || log.end("s") != 1 {
		t.Errorf("append with a dropped response: status %d, end %d", got, log.end("s"))
	}
	if got := log.post("s"); got != http.StatusOK || log.end("s") != 2 {
		t.Errorf("append after the faults: status %d, end %d", got, log.end("s"))
	}
}

func TestStatuses(t *testing.T) {
	log := serve(t, Settings{RetainRecords: 1, AppendsPerSecond: 0.001, AppendBurst: 2})
	log.post("s")
	log.post("s")
	if got := log.post("s"); got != http.StatusTooManyRequests {
		t.Errorf("overload: status %d", got)
	}
	response, err := http.Get(log.url + wire.LogStreamsRoute + "/s/" + wire.LogRecordsSegment + "?from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var info wire.StreamInfo
	if err := json.NewDecoder(response.Body).Decode(&info); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusGone || info != (wire.StreamInfo{First: 1, End: 2}) {
		t.Errorf("read below retention: status %d, %+v", response.StatusCode, info)
	}
	log.SetDown(true)
	if got := log.post("s"); got != http.StatusServiceUnavailable {
		t.Errorf("outage: status %d", got)
	}
	if stats := log.Stats(); stats.Total.Appends != 2 || stats.Streams["s"].Records != 2 {
		t.Errorf("stats %+v", stats)
	}
}
