package target

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestInterruptedStreamIsResumedWithoutGap(t *testing.T) {
	const pieces = 20
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		from, cut := 0, pieces/2
		if r.Method == http.MethodGet {
			from, _ = strconv.Atoi(r.URL.Query().Get("from"))
			cut = pieces
		}
		for i := from; i < cut; i++ {
			write(w, piece(i, fmt.Sprint(i, " ")))
		}
		if cut < pieces {
			panic(http.ErrAbortHandler)
		}
		write(w, finish(pieces, "length"))
	})
	f.StartRun(f.chat("r"))
	received := 0
	for received < pieces/2 {
		received = next[structs.RunChunk](f).Chunk.Next()
	}
	if ended := next[structs.RunEnded](f); ended.Failure != structs.RunBroken {
		t.Fatalf("%+v", ended)
	}
	f.ResumeRun(structs.ResumeRun{Run: "r", Target: f.target(engineService), From: received})
	var text strings.Builder
	for received < pieces {
		chunk := next[structs.RunChunk](f).Chunk
		if chunk.First != received {
			t.Fatalf("chunk from %d, want %d", chunk.First, received)
		}
		text.WriteString(strings.Join(chunk.Texts, ""))
		received = chunk.Next()
	}
	ended := next[structs.RunEnded](f)
	if ended.Failure != structs.RunOK || ended.Outcome.Text != text.String() || !strings.HasPrefix(text.String(), "10 11 ") {
		t.Fatalf("%+v", ended)
	}
}

func TestResumeNeverEndsAsNotSent(t *testing.T) {
	for _, status := range []int{404, 409, 429, 503} {
		f := newFake(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		f.ResumeRun(structs.ResumeRun{Run: "r", Target: f.target(engineService)})
		if ended := next[structs.RunEnded](f); ended.Failure != structs.RunBroken {
			t.Errorf("status %d: %+v", status, ended)
		}
		f.server.Close()
		f.ResumeRun(structs.ResumeRun{Run: "r", Target: f.target(engineService)})
		if ended := next[structs.RunEnded](f); ended.Failure != structs.RunBroken {
			t.Errorf("unreachable: %+v", ended)
		}
	}
}

func TestDamagedStreamsAreBroken(t *testing.T) {
	for name, body := range map[string]string{
		"gap": piece(0, "a") + piece(2, "c") + finish(3, "stop"), "no finish": piece(0, "a") + "data: [DONE]\n\n",
		"no end": piece(0, "a"), "not JSON": "data: {\n\n", "nothing": "",
		"cut event": piece(0, "a") + strings.TrimRight(finish(1, "stop"), "\n")[:40],
		"tool gap":  `data: {"choices":[{"delta":{"tool_calls":[{"index":3}]}}]}` + "\n\n",
		"tool type": `data: {"choices":[{"delta":{"tool_calls":{}}}]}` + "\n\n",
	} {
		f := newFake(t, func(w http.ResponseWriter, _ *http.Request) { write(w, body) })
		f.StartRun(f.chat("r"))
		if ended := next[structs.RunEnded](f); ended.Failure != structs.RunBroken {
			t.Errorf("%s: %+v", name, ended)
		}
	}
}

func TestToolCallsAreMerged(t *testing.T) {
	delta := func(index int, calls string) string {
		return fmt.Sprintf(`data: {"token_index":%d,"choices":[{"delta":{"tool_calls":%s}}]}`+"\n\n", index, calls)
	}
	const first = `[{"index":0,"id":"c1","type":"function","function":{"name":"file","arguments":"{\"a\""}}]`
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, delta(0, first)+delta(1, `[{"index":1,"id":"c2","function":{"name":"pay","arguments":"{}"}}]`)+
			delta(2, `[{"index":0,"function":{"arguments":":1}"}}]`)+finish(3, "tool_calls"))
	})
	f.StartRun(f.chat("r"))
	if chunk := next[structs.RunChunk](f).Chunk; string(chunk.ToolCalls) != first || len(chunk.Texts) != 1 {
		t.Fatalf("%s", chunk.ToolCalls)
	}
	const want = `[{"id":"c1","type":"function","function":{"name":"file","arguments":"{\"a\":1}"}},` +
		`{"id":"c2","function":{"name":"pay","arguments":"{}"}}]`
	if ended := next[structs.RunEnded](f); string(ended.Outcome.ToolCalls) != want {
		t.Fatalf("%s", ended.Outcome.ToolCalls)
	}
}

func TestCancel(t *testing.T) {
	const attempts = 3
	cancels := make(chan string, attempts)
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/cancel") {
			cancels <- r.URL.Path
			if len(cancels) < attempts {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		write(w, piece(0, "a"))
		<-r.Context().Done()
	})
	f.StartRun(f.chat("r"))
	next[structs.RunChunk](f)
	f.CancelRun(structs.CancelRun{Run: "r", Target: f.target(engineService)})
	if ended := next[structs.RunEnded](f); ended.Failure != structs.RunCancelled {
		t.Fatalf("%+v", ended)
	}
	f.work.Wait()
	if len(cancels) != attempts || <-cancels != wire.StreamsRoute+"/r/cancel" {
		t.Fatalf("%d cancel requests left", len(cancels))
	}
}

func TestCancelSendsNothingToPlainServices(t *testing.T) {
	arrived := make(chan struct{}, 2)
	f := newFake(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	f.StartRun(f.plain("r"))
	<-arrived
	f.CancelRun(structs.CancelRun{Run: "r", Target: f.target(plainService)})
	if ended := next[structs.RunEnded](f); ended.Failure != structs.RunCancelled {
		t.Fatalf("%+v", ended)
	}
	f.work.Wait()
	if n := len(f.requests("")); n != 1 {
		t.Fatalf("%d requests", n)
	}
}

func TestStreamCancelledAtTheEngine(t *testing.T) {
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) { write(w, piece(0, "a")+finish(1, "cancelled")) })
	f.StartRun(f.chat("r"))
	if ended := next[structs.RunEnded](f); ended.Failure != structs.RunCancelled {
		t.Fatalf("%+v", ended)
	}
}

func FuzzChatStream(f *testing.F) {
	f.Add([]byte(piece(0, "a") + piece(1, "") + piece(2, "b") + finish(3, "stop")))
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0}]}}]}\r\n\r\ndata:x\ndata: y\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		events, s := newEventReader(strings.NewReader(string(body))), newChatStream(0, 0, 1<<20)
		next := 0
		for {
			data, err := events.next()
			if err != nil || s.add(data) != nil {
				return
			}
			if chunk, ok := s.takePending(); ok {
				if chunk.First != next {
					t.Fatalf("chunk from %d, want %d", chunk.First, next)
				}
				next = chunk.Next()
			}
		}
	})
}

func TestResumeInTheMiddleOfToolCalls(t *testing.T) {
	delta := func(index int, call string) string {
		return fmt.Sprintf(`data: {"token_index":%d,"choices":[{"delta":{"tool_calls":[%s]}}]}`+"\n\n", index, call)
	}
	stream := []string{
		piece(0, "a"), delta(1, `{"index":0,"id":"c1","function":{"name":"pay","arguments":"{\"fee\""}}`), piece(2, "b"),
		delta(3, `{"index":0,"function":{"arguments":":3}"}}`), finish(4, "tool_calls"),
	}
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.URL.Query().Get("from"))
		write(w, strings.Join(stream[from:], ""))
	})
	f.ResumeRun(structs.ResumeRun{Run: "r", Target: f.target(engineService), From: 2})
	for _, first := range []int{2, 3} {
		if chunk := next[structs.RunChunk](f).Chunk; chunk.First != first || len(chunk.Texts) != 1 {
			t.Fatalf("%+v", chunk)
		}
	}
	ended := next[structs.RunEnded](f)
	const want = `[{"id":"c1","function":{"name":"pay","arguments":"{\"fee\":3}"}}]`
	if ended.Failure != structs.RunOK || string(ended.Outcome.ToolCalls) != want || ended.Outcome.Text != "ab" {
		t.Fatalf("%+v %s", ended, ended.Outcome.ToolCalls)
	}
}

// The owner assembles the text of a resumed run from the pieces, so a run whose pieces
// were not all delivered must not succeed.
func TestResumedRunWithoutAllPiecesFails(t *testing.T) {
	proceed := make(chan struct{})
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, piece(0, "a"))
		<-proceed
		write(w, piece(1, "b")+finish(2, "stop"))
	})
	f.ResumeRun(structs.ResumeRun{Run: "r", Target: f.target(engineService)})
	next[structs.RunChunk](f)
	for range cap(f.events) {
		f.post(structs.DrainStart{})
	}
	close(proceed)
	f.CancelRun(structs.CancelRun{Run: "r", Target: f.target(plainService)})
	if ended := next[structs.RunEnded](f); ended.Failure != structs.RunCancelled {
		t.Fatalf("%+v", ended)
	}
}
