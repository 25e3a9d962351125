package proofs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/standin/ledger"
	"github.com/banyanglade/banyanglade/internal/standin/service"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// chatRequest makes the request of a chat whose answer has so many tokens.
func chatRequest(call *Call, messages []wire.ChatMessage, tokens int, stream bool) request {
	call.Kind = Chat
	call.PromptTokens = promptTokens(messages)
	call.Want = engine.Completion{Program: call.Program, PromptHash: engine.PromptHash(messages)}.Text(0, tokens)
	call.BodyHash = engineBodyHash(messages, tokens)
	body := encode(wire.ChatRequest{
		Model: testkit.ModelService, Messages: messages, MaxTokens: tokens, Stream: stream,
	})
	return request{call: call, method: http.MethodPost, path: wire.ChatRoute, body: body}
}

// engineBodyHash is the hash of the body that an engine gets for a chat: the
// caller's fields in order of name, streamed.
func engineBodyHash(messages []wire.ChatMessage, tokens int) string {
	fields := map[string]any{
		"model": testkit.ModelService, "messages": messages, "max_tokens": tokens, "stream": true,
	}
	return ledger.BodyHash(append(encode(fields), '\n'))
}

// plainRequest makes the request of a call to a tool or plain service that
// takes the run time.
func plainRequest(call *Call, kind Kind, name, path string, runTime time.Duration) request {
	call.Kind = kind
	call.Path = path
	call.RunTime = runTime
	body := encode(map[string]string{"request": call.Key})
	call.BodyHash = ledger.BodyHash(body)
	address := fmt.Sprintf("/v1/services/%s%s?%s=%d", name, path, service.DelayParameter, runTime.Milliseconds())
	return request{call: call, method: http.MethodPost, path: address, body: body}
}

func toolRequest(call *Call, runTime time.Duration) request {
	return plainRequest(call, Tool, testkit.ToolService, uniquePath("tool", call), runTime)
}

func filingRequest(call *Call, fee int, runTime time.Duration) request {
	call.NotRepeatable = true
	call.Fee = fee
	return plainRequest(call, Filing, testkit.FilingService, uniquePath("filing", call), runTime)
}

// uniquePath names one call among all.
func uniquePath(what string, call *Call) string {
	return fmt.Sprintf("/%s/program-%s/%s", what, call.Program, call.Key)
}

// encode gives the JSON of a value that has one. HTML is not escaped, as in
// the bodies that callers send.
func encode(value any) []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		panic(err)
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n"))
}
