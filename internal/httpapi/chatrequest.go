package httpapi

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	roleSystem    = "system"
	roleAssistant = "assistant"
	maxRoleLength = 32
	textPartType  = "text"
	// maxSafeInteger is the largest integer that all JSON decoders represent
	// exactly.
	maxSafeInteger = 1 << 53

	maxFields       = 200
	maxMessages     = 10_000
	maxContentParts = 1000
	// maxToolCallBytes limits the encoded tool calls of one message.
	maxToolCallBytes = 256 << 10
)

// Fields of a chat request that the adapter reads. Others are forwarded to the
// engine unchanged.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldStream              = "stream"
	fieldTools               = "tools"
	fieldChoices             = "n"
)

var knownFields = []string{
	fieldModel, fieldMessages, fieldMaxTokens, fieldMaxCompletionTokens,
	fieldStream, fieldTools, fieldChoices,
}

// chatRequest is a validated chat completion request.
type chatRequest struct {
	model     string
	messages  []wire.ChatMessage
	tools     []byte
	maxTokens int64
	stream    bool
	// fields holds all top-level fields, to be forwarded to the engine.
	fields map[string]json.RawMessage
}

// parseChatRequest parses and validates a chat completion request. It caps
// maxTokens at limit.
func parseChatRequest(body []byte, limit int64) (*chatRequest, *Problem) {
	if !utf8.Valid(body) {
		return nil, refusal(structs.ReasonInvalid, "the body is not valid UTF-8")
	}
	fields, err := decodeObject(body, maxFields)
	if err != nil {
		return nil, refusal(structs.ReasonInvalid, "the body is not a JSON object: %v", err)
	}
	if problem := checkFieldCase(fields); problem != nil {
		return nil, problem
	}
	request := &chatRequest{fields: fields, tools: fields[fieldTools]}
	for _, parse := range []func() *Problem{
		request.parseModel, request.parseStream, request.parseChoices,
		request.parseMessages, func() *Problem { return request.parseMaxTokens(limit) },
	} {
		if problem := parse(); problem != nil {
			return nil, problem
		}
	}
	return request, nil
}

// checkFieldCase rejects a field that differs from a known one in case only,
// since an engine with a case-insensitive decoder would accept it as that field.
func checkFieldCase(fields map[string]json.RawMessage) *Problem {
	for name := range fields {
		for _, known := range knownFields {
			if name != known && strings.EqualFold(name, known) {
				return refusal(structs.ReasonInvalid, "field %q: expected %q", name, known)
			}
		}
	}
	return nil
}

func (r *chatRequest) parseModel() *Problem {
	return r.decode(fieldModel, &r.model, "a string")
}

func (r *chatRequest) parseStream() *Problem {
	return r.decode(fieldStream, &r.stream, "true or false")
}

// parseChoices rejects more than one choice, since the budget covers the tokens
// of one only.
func (r *chatRequest) parseChoices() *Problem {
	choices := int64(1)
	if problem := r.decode(fieldChoices, &choices, "1"); problem != nil {
		return problem
	}
	if choices != 1 {
		return refusal(structs.ReasonInvalid, "field %q: expected 1", fieldChoices)
	}
	return nil
}

func (r *chatRequest) parseMaxTokens(limit int64) *Problem {
	const expected = "a whole number greater than 0"
	r.maxTokens = min(defaultCompletionTokens, limit)
	for _, field := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		if r.absent(field) {
			continue
		}
		if problem := r.decode(field, &r.maxTokens, expected); problem != nil {
			return problem
		}
		if r.maxTokens <= 0 || r.maxTokens > maxSafeInteger {
			return refusal(structs.ReasonInvalid, "field %q: expected %s", field, expected)
		}
	}
	r.maxTokens = min(r.maxTokens, limit)
	return nil
}

func (r *chatRequest) parseMessages() *Problem {
	raw, err := decodeList(r.fields[fieldMessages], maxMessages)
	if err != nil || len(raw) == 0 {
		return refusal(structs.ReasonInvalid, "field %q: expected a list of 1 to %d messages", fieldMessages, maxMessages)
	}
	r.messages = make([]wire.ChatMessage, 0, len(raw))
	for i, one := range raw {
		message, problem := parseMessage(one, fieldMessages+"["+strconv.Itoa(i)+"]")
		if problem != nil {
			return problem
		}
		r.messages = append(r.messages, message)
	}
	return nil
}

func (r *chatRequest) absent(field string) bool {
	raw, ok := r.fields[field]
	return !ok || bytes.Equal(raw, []byte("null"))
}

// decode decodes a field into value, and leaves value unchanged if the field is
// absent or null.
func (r *chatRequest) decode(field string, value any, expected string) *Problem {
	if r.absent(field) {
		return nil
	}
	if err := json.Unmarshal(r.fields[field], value); err != nil {
		return refusal(structs.ReasonInvalid, "field %q: expected %s", field, expected)
	}
	return nil
}

// rawMessage is a message whose content and tool calls are not decoded yet.
type rawMessage struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content"`
	Name       string          `json:"name"`
	ToolCallID string          `json:"tool_call_id"`
	ToolCalls  json.RawMessage `json:"tool_calls"`
}

func parseMessage(raw []byte, path string) (wire.ChatMessage, *Problem) {
	var message rawMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return wire.ChatMessage{}, refusal(structs.ReasonInvalid, "%s: expected a message", path)
	}
	if message.Role == "" || len(message.Role) > maxRoleLength || !printable(message.Role) {
		return wire.ChatMessage{}, refusal(structs.ReasonInvalid, "%s.role: expected a role", path)
	}
	content, ok := parseContent(message.Content)
	if !ok {
		return wire.ChatMessage{}, refusal(structs.ReasonInvalid, "%s.content: expected a string or text parts", path)
	}
	calls, ok := parseToolCalls(message.ToolCalls)
	if !ok {
		return wire.ChatMessage{}, refusal(structs.ReasonInvalid, "%s.tool_calls: expected a list", path)
	}
	return wire.ChatMessage{
		Role: message.Role, Content: content, Name: message.Name,
		ToolCallID: message.ToolCallID, ToolCalls: calls,
	}, nil
}

// contentPart is one part of a message's content.
type contentPart struct {
	Type string  `json:"type"`
	Text *string `json:"text"`
}

// parseContent returns the text of a message's content: a string, null, or a
// list of text parts, which are joined.
func parseContent(raw []byte) (string, bool) {
	if len(raw) == 0 {
		return "", true
	}
	var text *string
	if json.Unmarshal(raw, &text) == nil {
		if text == nil {
			return "", true
		}
		return *text, true
	}
	parts, err := decodeList(raw, maxContentParts)
	if err != nil {
		return "", false
	}
	var joined strings.Builder
	for _, one := range parts {
		var part contentPart
		if json.Unmarshal(one, &part) != nil || part.Type != textPartType || part.Text == nil {
			return "", false
		}
		joined.WriteString(*part.Text)
	}
	return joined.String(), true
}

// parseToolCalls returns a list of tool calls in canonical form, so that the
// digest of a message does not depend on white space, escapes or the order of
// fields.
func parseToolCalls(raw []byte) ([]byte, bool) {
	if len(raw) == 0 {
		return nil, true
	}
	if len(raw) > maxToolCallBytes {
		return nil, false
	}
	var calls []any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if decoder.Decode(&calls) != nil {
		return nil, false
	}
	if len(calls) == 0 {
		return nil, true
	}
	canonical, err := json.Marshal(calls)
	return canonical, err == nil
}

// encode returns the request for the engine: the caller's fields, in which those
// that the adapter read have their parsed values.
func (r *chatRequest) encode(model string) ([]byte, error) {
	fields := make(map[string]any, len(r.fields))
	for name, value := range r.fields {
		fields[name] = value
	}
	delete(fields, fieldMaxCompletionTokens)
	fields[fieldModel] = model
	fields[fieldMessages] = r.messages
	fields[fieldMaxTokens] = r.maxTokens
	fields[fieldStream] = r.stream
	return json.Marshal(fields)
}
