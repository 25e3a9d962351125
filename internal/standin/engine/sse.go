package engine

import (
	"encoding/json"
	"net/http"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	eventStreamType = "text/event-stream"
	doneEvent       = "data: [DONE]\n\n"
)

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	w.Header().Set("Content-Type", eventStreamType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &eventWriter{w: w, flusher: http.NewResponseController(w)}
}

func (e *eventWriter) chunk(chunk wire.ChatChunk) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, err = e.w.Write([]byte("data: " + string(body) + "\n\n"))
	return err
}

func (e *eventWriter) done() error {
	_, err := e.w.Write([]byte(doneEvent))
	return err
}

func (e *eventWriter) flush() error {
	return e.flusher.Flush()
}

// writeStream sends the tokens of a stream from an index on as they are
// generated, then the last chunk and [DONE]. With drop, it closes the
// connection after half of the tokens. It returns early if the caller
// disconnects.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st *stream, from int, drop bool) {
	events := newEventWriter(w)
	if events.flush() != nil {
		return
	}
	for {
		generated, finished, changed := s.progress(st)
		if drop {
			generated = min(generated, st.length/2)
		}
		for ; from < generated; from++ {
			if events.chunk(st.chunk(from)) != nil {
				return
			}
		}
		if finished != nil && !drop {
			_ = events.chunk(st.lastChunk(*finished))
			_ = events.done()
			return
		}
		if events.flush() != nil {
			return
		}
		if drop && (from >= st.length/2 || finished != nil) {
			standin.DropConnection()
		}
		s.wait(r, changed)
	}
}
