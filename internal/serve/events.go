package serve

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

const (
	// eventBuffer is the size of a stream's read buffer, in bytes: a few events.
	eventBuffer = 2 << 10
	// maxEventBytes bounds an event, which is held until it is complete.
	maxEventBytes = 256 << 10
)

// errEventTooLong indicates that a target sent an event that exceeds maxEventBytes.
var errEventTooLong = errors.New("an event of the stream is too long")

// responsePrefix begins the status line of a response. No field of an event has the name.
var responsePrefix = []byte("HTTP/1.")

// errResponseInStream indicates that a target sent another response behind the events of a
// stream without a length.
var errResponseInStream = errors.New("the stream contains another response")

// event is one complete server-sent event.
type event struct {
	// bytes is the event including its terminating blank line. It is valid until the
	// next event is read.
	bytes []byte
	// id is empty if the event has none.
	id string
}

// hasData reports whether the event has data. One without is a comment.
func (e event) hasData() bool {
	for line := range bytes.Lines(e.bytes) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// data joins the data lines with line feeds.
func (e event) data() []byte {
	var data []byte
	first := true
	for line := range bytes.Lines(e.bytes) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !ok {
			continue
		}
		if !first {
			data = append(data, '\n')
		}
		first = false
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return data
}

// eventReader splits a stream into complete events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	// held accounts for the memory of long events.
	held *memlimit.Account
}

func newEventReader(body io.Reader, held *memlimit.Account) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBuffer), buffer: make([]byte, 0, eventBuffer), held: held}
}

// add appends to the current event.
func (e *eventReader) add(line []byte) error {
	size := len(e.buffer) + len(line)
	if size > maxEventBytes {
		return errEventTooLong
	}
	if size > cap(e.buffer) {
		grown := make([]byte, len(e.buffer), 2*size)
		if err := e.held.Reserve(int64(cap(grown) - cap(e.buffer))); err != nil {
			return err
		}
		copy(grown, e.buffer)
		e.buffer = grown
	}
	e.buffer = append(e.buffer, line...)
	return nil
}

// buffered reports whether another complete event is buffered.
func (e *eventReader) buffered() bool {
	if e.reader.Buffered() == 0 {
		return false
	}
	ahead, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && bytes.Contains(ahead, []byte("\n\n"))
}

// next reads an event. It returns io.EOF at the end of a complete stream, and a
// *memlimit.LimitError or errEventTooLong if the event cannot be held, and
// errResponseInStream if another response begins there.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	id := ""
	atLineStart := true
	for {
		line, err := e.reader.ReadSlice('\n')
		if addErr := e.add(line); addErr != nil {
			return event{}, addErr
		}
		if err == bufio.ErrBufferFull {
			atLineStart = false
			continue
		}
		if err == io.EOF && len(e.buffer) > 0 {
			return event{}, errTruncatedEvent
		}
		if err != nil {
			return event{}, err
		}
		if !atLineStart {
			atLineStart = true
			continue
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return event{bytes: e.buffer, id: id}, nil
		}
		if bytes.HasPrefix(content, responsePrefix) {
			return event{}, errResponseInStream
		}
		if value, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
