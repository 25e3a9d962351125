package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/standin/ledger"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// serveChat runs a completion. It continues if the caller disconnects.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodyBytes))
	if err != nil {
		standin.DropConnection()
	}
	var chat wire.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil || len(chat.Messages) == 0 {
		standin.WriteError(w, http.StatusBadRequest, "the body must be a chat completion with messages")
		return
	}
	if s.injector.TakeFail() {
		standin.WriteError(w, http.StatusServiceUnavailable, "failed before running")
		return
	}
	started, ok := s.startChat(w, r, chat, body)
	if !ok {
		return
	}
	drop := s.injector.TakeDropReply()
	if chat.Stream {
		s.writeStream(w, r, started, 0, drop)
		return
	}
	s.writeReply(w, r, started, drop)
}

// startChat starts the stream of a chat, or returns the existing one to attach
// to. If it refuses the chat, it writes the response and returns false.
func (s *Server) startChat(w http.ResponseWriter, r *http.Request, chat wire.ChatRequest, body []byte) (*stream, bool) {
	program := r.Header.Get(wire.HeaderProgram)
	id := s.streamID(r)
	request := NewRequest(id, program, chat)
	now := time.Now()
	added := &stream{
		id:         id,
		model:      s.modelName(chat),
		created:    now,
		completion: Completion{Program: program, PromptHash: PromptHash(chat.Messages)},
		length:     request.limit(),
		changed:    make(chan struct{}),
	}
	existing, err := s.startStream(request, added, s.ledgerEntry(r, id, body, now))
	if err != nil {
		standin.WriteError(w, http.StatusConflict, err.Error())
		return nil, false
	}
	if existing == nil {
		return added, true
	}
	if !s.settings.AttachDuplicates {
		standin.WriteError(w, http.StatusConflict, "a stream with this id is known")
		return nil, false
	}
	return existing, true
}

// streamID returns the stream id that a request names, or a new one.
func (s *Server) streamID(r *http.Request) string {
	if id := r.Header.Get(wire.HeaderStream); id != "" {
		return id
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return s.settings.ID + "-stream-" + strconv.FormatUint(s.nextID, 10)
}

func (s *Server) modelName(chat wire.ChatRequest) string {
	if chat.Model != "" {
		return chat.Model
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.state.Model
}

// ledgerEntry returns the ledger entry of a chat. Its key is the idempotency
// key, or else the id of the stream.
func (s *Server) ledgerEntry(r *http.Request, streamID string, body []byte, now time.Time) wire.LedgerEntry {
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	if key == "" {
		key = streamID
	}
	return wire.LedgerEntry{
		TimeMS:   now.UnixMilli(),
		Target:   s.settings.ID,
		Program:  r.Header.Get(wire.HeaderProgram),
		Key:      key,
		Method:   r.Method,
		Path:     r.URL.Path,
		BodyHash: ledger.BodyHash(body),
	}
}

// serveResume sends a stream from the token index in the query on.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := standin.QueryNumber(r, "from")
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	found := s.findStream(r.PathValue("id"))
	if found == nil {
		standin.WriteError(w, http.StatusNotFound, "no such stream")
		return
	}
	const drop = false
	s.writeStream(w, r, found, int(from), drop)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.cancelStream(r.PathValue("id"))
	w.WriteHeader(http.StatusOK)
}

// writeReply waits until a stream ends, then sends the whole completion or,
// with drop, closes the connection.
func (s *Server) writeReply(w http.ResponseWriter, r *http.Request, st *stream, drop bool) {
	for {
		_, finished, changed := s.progress(st)
		if finished != nil && drop {
			standin.DropConnection()
		}
		if finished != nil {
			standin.WriteJSON(w, http.StatusOK, st.reply(*finished))
			return
		}
		s.wait(r, changed)
	}
}

// wait returns at the next change of a stream. If the caller disconnects or the
// engine closes, it drops the connection, so that no response looks complete.
func (s *Server) wait(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
		standin.DropConnection()
	case <-s.closing:
		standin.DropConnection()
	}
}
