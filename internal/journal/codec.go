package journal

import (
	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"
)

// formatVersion is the first byte of every record.
const formatVersion = 1

// ErrRecord is returned for a record or snapshot that cannot be decoded. Readers
// skip and count such records.
var ErrRecord = errors.New("malformed journal record")

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := new(codec.CborHandle)
	// Equal values must encode to equal bytes so that simulations replay
	// deterministically from their seed.
	h.Canonical = true
	h.StructToArray = true
	return h
}

// Encode encodes a record as the format version and the kind, one byte each,
// followed by the header and the body in CBOR.
func Encode(r Record) []byte {
	out := []byte{formatVersion, byte(r.Body.Kind())}
	out = append(out, marshal(r.Header)...)
	return append(out, marshal(r.Body)...)
}

// Decode decodes a record. It returns ErrRecord if the data is malformed.
func Decode(data []byte) (Record, error) {
	if len(data) < 2 || data[0] != formatVersion {
		return Record{}, ErrRecord
	}
	r := Record{Body: newBody(Kind(data[1]))}
	if r.Body == nil {
		return Record{}, ErrRecord
	}
	dec := codec.NewDecoderBytes(data[2:], handle)
	if err := dec.Decode(&r.Header); err != nil {
		return Record{}, errors.Mark(err, ErrRecord)
	}
	if err := dec.Decode(r.Body); err != nil {
		return Record{}, errors.Mark(err, ErrRecord)
	}
	return r, nil
}

// marshal encodes a value. It panics on an error, since all types of this
// package are plain data.
func marshal(v any) []byte {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(v); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", v))
	}
	return out
}

// EncodeState encodes a snapshot of the state.
func EncodeState(s *State) []byte { return marshal(s) }

// DecodeState decodes a snapshot. It returns ErrRecord if it is malformed.
func DecodeState(data []byte) (*State, error) {
	s := NewState()
	if err := codec.NewDecoderBytes(data, handle).Decode(s); err != nil {
		return nil, errors.Mark(err, ErrRecord)
	}
	if !s.normalize() {
		return nil, ErrRecord
	}
	return s, nil
}
