package httpapi

import (
	"bytes"
	"slices"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func mustParseChat(t *testing.T, body string) *chatRequest {
	t.Helper()
	request, problem := parseChatRequest([]byte(body), DefaultMaxTokens)
	if problem != nil {
		t.Fatalf("%s: %s", body, problem.Detail)
	}
	return request
}

func TestMaxTokens(t *testing.T) {
	for fields, want := range map[string]int64{
		`"x":1`:                          defaultCompletionTokens,
		`"max_tokens":null`:              defaultCompletionTokens,
		`"max_tokens":7`:                 7,
		`"max_completion_tokens":8`:      8,
		`"max_tokens":9999999`:           DefaultMaxTokens,
		`"max_completion_tokens":999999`: DefaultMaxTokens,
	} {
		request := mustParseChat(t, chatBodyWithFields(fields))
		encoded, err := request.encode("model")
		if err != nil || request.maxTokens != want || mustParseChat(t, string(encoded)).maxTokens != want {
			t.Errorf("%s: %d, encoded %s", fields, request.maxTokens, encoded)
		}
		if bytes.Contains(encoded, []byte(fieldMaxCompletionTokens)) {
			t.Errorf("%s: two token limits in %s", fields, encoded)
		}
	}
}

func TestUnknownFieldsReachTheEngine(t *testing.T) {
	encoded, err := mustParseChat(t, chatBodyWithFields(`"temperature":0.25,"tools":[{"type":"function"}]`)).encode("m")
	if err != nil || !bytes.Contains(encoded, []byte(`"temperature":0.25`)) || !bytes.Contains(encoded, []byte(`"tools":[{"type":"function"}]`)) {
		t.Errorf("%s: %v", encoded, err)
	}
}

func TestContentForms(t *testing.T) {
	for content, want := range map[string]string{
		`"a"`: "a", `null`: "", `[{"type":"text","text":"a"},{"type":"text","text":"b"}]`: "ab", `[]`: "",
	} {
		request := mustParseChat(t, chatBodyWithMessages(`[{"role":"user","content":`+content+`}]`))
		if request.messages[0].Content != want {
			t.Errorf("%s: %q", content, request.messages[0].Content)
		}
	}
}

func TestHistoryChain(t *testing.T) {
	chain := func(list string) []structs.ChainDigest {
		return chainDigests(mustParseChat(t, chatBodyWithMessages(list)).messages)
	}
	base := chain(`[{"role":"user","content":"a"},{"role":"assistant","tool_calls":[{"id":"1","x":2}]}]`)
	longer := chain(`[{"role":"user","content":"a"},{"role":"assistant","content":null,"tool_calls":[ {"x":2, "id":"\u0031"} ]},{"role":"user","content":"b"}]`)
	if !slices.Equal(base, longer[:2]) {
		t.Error("a longer conversation does not extend its prefix")
	}
	for _, list := range []string{
		`[{"role":"user","content":"b"}]`, `[{"role":"system","content":"a"}]`,
		`[{"role":"use","content":"ra"}]`, `[{"role":"user","content":"a","name":"n"}]`,
		`[{"role":"user","content":"a","tool_call_id":"n"}]`, `[{"role":"user","content":"a","tool_calls":[1]}]`,
	} {
		if chain(list)[0] == base[0] {
			t.Errorf("%s has the digest of another message", list)
		}
	}
}

func TestRequestDigestCoversEveryField(t *testing.T) {
	base := requestDigest("s", "POST", "/p", "t", []byte("b"))
	for _, other := range []structs.Digest{
		requestDigest("s2", "POST", "/p", "t", []byte("b")), requestDigest("s", "PUT", "/p", "t", []byte("b")),
		requestDigest("s", "POST", "/p?", "t", []byte("b")), requestDigest("s", "POST", "/p", "tb", nil),
		requestDigest("s", "POST", "/p", "t", []byte("b2")),
	} {
		if other == base {
			t.Error("two requests have the same digest")
		}
	}
}

// FuzzChatRequest checks that any body is either rejected or parsed, and that the
// request encoded for the engine parses to the same values.
func FuzzChatRequest(f *testing.F) {
	for _, seed := range []string{
		chatBody, streamBody, chatBodyWithFields(`"max_completion_tokens":3`), chatBodyWithFields(`"n":1,"tools":[]`),
		chatBodyWithMessages(`[{"role":"assistant","content":null,"tool_calls":[{"id":"<","function":{"name":"f"}}]}]`),
		chatBodyWithMessages(`[{"role":"user","content":[{"type":"text","text":"\ud800"}]}]`),
		`{"messages":[{"role":"a","content":1}]}`, `{"\u0000":{}}`, `[`, `{"a":1,"a":2}`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		request, problem := parseChatRequest(body, DefaultMaxTokens)
		if problem != nil {
			if problem.Status != 400 || problem.Outcome != outcomeNotRun {
				t.Errorf("problem %+v", problem)
			}
			return
		}
		if request.maxTokens < 1 || request.maxTokens > DefaultMaxTokens || len(request.messages) == 0 {
			t.Errorf("request %+v", request)
		}
		encoded, err := request.encode(request.model)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, problem := parseChatRequest(encoded, DefaultMaxTokens)
		if problem != nil {
			t.Fatalf("%s: %s", encoded, problem.Detail)
		}
		if !slices.Equal(chainDigests(request.messages), chainDigests(reparsed.messages)) ||
			request.maxTokens != reparsed.maxTokens || request.stream != reparsed.stream || request.model != reparsed.model {
			t.Errorf("%s parses differently than %s", encoded, body)
		}
	})
}
