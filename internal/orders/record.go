package orders

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// recordVersion is the first byte of every record in a pool's stream.
const recordVersion = 1

// ErrMalformedRecord is returned for a record that cannot be decoded. Readers
// skip and count such records.
var ErrMalformedRecord = errors.New("malformed pool record")

// recordKind is the type of a record. Its numbers are part of the format.
type recordKind uint8

// Kinds of records.
const (
	// kindClaim makes its writer the controller of the pool.
	kindClaim recordKind = 1
	// kindLease permits the controller of the record's epoch to send orders to
	// targets that ignore fencing numbers, for Lease from when the append was
	// sent.
	kindLease recordKind = 2
)

// record is one record of a pool's stream.
type record struct {
	Kind  recordKind    `codec:"k"`
	Epoch structs.Epoch `codec:"e"`
	// Writer is unique per incarnation of a process, and Sequence per record of
	// a writer; a repeated append has the same Sequence.
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

// encode returns the encoded record.
func (r record) encode() []byte {
	var body []byte
	if err := codec.NewEncoderBytes(&body, handle).Encode(r); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode pool record"))
	}
	return append([]byte{recordVersion}, body...)
}

// decodeRecord decodes the record at an offset. It returns ErrMalformedRecord
// if the record is invalid.
func decodeRecord(offset uint64, data []byte) (record, error) {
	if len(data) == 0 || data[0] != recordVersion {
		return record{}, ErrMalformedRecord
	}
	var r record
	if err := codec.NewDecoderBytes(data[1:], handle).Decode(&r); err != nil {
		return record{}, errors.Mark(err, ErrMalformedRecord)
	}
	knownKind := r.Kind == kindClaim || r.Kind == kindLease
	// An epoch is at most the offset plus one, so that every later claim can
	// exceed every earlier one even if the log has dropped the earlier one.
	if !knownKind || uint64(r.Epoch) > offset+1 || r.Lease < 0 || r.Lease > maxLease {
		return record{}, ErrMalformedRecord
	}
	return r, nil
}
