package httpapi

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Errors of decodeObject and decodeList.
var (
	errNotObject       = errors.New("expected an object")
	errNotList         = errors.New("expected a list")
	errTooManyElements = errors.New("too many elements")
	errDuplicateField  = errors.New("a field is given more than once")
	errTrailingJSON    = errors.New("more than one JSON value")
)

// decodeObject returns the fields of a JSON object without decoding their
// values. It rejects duplicate fields, which decoders handle differently, and
// stops at more fields than limit to bound its memory.
func decodeObject(body []byte, limit int) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := expectOpen(decoder, '{', errNotObject); err != nil {
		return nil, err
	}
	fields := make(map[string]json.RawMessage)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		// The token at the start of a field is a string.
		name, _ := token.(string)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, err
		}
		if _, repeated := fields[name]; repeated {
			return nil, errDuplicateField
		}
		if len(fields) == limit {
			return nil, errTooManyElements
		}
		fields[name] = value
	}
	return fields, expectEnd(decoder)
}

// decodeList returns the elements of a JSON list without decoding them. It
// rejects more than limit elements.
func decodeList(raw []byte, limit int) ([]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := expectOpen(decoder, '[', errNotList); err != nil {
		return nil, err
	}
	var list []json.RawMessage
	for decoder.More() {
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, err
		}
		if len(list) == limit {
			return nil, errTooManyElements
		}
		list = append(list, value)
	}
	return list, expectEnd(decoder)
}

func expectOpen(decoder *json.Decoder, open json.Delim, mismatch error) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != open {
		return mismatch
	}
	return nil
}

// expectEnd reads the closing delimiter and checks that nothing follows it.
func expectEnd(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingJSON
	}
	return nil
}

// decodeStrict decodes a JSON body into value and rejects unknown fields.
func decodeStrict(body []byte, value any) *Problem {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return refusal(structs.ReasonInvalid, "the body is not the JSON that the route expects: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return refusal(structs.ReasonInvalid, "the body holds more than one JSON value")
	}
	return nil
}
