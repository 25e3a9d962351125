package target

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	sseBuffer = 16 << 10
	// maxEvent is the size limit of a server-sent event, in bytes.
	maxEvent = 4 << 20
)

var errEventTooLarge = errors.New("server-sent event is too large")

// eventReader reads the data of server-sent events.
type eventReader struct{ buffered *bufio.Reader }

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{buffered: bufio.NewReaderSize(body, sseBuffer)}
}

// next returns the data of the next event that has data. At the end of the body it
// returns io.EOF and drops an incomplete event.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && data != nil {
			return data, nil
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if data != nil {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > maxEvent {
			return nil, errEventTooLarge
		}
	}
}

// line returns the next line without its line break.
func (r *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.buffered.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEvent {
			return nil, errEventTooLarge
		}
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// ready reports whether a complete event is buffered.
func (r *eventReader) ready() bool {
	pending, _ := r.buffered.Peek(r.buffered.Buffered())
	return bytes.Contains(pending, []byte("\n\n")) || bytes.Contains(pending, []byte("\n\r\n"))
}
