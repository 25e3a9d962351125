package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

type testEngine struct {
	*Server
	t   *testing.T
	url string
}

func startEngine(t *testing.T, settings Settings) testEngine {
	t.Helper()
	settings.ID = "e1"
	settings.Model.StepBase = time.Microsecond
	server := NewServer(settings)
	served, err := standin.Listen("", server.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	t.Cleanup(served.Close)
	return testEngine{Server: server, t: t, url: served.URL}
}

func (e testEngine) do(method, path, streamID string, body any) *http.Response {
	e.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		e.t.Fatal(err)
	}
	request, err := http.NewRequest(method, e.url+path, bytes.NewReader(encoded))
	if err != nil {
		e.t.Fatal(err)
	}
	request.Header.Set(wire.HeaderStream, streamID)
	request.Header.Set(wire.HeaderProgram, "p1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func chatOf(content string, stream bool) wire.ChatRequest {
	return wire.ChatRequest{Stream: stream, Messages: []wire.ChatMessage{{Role: "user", Content: content}}}
}

func completionOf(chat wire.ChatRequest) Completion {
	return Completion{Program: "p1", PromptHash: PromptHash(chat.Messages)}
}

// readEvents returns the chunks of a stream and whether it ended with [DONE].
func readEvents(t *testing.T, body io.Reader) (chunks []wire.ChatChunk, done bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return chunks, true
		}
		var chunk wire.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		chunks = append(chunks, chunk)
	}
	return chunks, false
}

// checkTokens checks that the chunks are the tokens with indexes in [from, to),
// followed by the last chunk.
func checkTokens(t *testing.T, chunks []wire.ChatChunk, completion Completion, from, to int) {
	t.Helper()
	if len(chunks) != to-from+1 {
		t.Fatalf("%d chunks, want %d", len(chunks), to-from+1)
	}
	for i, chunk := range chunks[:to-from] {
		if chunk.Index != from+i || chunk.Choices[0].Delta.Content != completion.Token(from+i) {
			t.Errorf("chunk %d is %+v", i, chunk)
		}
	}
	last := chunks[to-from]
	if last.Usage == nil || last.Usage.CompletionTokens != to || last.Choices[0].FinishReason == nil {
		t.Errorf("last chunk is %+v", last)
	}
}

func TestStreamSurvivesDisconnectAndResumes(t *testing.T) {
	engine := startEngine(t, Settings{})
	chat := chatOf("please tokens=500", true)
	first := engine.do("POST", wire.ChatRoute, "s1", chat)
	if _, err := first.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = first.Body.Close()

	resumed := engine.do("GET", wire.StreamsRoute+"/s1?from=123", "", nil)
	chunks, done := readEvents(t, resumed.Body)
	if !done {
		t.Error("stream did not end with [DONE]")
	}
	checkTokens(t, chunks, completionOf(chat), 123, 500)
	entries := engine.Ledger().Entries()
	if len(entries) != 1 || !entries[0].Finished || entries[0].Tokens != 500 || entries[0].Program != "p1" {
		t.Errorf("ledger %+v", entries)
	}
}

func TestDroppedReplyCutsStreamInTheMiddle(t *testing.T) {
	engine := startEngine(t, Settings{Faults: wire.ServiceFaults{DropReplies: 1}})
	chat := chatOf("tokens=10", true)
	cut := engine.do("POST", wire.ChatRoute, "s1", chat)
	chunks, done := readEvents(t, cut.Body)
	if done || len(chunks) != 5 {
		t.Errorf("cut stream has %d chunks, done %v", len(chunks), done)
	}
	resumed := engine.do("GET", wire.StreamsRoute+"/s1?from=5", "", nil)
	chunks, _ = readEvents(t, resumed.Body)
	checkTokens(t, chunks, completionOf(chat), 5, 10)
}

func TestWholeReply(t *testing.T) {
	engine := startEngine(t, Settings{})
	chat := chatOf("tokens=20", false)
	chat.MaxTokens = 7
	var reply wire.ChatReply
	response := engine.do("POST", wire.ChatRoute, "", chat)
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	choice := reply.Choices[0]
	if choice.Message.Content != completionOf(chat).Text(0, 7) || *choice.FinishReason != string(FinishLength) {
		t.Errorf("reply %+v", reply)
	}
}

func TestDuplicateStreamID(t *testing.T) {
	chat := chatOf("tokens=5", false)
	for attach, want := range map[bool]int{false: http.StatusConflict, true: http.StatusOK} {
		engine := startEngine(t, Settings{AttachDuplicates: attach})
		engine.do("POST", wire.ChatRoute, "s1", chat)
		second := engine.do("POST", wire.ChatRoute, "s1", chat)
		if second.StatusCode != want || len(engine.Ledger().Entries()) != 1 {
			t.Errorf("attach %v: status %d, ledger %+v", attach, second.StatusCode, engine.Ledger().Entries())
		}
	}
}

func TestCancelEndsStream(t *testing.T) {
	engine := startEngine(t, Settings{})
	running := engine.do("POST", wire.ChatRoute, "s1", chatOf("tokens=999999", true))
	for _, id := range []string{"s1", "unknown"} {
		if got := engine.do("POST", wire.StreamsRoute+"/"+id+"/cancel", "", nil); got.StatusCode != http.StatusOK {
			t.Errorf("cancel of %s: status %d", id, got.StatusCode)
		}
	}
	chunks, done := readEvents(t, running.Body)
	last := chunks[len(chunks)-1]
	if !done || *last.Choices[0].FinishReason != string(FinishCancelled) {
		t.Errorf("cancelled stream ended with %+v", last)
	}
	if engine.Ledger().Entries()[0].Finished {
		t.Error("the ledger shows a cancelled stream as finished")
	}
}

func TestOrdersAndFencing(t *testing.T) {
	for checks, want := range map[bool]string{true: "new", false: "old"} {
		engine := startEngine(t, Settings{ChecksFencing: checks})
		engine.do("POST", wire.OrdersRoute, "", wire.Order{Kind: wire.OrderLoadModel, Value: "new", Fencing: 2})
		engine.do("POST", wire.OrdersRoute, "", wire.Order{Kind: wire.OrderLoadModel, Value: "old", Fencing: 1})
		var state wire.OrderState
		if err := json.NewDecoder(engine.do("GET", wire.OrdersRoute, "", nil).Body).Decode(&state); err != nil {
			t.Fatal(err)
		}
		if state.Model != want || state.ChecksFencing != checks {
			t.Errorf("checks %v: state %+v", checks, state)
		}
	}
}

func TestCacheEventsAreDelayedAndLossy(t *testing.T) {
	log := newEventLog(Settings{CacheLag: time.Second, CacheGap: 0.3, CacheDuplicate: 0.3, Seed: 7})
	made := time.Unix(100, 0)
	const count = 200
	for sequence := range uint64(count) {
		log.add(made, []wire.CacheEvent{{Sequence: sequence, Kind: wire.CacheStored}})
	}
	if early := log.page(made.Add(time.Second-1), 0); len(early.Events) != 0 || early.Next != 0 {
		t.Errorf("early page %+v", early)
	}
	page := log.page(made.Add(time.Second), 0)
	seen := make(map[uint64]int)
	for _, event := range page.Events {
		seen[event.Sequence]++
	}
	duplicated := len(page.Events) - len(seen)
	if page.Next != count || len(seen) == count || len(seen) == 0 || duplicated == 0 {
		t.Errorf("next %d, %d events seen, %d duplicated", page.Next, len(seen), duplicated)
	}
}
