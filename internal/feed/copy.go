package feed

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"

	"github.com/banyanglade/banyanglade/platform"
)

// Copy is a topic's records from an offset on, as passed between instances and kept in
// the store.
type Copy struct {
	// Whole indicates that the sender has loaded the whole topic.
	Whole bool
	// From is the offset that the receiver requested, FromStart for the whole topic. Next
	// is the offset for its next request. The copy contains the effect of all records
	// between them.
	From int64
	Next int64
	// Packed holds the encoded and compressed records.
	Packed []byte
	// AgeMs is how long ago the sender's copy was last known to be current, in
	// milliseconds, or UnknownAge.
	AgeMs int64
}

// UnknownAge is the value of AgeMs for an unknown age.
const UnknownAge = -1

const (
	// MaxCopyBytes bounds a copy before compression.
	MaxCopyBytes = 16 << 20
	// wholeCopyTTL is how long an encoded copy of the whole topic is reused. Receivers
	// fetch later changes with their next query. It bounds the encoding work when many
	// instances start at once.
	wholeCopyTTL = 2 * time.Second
)

// copyCache caches encoded copies, since most receivers request the same offset.
type copyCache struct {
	lastChanged int64
	byFrom      map[int64][]byte
	// whole is the last copy of the whole topic, encoded at wholeMadeAt.
	whole       Copy
	wholeMadeAt time.Time
}

// Copy returns the records from an offset on. It returns the whole topic, with FromStart
// in From, if the offset is FromStart or lies before the first one for which dropped keys
// are known.
func (t *Topic) Copy(from int64, now time.Time) (Copy, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from < t.floor {
		// Keys dropped between from and floor are not known here.
		return t.wholeCopy(now)
	}
	c := Copy{Whole: t.loaded, From: from, Next: t.nextOffset, AgeMs: t.ageMs(now)}
	if t.lastChanged < from {
		return c, nil
	}
	if t.cache.byFrom == nil || t.cache.lastChanged != t.lastChanged {
		t.cache.byFrom, t.cache.lastChanged = make(map[int64][]byte), t.lastChanged
	}
	packed, ok := t.cache.byFrom[from]
	if !ok {
		var err error
		if packed, err = pack(t.recordsSince(from)); err != nil {
			return Copy{}, err
		}
		t.cache.byFrom[from] = packed
	}
	c.Packed = packed
	return c, nil
}

// wholeCopy returns a copy of the whole topic that is at most wholeCopyTTL old. t.mu is
// held.
func (t *Topic) wholeCopy(now time.Time) (Copy, error) {
	whole, made := t.cache.whole, t.cache.wholeMadeAt
	if whole.Whole && now.Sub(made) < wholeCopyTTL {
		if whole.AgeMs >= 0 {
			whole.AgeMs += now.Sub(made).Milliseconds()
		}
		return whole, nil
	}
	packed, err := pack(t.recordsSince(FromStart))
	if err != nil {
		return Copy{}, err
	}
	t.cache.whole = Copy{Whole: t.loaded, From: FromStart, Next: t.nextOffset, Packed: packed, AgeMs: t.ageMs(now)}
	t.cache.wholeMadeAt = now
	return t.cache.whole, nil
}

func (t *Topic) ageMs(now time.Time) int64 {
	if t.confirmedAt.IsZero() {
		return UnknownAge
	}
	return t.age(now).Milliseconds()
}

// recordsSince lists the records whose content began at or after an offset, including
// dropped keys; for FromStart it lists all keys that are present. t.mu is held.
func (t *Topic) recordsSince(from int64) []platform.Record {
	var records []platform.Record
	for _, r := range t.newest {
		if r.firstOffset >= from && (from >= 0 || len(r.Value) > 0) {
			records = append(records, r.Record)
		}
	}
	return records
}

// MergeCopy merges a copy that was requested at the given time, from NextOffset or an
// earlier offset on. It returns the number of records that changed the content.
func (t *Topic) MergeCopy(c Copy, requestedAt time.Time) (int, error) {
	records, err := unpack(c.Packed)
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	merged := 0
	switch {
	case c.Whole && c.From < 0:
		merged = t.replace(platform.Newest{Records: records, End: c.Next})
	case c.Whole && t.loaded && c.From <= t.nextOffset:
		merged = t.merge(records)
		t.nextOffset = max(t.nextOffset, c.Next)
	default:
		merged = t.merge(records)
	}
	if merged > 0 {
		t.notify()
	}
	// A copy that ends before nextOffset does not confirm the records behind its end.
	if c.Whole && c.AgeMs >= 0 && c.Next >= t.nextOffset {
		t.confirm(requestedAt.Add(-time.Duration(c.AgeMs) * time.Millisecond))
	}
	return merged, nil
}

// packedRecord is the encoded form of a record in a copy.
type packedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

var recordCodec = newRecordCodec()

func newRecordCodec() *codec.CborHandle {
	h := new(codec.CborHandle)
	h.StructToArray = true
	h.MaxInitLen = 1024 // bounds what a forged length field allocates
	return h
}

// pack encodes and compresses records.
func pack(records []platform.Record) ([]byte, error) {
	if len(records) == 0 {
		return nil, nil
	}
	rows := make([]packedRecord, len(records))
	for i, r := range records {
		rows[i] = packedRecord(r)
	}
	var packed bytes.Buffer
	compressor := gzip.NewWriter(&packed)
	if err := codec.NewEncoder(compressor, recordCodec).Encode(rows); err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return packed.Bytes(), nil
}

// unpack decodes the output of pack.
func unpack(packed []byte) ([]platform.Record, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	plain, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	data, err := io.ReadAll(io.LimitReader(plain, MaxCopyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	if len(data) > MaxCopyBytes {
		return nil, errors.Newf("copy exceeds %d bytes", MaxCopyBytes)
	}
	var rows []packedRecord
	if err := codec.NewDecoderBytes(data, recordCodec).Decode(&rows); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	records := make([]platform.Record, len(rows))
	for i, r := range rows {
		records[i] = platform.Record(r)
	}
	return records, nil
}

// Encode returns the encoded copy.
func (c Copy) Encode() ([]byte, error) {
	var value []byte
	err := codec.NewEncoderBytes(&value, recordCodec).Encode(c)
	return value, errors.Wrap(err, "encode copy")
}

// DecodeCopy decodes a copy and validates its records.
func DecodeCopy(value []byte) (Copy, error) {
	var c Copy
	if err := codec.NewDecoderBytes(value, recordCodec).Decode(&c); err != nil {
		return Copy{}, errors.Wrap(err, "decode copy")
	}
	if len(c.Packed) == 0 {
		return Copy{}, errors.New("copy contains no records")
	}
	if _, err := unpack(c.Packed); err != nil {
		return Copy{}, err
	}
	return c, nil
}
