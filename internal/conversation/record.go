package conversation

import (
	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// topic holds one record per turn, keyed by the turn's ID.
const topic = platform.KeyedPrefix + "turns"

// recordVersion is the first byte of a record's value.
const recordVersion = 1

// recordHandle encodes turns as CBOR arrays, which are more compact than JSON.
var recordHandle = newRecordHandle()

func newRecordHandle() *codec.CborHandle {
	h := new(codec.CborHandle)
	h.StructToArray = true
	return h
}

// encodeTurn encodes a turn as a record.
func encodeTurn(turn structs.StoredTurn) (platform.Record, error) {
	value := []byte{recordVersion}
	var body []byte
	if err := codec.NewEncoderBytes(&body, recordHandle).Encode(turn); err != nil {
		return platform.Record{}, errors.Wrapf(err, "encode turn %s", turn.ID)
	}
	return platform.Record{Key: turn.ID, Value: append(value, body...)}, nil
}

// decodeTurn decodes the record of a turn. It fails for records of another
// version.
func decodeTurn(record platform.Record) (structs.StoredTurn, error) {
	var turn structs.StoredTurn
	if len(record.Value) == 0 || record.Value[0] != recordVersion {
		return turn, errors.Newf("record of turn %s has an unknown version", record.Key)
	}
	if err := codec.NewDecoderBytes(record.Value[1:], recordHandle).Decode(&turn); err != nil {
		return turn, errors.Wrapf(err, "decode turn %s", record.Key)
	}
	if turn.ID != record.Key {
		return turn, errors.Newf("record of turn %s contains turn %s", record.Key, turn.ID)
	}
	return turn, nil
}

func encodeTurns(turns []structs.StoredTurn) ([]platform.Record, error) {
	records := make([]platform.Record, 0, len(turns))
	for _, turn := range turns {
		record, err := encodeTurn(turn)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
