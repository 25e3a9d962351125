// Package framing finds the ends of the HTTP/1 messages in a stream of bytes, without
// regard to the pieces in which the bytes arrive. It rejects headers that other
// recipients on the path may delimit differently, which would let a caller hide a request
// in the body of another one (request smuggling).
package framing

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Errors returned by Scanner.Scan.
var (
	// ErrAmbiguousLength indicates a header with both Content-Length and
	// Transfer-Encoding, with Transfer-Encoding in HTTP/1.0, or with one of these
	// fields folded over several lines.
	ErrAmbiguousLength = errors.New("the header defines the length of the body in more than one way")
	// ErrMalformedLength indicates a Content-Length that is not a number, or several
	// that differ.
	ErrMalformedLength = errors.New("malformed Content-Length")
	// ErrMalformedChunk indicates a chunk without a valid size or end.
	ErrMalformedChunk = errors.New("malformed chunk")
)

const (
	lengthField   = "content-length"
	encodingField = "transfer-encoding"
	// versionWithoutChunks is the version whose recipients ignore Transfer-Encoding.
	versionWithoutChunks = " HTTP/1.0"
	// maxSizeDigits is the maximum number of hexadecimal digits of a chunk's size.
	maxSizeDigits = 16
)

// state is the part of a message that is read.
type state uint8

const (
	// betweenMessages: only line ends since the last message.
	betweenMessages state = iota
	inRequestLine
	inHeader
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Scanner follows the requests on one connection. The zero value is ready for use. It is
// not safe for concurrent use.
type Scanner struct {
	state state
	line  lineBuffer
	// headers is the number of complete request headers, fields the number of lines of the
	// last one.
	headers int64
	fields  int
	// blank is the number of bytes of empty lines before the current message.
	blank int
	// remaining is the number of bytes left of the body or chunk.
	remaining uint64
	length    bodyLength
	err       error
}

// Headers returns the number of complete request headers so far.
func (s *Scanner) Headers() int64 { return s.headers }

// Fields returns the number of lines of the last request header, without the request line.
func (s *Scanner) Fields() int { return s.fields }

// Blank returns the number of bytes of empty lines before the current or next message.
func (s *Scanner) Blank() int { return s.blank }

// InBody reports whether the next bytes belong to a body, or to the chunks and trailer of
// one.
func (s *Scanner) InBody() bool { return s.state >= inBody }

// Scan reads the next bytes of the connection, up to the end of a header, of a message or
// of empty lines before one. It returns the number of bytes read. If a header or chunk is
// rejected that is up to the end of that header or line, and Scan returns the reason.
func (s *Scanner) Scan(p []byte) (int, error) {
	at := 0
	for at < len(p) && s.err == nil {
		state, headers := s.state, s.headers
		n := s.step(p[at:])
		at += n
		started := state == betweenMessages && n == 0 && at > 0
		ended := state != betweenMessages && s.state == betweenMessages
		if started || ended || s.headers > headers {
			break
		}
	}
	return at, s.err
}

// step reads the next part of p and returns its length, which is 0 if only the state
// changes.
func (s *Scanner) step(p []byte) int {
	switch s.state {
	case betweenMessages:
		if p[0] == '\r' || p[0] == '\n' {
			s.blank++
			return 1
		}
		s.state, s.length, s.fields = inRequestLine, bodyLength{}, 0
		return 0
	case inBody, inChunk:
		n := min(s.remaining, uint64(len(p)))
		s.remaining -= n
		if s.remaining == 0 {
			s.endBytes()
		}
		return int(n)
	}
	line, n, complete := s.line.next(p, s.keep())
	if complete {
		s.endLine(line)
		s.line.reset()
	}
	return n
}

// keep returns which part of the current line is needed.
func (s *Scanner) keep() keep {
	if s.state == inRequestLine {
		return keepEnd
	}
	return keepStart
}

// endBytes ends a body of known length or the data of a chunk.
func (s *Scanner) endBytes() {
	if s.state == inChunk {
		s.state = inChunkEnd
		return
	}
	s.state = betweenMessages
}

// endLine handles a line without its line end.
func (s *Scanner) endLine(line []byte) {
	switch s.state {
	case inRequestLine:
		s.length.noChunks = bytes.HasSuffix(line, []byte(versionWithoutChunks))
		s.state = inHeader
	case inHeader:
		if len(line) > 0 {
			s.fields++
			s.length.addField(line)
			return
		}
		s.endHeader()
	case inChunkSize:
		s.startChunk(line)
	case inChunkEnd:
		s.state = inChunkSize
		if len(line) > 0 {
			s.err = ErrMalformedChunk
		}
	case inTrailer:
		if len(line) == 0 {
			s.state = betweenMessages
		}
	}
}

func (s *Scanner) endHeader() {
	s.headers++
	s.blank = 0
	s.err = s.length.err()
	s.remaining = s.length.bytes
	switch {
	case s.length.chunked:
		s.state = inChunkSize
	case s.remaining > 0:
		s.state = inBody
	default:
		s.state = betweenMessages
	}
}

// startChunk handles the line with the size of a chunk.
func (s *Scanner) startChunk(line []byte) {
	size, err := chunkSize(line)
	switch {
	case err != nil:
		s.err = err
	case size == 0:
		s.state = inTrailer
	default:
		s.state, s.remaining = inChunk, size
	}
}

// chunkSize decodes the size of a chunk, which extensions may follow.
func chunkSize(line []byte) (uint64, error) {
	digits := line
	if end := bytes.IndexAny(line, "; \t"); end >= 0 {
		digits = line[:end]
	}
	if len(digits) > maxSizeDigits {
		return 0, errors.Wrapf(ErrMalformedChunk, "size of %d digits", len(digits))
	}
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrMalformedChunk, "size %q", digits)
	}
	return size, nil
}
