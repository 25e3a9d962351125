package framing

import "bytes"

// maxKeptBytes bounds the bytes kept of a line that arrives in several pieces. It exceeds
// the length of every line end, field name, number and version that is examined.
const maxKeptBytes = 256

// keep is the part of a long line that is kept.
type keep uint8

const (
	keepStart keep = iota
	keepEnd
)

// lineBuffer collects a line that arrives in several pieces.
type lineBuffer struct {
	kept []byte
	// total is the number of bytes of the line so far.
	total int
}

func (b *lineBuffer) reset() { b.kept, b.total = b.kept[:0], 0 }

// next reads p up to the end of a line. It returns the line without its line end if it is
// complete, and the number of bytes read. Of a line that arrives in several pieces only
// its start or its end is kept.
func (b *lineBuffer) next(p []byte, part keep) (line []byte, n int, complete bool) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		b.add(p, part)
		return nil, len(p), false
	}
	if b.total == 0 {
		return bytes.TrimSuffix(p[:end], []byte("\r")), end + 1, true
	}
	b.add(p[:end], part)
	if b.kept[len(b.kept)-1] == '\r' {
		b.kept = b.kept[:len(b.kept)-1]
	}
	return b.kept, end + 1, true
}

func (b *lineBuffer) add(p []byte, part keep) {
	b.total += len(p)
	if part == keepEnd {
		p = p[max(0, len(p)-maxKeptBytes):]
		excess := max(0, len(b.kept)+len(p)-maxKeptBytes)
		b.kept = append(b.kept[:copy(b.kept, b.kept[excess:])], p...)
		return
	}
	b.kept = append(b.kept, p[:min(len(p), maxKeptBytes-len(b.kept))]...)
}
