package settings

import (
	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"
)

// recordVersion is the first byte of each record of the settings stream.
const recordVersion = 1

// ErrRecord is returned for a record that cannot be decoded or exceeds a limit.
var ErrRecord = errors.New("malformed settings record")

// record is one record of the settings stream: either changes that apply together or a
// snapshot.
type record struct {
	Changes  []recordChange `codec:"c,omitempty"`
	Snapshot *snapshot      `codec:"s,omitempty"`
}

// recordChange is a change of one path. An empty value removes it.
type recordChange struct {
	Path     string `codec:"p"`
	Base     uint64 `codec:"b,omitempty"`
	Value    []byte `codec:"v,omitempty"`
	ChangeID string `codec:"i"`
	Author   string `codec:"a,omitempty"`
	// TimeMS is the author's wall clock in Unix milliseconds.
	TimeMS int64 `codec:"t,omitempty"`
}

var cborHandle = newCBORHandle()

func newCBORHandle() *codec.CborHandle {
	const maxDepth, maxInitialLength = 16, 1024
	handle := new(codec.CborHandle)
	handle.MaxDepth = maxDepth
	handle.MaxInitLen = maxInitialLength
	handle.Canonical = true
	return handle
}

func encodeRecord(r record) ([]byte, error) {
	data, err := encodeCBOR(&r)
	if err != nil {
		return nil, err
	}
	return append([]byte{recordVersion}, data...), nil
}

// decodeRecord decodes a record and checks the limits that hold for all records.
func decodeRecord(data []byte) (record, error) {
	if len(data) == 0 || len(data) > MaxRecordBytes || data[0] != recordVersion {
		return record{}, errors.Wrap(ErrRecord, "invalid size or version")
	}
	var r record
	if err := decodeCBOR(data[1:], &r); err != nil {
		return record{}, err
	}
	if (r.Snapshot == nil) == (len(r.Changes) == 0) {
		return record{}, errors.Wrap(ErrRecord, "expected either changes or a snapshot")
	}
	if r.Snapshot != nil {
		return r, r.Snapshot.check()
	}
	return r, checkChanges(r.Changes)
}

// checkChanges checks limits that only a faulty program exceeds. All instances skip
// such a record.
func checkChanges(changes []recordChange) error {
	if len(changes) > MaxChanges {
		return errors.Wrap(ErrRecord, "too many changes")
	}
	seen := make(map[string]bool, len(changes))
	for _, change := range changes {
		if err := checkPath(change.Path); err != nil {
			return errors.Mark(err, ErrRecord)
		}
		if seen[change.Path] {
			return errors.Wrap(ErrRecord, "path changed twice")
		}
		seen[change.Path] = true
		if change.ChangeID == "" || len(change.ChangeID) > MaxChangeIDBytes ||
			len(change.Author) > MaxChangeIDBytes || len(change.Value) > MaxValueBytes {
			return errors.Wrap(ErrRecord, "field too long or change id missing")
		}
	}
	return nil
}

func encodeCBOR(v any) ([]byte, error) {
	var data []byte
	if err := codec.NewEncoderBytes(&data, cborHandle).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	return data, nil
}

func decodeCBOR(data []byte, v any) error {
	if err := codec.NewDecoderBytes(data, cborHandle).Decode(v); err != nil {
		return errors.Mark(errors.Wrap(err, "decode settings"), ErrRecord)
	}
	return nil
}
