package framing

import (
	"bytes"
	"strconv"
)

// maxLengthFieldBytes bounds the lines of the fields that define the length of a body, so
// that they are kept whole if they arrive in several pieces.
const maxLengthFieldBytes = maxKeptBytes - len("\r\n")

// bodyLength collects the header fields that define the length of a body.
type bodyLength struct {
	// noChunks indicates a version of HTTP without Transfer-Encoding.
	noChunks bool
	chunked  bool
	// hasLength indicates a Content-Length field, bytes is its value.
	hasLength bool
	bytes     uint64
	malformed bool
	// folded indicates that one of the fields continues on the next line, which
	// recipients join in different ways.
	folded bool
	// lastDefines indicates that the last field was one of these.
	lastDefines bool
}

// addField handles a line of the header.
func (l *bodyLength) addField(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		l.folded = l.folded || l.lastDefines
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	l.lastDefines = false
	switch {
	case bytes.EqualFold(name, []byte(encodingField)):
		l.chunked, l.lastDefines = true, true
	case bytes.EqualFold(name, []byte(lengthField)):
		l.lastDefines = true
		l.addLength(string(bytes.Trim(value, " \t")))
	}
	if l.lastDefines && len(line) > maxLengthFieldBytes {
		l.malformed = true
	}
}

func (l *bodyLength) addLength(value string) {
	size, err := strconv.ParseUint(value, 10, 63)
	if err != nil || (l.hasLength && size != l.bytes) {
		l.malformed = true
	}
	l.hasLength, l.bytes = true, size
}

// err returns why the length of the body is not well-defined, nil if it is.
func (l *bodyLength) err() error {
	switch {
	case l.chunked && (l.hasLength || l.noChunks), l.folded:
		return ErrAmbiguousLength
	case l.malformed:
		return ErrMalformedLength
	}
	return nil
}
