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

// Copy is what an instance gives of its copy of a topic.
type Copy struct {
	// Whole tells that the giver knows the whole topic.
	Whole bool
	// From is the offset that the receiver asked from, Unread for all, Next the one to
	// ask from the next time: what the records between them say is in the copy.
	From int64
	Next int64
	// Packed are the records.
	Packed []byte
	// AgeMs is how long ago the giver knew that its copy was the newest, in
	// milliseconds; UnknownAge if that is not known.
	AgeMs int64
}

// UnknownAge stands in AgeMs for an age that is not known.
const UnknownAge = -1

const (
	// MaxCopyBytes bounds a copy before compression.
	MaxCopyBytes = 16 << 20
	// wholeCopyLife is how long a whole copy is given out before it is made anew:
	// what changed meanwhile is asked for next. It bounds the work of an instance
	// that many ask at once.
	wholeCopyLife = 2 * time.Second
)

// packs keeps what was packed last, as those who ask mostly know the same.
type packs struct {
	changed int64
	byFrom  map[int64][]byte
	// whole is the last copy from the beginning, made at a time.
	whole   Copy
	wholeAt time.Time
}

// Copy gives what is known from an offset on, or all of it, marked by Unread in From.
func (t *Topic) Copy(from int64, now time.Time) (Copy, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from < t.floor {
		// What was dropped between is not known here.
		return t.wholeCopy(now)
	}
	c := Copy{Whole: t.known, From: from, Next: t.next, AgeMs: t.ageMs(now)}
	if t.changed < from {
		return c, nil
	}
	if t.packs.byFrom == nil || t.packs.changed != t.changed {
		t.packs.byFrom, t.packs.changed = make(map[int64][]byte), t.changed
	}
	packed, ok := t.packs.byFrom[from]
	if !ok {
		var err error
		if packed, err = pack(t.since(from)); err != nil {
			return Copy{}, err
		}
		t.packs.byFrom[from] = packed
	}
	c.Packed = packed
	return c, nil
}

// wholeCopy gives all that is known, or was known lately. The mutex is held.
func (t *Topic) wholeCopy(now time.Time) (Copy, error) {
	whole, made := t.packs.whole, t.packs.wholeAt
	if whole.Whole && now.Sub(made) < wholeCopyLife {
		if whole.AgeMs >= 0 {
			whole.AgeMs += now.Sub(made).Milliseconds()
		}
		return whole, nil
	}
	packed, err := pack(t.since(FromStart))
	if err != nil {
		return Copy{}, err
	}
	t.packs.whole = Copy{Whole: t.known, From: FromStart, Next: t.next, Packed: packed, AgeMs: t.ageMs(now)}
	t.packs.wholeAt = now
	return t.packs.whole, nil
}

func (t *Topic) ageMs(now time.Time) int64 {
	if t.confirmed.IsZero() {
		return UnknownAge
	}
	return t.age(now).Milliseconds()
}

// since lists the records whose content began at or behind an offset, dropped keys
// among them; for Unread all that are there. The mutex is held.
func (t *Topic) since(from int64) []platform.Record {
	var records []platform.Record
	for _, r := range t.newest {
		if r.since >= from && (from >= 0 || len(r.Value) > 0) {
			records = append(records, r.Record)
		}
	}
	return records
}

// MergeCopy merges a copy that was asked for at a time, from at most Next on. It returns
// how many records changed something.
func (t *Topic) MergeCopy(c Copy, asked time.Time) (int, error) {
	records, err := unpack(c.Packed)
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := 0
	switch {
	case c.Whole && c.From < 0:
		taken = t.replace(platform.Newest{Records: records, End: c.Next})
	case c.Whole && t.known && c.From <= t.next:
		taken = t.merge(records)
		t.next = max(t.next, c.Next)
	default:
		taken = t.merge(records)
	}
	if taken > 0 {
		t.move()
	}
	// A copy that ends before what is known says nothing of what came behind it.
	if c.Whole && c.AgeMs >= 0 && c.Next >= t.next {
		t.confirm(asked.Add(-time.Duration(c.AgeMs) * time.Millisecond))
	}
	return taken, nil
}

// packedRecord is a record in a copy.
type packedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

var packing = newPacking()

func newPacking() *codec.CborHandle {
	h := new(codec.CborHandle)
	h.StructToArray = true
	h.MaxInitLen = 1024 // elements allocated ahead on the word of a length field
	return h
}

// pack encodes and compresses records, which mostly differ little from each other.
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
	if err := codec.NewEncoder(compressor, packing).Encode(rows); err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return packed.Bytes(), nil
}

// unpack decodes what pack made.
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
		return nil, errors.Newf("a copy of more than %d bytes", MaxCopyBytes)
	}
	var rows []packedRecord
	if err := codec.NewDecoderBytes(data, packing).Decode(&rows); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	records := make([]platform.Record, len(rows))
	for i, r := range rows {
		records[i] = platform.Record(r)
	}
	return records, nil
}

// Encode encodes a copy.
func (c Copy) Encode() ([]byte, error) {
	var value []byte
	err := codec.NewEncoderBytes(&value, packing).Encode(c)
	return value, errors.Wrap(err, "encode a copy")
}

// DecodeCopy decodes a copy and checks its records.
func DecodeCopy(value []byte) (Copy, error) {
	var c Copy
	if err := codec.NewDecoderBytes(value, packing).Decode(&c); err != nil {
		return Copy{}, errors.Wrap(err, "decode a copy")
	}
	if len(c.Packed) == 0 {
		return Copy{}, errors.New("a copy without records")
	}
	if _, err := unpack(c.Packed); err != nil {
		return Copy{}, err
	}
	return c, nil
}
