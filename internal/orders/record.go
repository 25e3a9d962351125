package orders

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// recordVersion is the first byte of every record of a pool's stream.
const recordVersion = 1

// ErrMalformedRecord is the error of a record that cannot be decoded. Readers skip and
// count such records.
var ErrMalformedRecord = errors.New("malformed pool record")

// recordKind tags a record. Numbers are part of the format.
type recordKind uint8

// Kinds of records.
const (
	// kindClaim makes its writer the controller of the pool.
	kindClaim recordKind = 1
	// kindLease lets the controller of the record's epoch give orders to
	// targets that ignore fencing numbers, for Lease from the send.
	kindLease recordKind = 2
)

// record is one record of a pool's stream.
type record struct {
	Kind  recordKind    `codec:"k"`
	Epoch structs.Epoch `codec:"e"`
	// Writer is unique for each start of a process, and Sequence for each
	// record of a writer; a repeat of an append has the same.
	Writer   string             `codec:"w"`
	Sequence uint64             `codec:"s"`
	Instance structs.InstanceID `codec:"i"`
	// Lease is the longest lease that the writer takes in this epoch.
	Lease time.Duration `codec:"l"`
}

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := new(codec.CborHandle)
	h.Canonical = true
	return h
}

// encode gives the bytes of a record.
func (r record) encode() []byte {
	var body []byte
	if err := codec.NewEncoderBytes(&body, handle).Encode(r); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode a pool record"))
	}
	return append([]byte{recordVersion}, body...)
}

// decodeRecord reads the record at an offset. It returns ErrMalformedRecord for anything
// else.
func decodeRecord(offset uint64, data []byte) (record, error) {
	if len(data) == 0 || data[0] != recordVersion {
		return record{}, ErrMalformedRecord
	}
	var r record
	if err := codec.NewDecoderBytes(data[1:], handle).Decode(&r); err != nil {
		return record{}, errors.Mark(err, ErrMalformedRecord)
	}
	knownKind := r.Kind == kindClaim || r.Kind == kindLease
	// An epoch is at most the offset plus one: so every later claim is above
	// every earlier one, even if the log has dropped the earlier one.
	if !knownKind || uint64(r.Epoch) > offset+1 || r.Lease < 0 || r.Lease > maxLease {
		return record{}, ErrMalformedRecord
	}
	return r, nil
}
