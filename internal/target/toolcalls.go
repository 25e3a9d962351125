package target

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// maxToolCalls is the maximum number of tool calls in a response.
const maxToolCalls = 1024

// toolCall is a tool call of a chat response, or a delta of one.
type toolCall struct {
	Index    *int         `json:"index,omitempty"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// toolCalls assembles tool calls from their deltas.
type toolCalls struct{ calls []toolCall }

// merge adds an encoded array of deltas. Each belongs to the call with its index;
// one without an index starts a new call.
func (t *toolCalls) merge(encoded []byte) error {
	var deltas []toolCall
	if err := json.Unmarshal(encoded, &deltas); err != nil {
		return errors.Wrap(err, "tool call delta")
	}
	for _, delta := range deltas {
		if err := t.mergeOne(delta); err != nil {
			return err
		}
	}
	return nil
}

func (t *toolCalls) mergeOne(delta toolCall) error {
	index := len(t.calls)
	if delta.Index != nil {
		index = *delta.Index
	}
	if index < 0 || index > len(t.calls) || index >= maxToolCalls {
		return errors.Newf("tool call delta with index %d after %d calls", index, len(t.calls))
	}
	if index == len(t.calls) {
		t.calls = append(t.calls, toolCall{})
	}
	call := &t.calls[index]
	call.ID += delta.ID
	call.Function.Name += delta.Function.Name
	call.Function.Arguments += delta.Function.Arguments
	if delta.Type != "" {
		call.Type = delta.Type
	}
	return nil
}

// encode returns the calls as a JSON array, nil if there are none.
func (t *toolCalls) encode() []byte {
	if len(t.calls) == 0 {
		return nil
	}
	encoded, err := json.Marshal(t.calls)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode tool calls"))
	}
	return encoded
}
