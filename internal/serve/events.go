package serve

import (
	"bufio"
	"bytes"
	"io"
)

// eventBuffer is the size of a stream's read buffer, in bytes: a few events.
const eventBuffer = 2 << 10

// event is one complete server-sent event.
type event struct {
	// bytes is the event including its terminating blank line. It is valid until the
	// next event is read.
	bytes []byte
	// id is empty if the event has none.
	id string
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
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBuffer)}
}

// buffered reports whether another complete event is buffered.
func (e *eventReader) buffered() bool {
	if e.reader.Buffered() == 0 {
		return false
	}
	ahead, err := e.reader.Peek(e.reader.Buffered())
	return err == nil && bytes.Contains(ahead, []byte("\n\n"))
}

// next reads an event. It returns io.EOF at the end of a complete stream.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	id := ""
	for {
		line, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, line...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(e.buffer) > 0 {
			return event{}, errTruncatedEvent
		}
		if err != nil {
			return event{}, err
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return event{bytes: e.buffer, id: id}, nil
		}
		if value, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
