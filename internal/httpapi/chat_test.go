package httpapi

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	chatRoute  = "/v1/chat/completions"
	chatBody   = `{"model":"model","messages":[{"role":"system","content":"be brief"},{"role":"user","content":"hello"}]}`
	streamBody = `{"model":"model","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

var answered = structs.Outcome{
	Kind: structs.OutcomeAnswered, Text: "a b c", Finish: "stop",
	Usage: structs.Usage{PromptTokens: 4, CompletionTokens: 3},
}

func TestChatResponse(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(answered)
	response, body := f.do(http.MethodPost, chatRoute, chatBody)
	if response.StatusCode != http.StatusOK || response.Header.Get(HeaderOutcome) != outcomeAnswered {
		t.Fatalf("status %d, outcome %q: %s", response.StatusCode, response.Header.Get(HeaderOutcome), body)
	}
	var reply wire.ChatReply
	if err := json.Unmarshal([]byte(body), &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Choices[0].Message.Content != "a b c" || *reply.Choices[0].FinishReason != "stop" || reply.Usage.TotalTokens != 7 {
		t.Fatalf("reply %s", body)
	}
	call := f.submitted().Call
	if response.Header.Get(HeaderProgram) != string(call.Program) || !call.Single {
		t.Fatalf("program %q, call %+v", response.Header.Get(HeaderProgram), call)
	}
	f.noEvents()
}

func TestChatCallFields(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(answered)
	program := newProgramID(testRegion, f.api.config.Now())
	_, _ = f.do(http.MethodPost, chatRoute, chatBody, HeaderProgram, string(program), HeaderLane, "sub",
		HeaderCall, "7", HeaderNotRepeatable, "true", HeaderFork, "true", HeaderFee, "12", HeaderFresh, "true", HeaderTeam, "lakeshore/clearance")
	call := f.submitted().Call
	if call.Program != program || call.Lane != "sub" || call.Number != 7 || call.Key != "sub/7" || call.Single {
		t.Errorf("identity %+v", call)
	}
	if !call.NotRepeatable || !call.Fork || !call.Fresh || call.Fee != 12 || call.Team != "lakeshore/clearance" {
		t.Errorf("flags and headers %+v", call)
	}
	if call.PromptTokens != 4 || call.MaxTokens != 1024 || call.SharedTokens != 2 || len(call.History) != 2 {
		t.Errorf("token counts and history %+v", call)
	}
	if want := fmt.Sprintf("prefix-%016x", xxhash.Sum64String("be brief")); call.SharedKey != want {
		t.Errorf("shared key %q, want %q", call.SharedKey, want)
	}
	var sent wire.ChatRequest
	if err := json.Unmarshal(call.Body, &sent); err != nil || sent.MaxTokens != 1024 || sent.Model != "model" {
		t.Errorf("body %s: %v", call.Body, err)
	}
}

// readEvents reads server-sent events until the stream ends.
func readEvents(t *testing.T, response *http.Response) []string {
	t.Helper()
	defer response.Body.Close()
	var events []string
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if line := scanner.Text(); line != "" {
			events = append(events, line)
		}
	}
	return events
}

func decodeChunk(t *testing.T, line string) wire.ChatChunk {
	t.Helper()
	var chunk wire.ChatChunk
	if err := json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	return chunk
}

// streamed returns the joined text of events and checks their indexes.
func streamed(t *testing.T, events []string) string {
	t.Helper()
	var text strings.Builder
	for i, line := range events {
		if line == "data: [DONE]" {
			break
		}
		chunk := decodeChunk(t, line)
		if chunk.Index != i {
			t.Errorf("event %d has index %d", i, chunk.Index)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String()
}

func TestStreamOrder(t *testing.T) {
	cases := map[string][]structs.Chunk{
		"in order": {{First: 0, Texts: []string{"a", " b"}}, {First: 2, Texts: []string{" c"}}},
		"repeated": {{First: 0, Texts: []string{"a"}}, {First: 0, Texts: []string{"a", " b"}}, {First: 1, Texts: []string{" b"}}, {First: 2, Texts: []string{" c"}}},
		"gap":      {{First: 0, Texts: []string{"a", " b"}}, {First: 3, Texts: []string{" z"}}},
		"replayed": nil,
	}
	for name, chunks := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.core.reply = func(event structs.Event) []structs.Command {
				submit := event.(structs.CallerSubmit)
				var commands []structs.Command
				for _, chunk := range chunks {
					commands = append(commands, structs.ReplyChunk{Request: submit.Request, Chunk: chunk})
				}
				outcome := answered
				outcome.Replayed = chunks == nil
				return append(commands, structs.ReplyOutcome{Request: submit.Request, Outcome: outcome})
			}
			response, err := http.DefaultClient.Do(f.request(http.MethodPost, chatRoute, streamBody))
			if err != nil {
				t.Fatal(err)
			}
			if replayed := response.Header.Get(HeaderOutcome) == outcomeReplayed; replayed != (chunks == nil) {
				t.Errorf("outcome %q", response.Header.Get(HeaderOutcome))
			}
			events := readEvents(t, response)
			if text := streamed(t, events); text != answered.Text {
				t.Errorf("text %q", text)
			}
			if events[len(events)-1] != "data: [DONE]" {
				t.Errorf("no end marker: %q", events)
			}
			last := decodeChunk(t, events[len(events)-2])
			if last.Usage == nil || last.Choices[0].FinishReason == nil || *last.Choices[0].FinishReason != "stop" {
				t.Errorf("last chunk %+v", last)
			}
		})
	}
}

func TestStreamFailureBeforeFirstPieceIsDocument(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(structs.Outcome{Kind: structs.OutcomeNotRun, Reason: structs.ReasonNoTarget})
	response, body := f.do(http.MethodPost, chatRoute, streamBody)
	checkProblem(t, response, body, structs.ReasonNoTarget, http.StatusServiceUnavailable, outcomeNotRun)
}

func TestStreamFailureAfterFirstPieceIsEvent(t *testing.T) {
	outcomes := map[string]structs.Outcome{
		"unknown": {Kind: structs.OutcomeUnknown, Reason: structs.ReasonOwnerLost},
		"spliced": {Kind: structs.OutcomeAnswered, Text: "another answer"},
		"shorter": {Kind: structs.OutcomeAnswered, Text: ""},
		"refused": {Kind: structs.OutcomeAnswered, Status: http.StatusBadRequest},
	}
	for name, outcome := range outcomes {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			response, err := startStream(f)
			if err != nil {
				t.Fatal(err)
			}
			f.api.Deliver(structs.ReplyOutcome{Request: structs.RequestID(response.Header.Get(HeaderRequest)), Outcome: outcome})
			events := readEvents(t, response)
			if len(events) != 3 || events[1] != "event: error" {
				t.Fatalf("events %q", events)
			}
			var problem Problem
			if err := json.Unmarshal([]byte(strings.TrimPrefix(events[2], "data: ")), &problem); err != nil {
				t.Fatal(err)
			}
			if problem.Outcome != outcomeUnknown || problem.Instance == "" {
				t.Errorf("problem %+v", problem)
			}
		})
	}
}

// startStream starts a streamed call whose first piece is "x", and returns once
// the response headers have arrived.
func startStream(f *fixture) (*http.Response, error) {
	f.core.set(func(c *fakeCore) {
		c.reply = func(event structs.Event) []structs.Command {
			submit, ok := event.(structs.CallerSubmit)
			if !ok {
				return nil
			}
			return []structs.Command{structs.ReplyChunk{Request: submit.Request, Chunk: structs.Chunk{Texts: []string{"x"}}}}
		}
	})
	response, err := http.DefaultClient.Do(f.request(http.MethodPost, chatRoute, streamBody))
	f.submitted()
	return response, err
}

func TestStreamedToolCalls(t *testing.T) {
	f := newFixture(t, nil)
	outcome := answered
	outcome.ToolCalls = []byte(`[{"id":"c1","type":"function"},{"id":"c2"}]`)
	f.replyWith(outcome)
	response, err := http.DefaultClient.Do(f.request(http.MethodPost, chatRoute, streamBody))
	if err != nil {
		t.Fatal(err)
	}
	events := readEvents(t, response)
	calls := decodeChunk(t, events[1]).Choices[0].Delta.ToolCalls
	if string(calls) != `[{"id":"c1","index":0,"type":"function"},{"id":"c2","index":1}]` {
		t.Errorf("tool calls %s", calls)
	}
	_, body := f.do(http.MethodPost, chatRoute, chatBody)
	if !strings.Contains(body, `"tool_calls":[{"id":"c1","type":"function"},{"id":"c2"}]`) {
		t.Errorf("response without streaming %s", body)
	}
	for _, bad := range []string{"{", "[1]", "[null]", "{}"} {
		outcome.ToolCalls = []byte(bad)
		f.replyWith(outcome)
		for _, request := range []string{streamBody, chatBody} {
			response, body := f.do(http.MethodPost, chatRoute, request)
			checkProblem(t, response, body, structs.ReasonTargetFailed, http.StatusBadGateway, outcomeUnknown)
		}
	}
}

func TestEngineErrorIsForwarded(t *testing.T) {
	f := newFixture(t, nil)
	refusal := structs.Outcome{
		Kind: structs.OutcomeAnswered, Status: http.StatusBadRequest, ContentType: contentTypeJSON, Body: []byte(`{"error":"model"}`),
	}
	f.replyWith(refusal)
	for _, request := range []string{chatBody, streamBody} {
		response, body := f.do(http.MethodPost, chatRoute, request)
		if response.StatusCode != http.StatusBadRequest || body != `{"error":"model"}` || response.Header.Get(HeaderOutcome) != outcomeAnswered {
			t.Errorf("status %d: %s", response.StatusCode, body)
		}
	}
}

func TestLargeChunkDoesNotCutOffReadingCaller(t *testing.T) {
	f := newFixture(t, nil)
	outcome := answered
	outcome.Text = "a" + strings.Repeat("x", 2*DefaultMaxBuffer)
	f.core.reply = func(event structs.Event) []structs.Command {
		id := event.(structs.CallerSubmit).Request
		return []structs.Command{
			structs.ReplyChunk{Request: id, Chunk: structs.Chunk{Texts: []string{"a"}}},
			structs.ReplyChunk{Request: id, Chunk: structs.Chunk{First: 1, Texts: []string{outcome.Text[1:]}}},
			structs.ReplyOutcome{Request: id, Outcome: outcome},
		}
	}
	response, body := f.do(http.MethodPost, chatRoute, streamBody)
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(body, streamEnd) {
		t.Errorf("status %d, %d bytes", response.StatusCode, len(body))
	}
}
