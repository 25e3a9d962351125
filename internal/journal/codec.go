package journal

import (
	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"
)

// formatVersion is the first byte of every record.
const formatVersion = 1

// ErrRecord is the error of a record that cannot be decoded. Readers skip and
// count such records.
var ErrRecord = errors.New("malformed journal record")

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := new(codec.CborHandle)
	// Canonical keeps equal values equal in bytes, so that a run can be
	// replayed from its seed.
	h.Canonical = true
	h.StructToArray = true
	return h
}

// Encode gives the bytes of a record: the version, the kind, then header and
// body as CBOR.
func Encode(r Record) []byte {
	out := []byte{formatVersion, byte(r.Body.Kind())}
	out = append(out, marshal(r.Header)...)
	return append(out, marshal(r.Body)...)
}

// Decode reads a record. It returns ErrRecord for anything else.
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

// marshal encodes a value of this package; failing is a broken invariant,
// since all its types are plain data.
func marshal(v any) []byte {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(v); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", v))
	}
	return out
}

// EncodeState gives the bytes of a snapshot of the state.
func EncodeState(s *State) []byte { return marshal(s) }

// DecodeState reads a snapshot. It returns ErrRecord if it is malformed.
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
