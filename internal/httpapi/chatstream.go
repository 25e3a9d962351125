package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	contentTypeEvents = "text/event-stream"
	streamEnd         = "data: [DONE]\n\n"
)

// errTextMismatch means that the text of an outcome does not start with the
// pieces already sent to the caller.
var errTextMismatch = errors.New("the answer differs from the part already sent")

// streamChat serves a streamed chat completion. A failure before the first piece
// is sent as a problem document with its status, a later one as an event.
func (s *Server) streamChat(c *gin.Context, call *structs.Call, deadline time.Time) {
	event := structs.CallerSubmit{Request: infoOf(c).id, Call: call, Deadline: deadline}
	p, problem := s.post(c, event, deadline, s.config.MaxBuffer)
	if problem != nil {
		s.fail(c, problem)
		return
	}
	defer p.close()
	defer interruptWrites(p.ctx, c.Writer)()
	stream := newChatStream(infoOf(c))
	for {
		chunks, final, err := p.next()
		if errors.Is(err, errNoReply) {
			s.failStream(c, p, stream, noReplyProblem())
			return
		}
		if err != nil {
			s.abort(c, err)
		}
		for _, chunk := range chunks {
			stream.addChunk(chunk)
		}
		if final != nil {
			s.endStream(c, p, stream, final)
			return
		}
		s.sendStream(c, p, stream)
	}
}

// endStream writes the rest of a streamed response, or its failure.
func (s *Server) endStream(c *gin.Context, p *pendingRequest, stream *chatStream, final structs.Command) {
	reply, ok := final.(structs.ReplyOutcome)
	if !ok {
		s.failStream(c, p, stream, newProblem(ReasonInternal, outcomeUnknown, "the instance gave an answer of another kind"))
		return
	}
	if reply.Outcome.Kind != structs.OutcomeAnswered {
		s.failStream(c, p, stream, problemOf(reply.Outcome))
		return
	}
	if isEngineError(reply.Outcome) {
		s.endWithEngineError(c, p, stream, reply.Outcome)
		return
	}
	if err := stream.finish(reply.Outcome); err != nil {
		s.log.Error("streamed answer", "request", infoOf(c).id, "program", infoOf(c).program, "error", err)
		s.failStream(c, p, stream, newProblem(structs.ReasonTargetFailed, outcomeUnknown, err.Error()))
		return
	}
	s.recordAnswer(c, reply.Outcome)
	s.sendStream(c, p, stream)
}

// endWithEngineError forwards an HTTP error of the engine, or fails the stream
// if part of the response was sent.
func (s *Server) endWithEngineError(c *gin.Context, p *pendingRequest, stream *chatStream, outcome structs.Outcome) {
	if stream.headersSent {
		s.failStream(c, p, stream, newProblem(structs.ReasonTargetFailed, outcomeUnknown, "the engine failed behind a part of its answer"))
		return
	}
	s.writeOutcome(c, outcome)
}

// failStream sends a problem as a document if nothing was sent yet, else as an
// event.
func (s *Server) failStream(c *gin.Context, p *pendingRequest, stream *chatStream, problem *Problem) {
	if !stream.headersSent {
		s.fail(c, problem)
		return
	}
	s.recordProblem(c, problem)
	stream.addError(problem)
	s.sendStream(c, p, stream)
}

// sendStream writes the buffered events of the stream.
func (s *Server) sendStream(c *gin.Context, p *pendingRequest, stream *chatStream) {
	if stream.events.Len() == 0 {
		return
	}
	if !stream.headersSent {
		stream.headersSent = true
		s.startEvents(c)
	}
	s.setWriteDeadline(c.Writer)
	if p.ctx.Err() != nil {
		// The deadline set above may override that of interruptWrites.
		s.abort(c, writeCause(p.ctx))
	}
	_, err := c.Writer.Write(stream.events.Bytes())
	if err == nil {
		err = http.NewResponseController(c.Writer).Flush()
	}
	if err != nil {
		s.abort(c, writeCause(p.ctx))
	}
	stream.events.Reset()
}

// startEvents writes the headers of a streamed response. The outcome header of a
// replayed response is already set; any other is reported as answered.
func (s *Server) startEvents(c *gin.Context) {
	info := infoOf(c)
	if info.outcome != outcomeReplayed {
		c.Header(HeaderOutcome, outcomeAnswered)
	}
	c.Header("Content-Type", contentTypeEvents)
	c.Header("Cache-Control", "no-store")
	c.Header(HeaderProgram, string(info.program))
	c.Writer.WriteHeader(http.StatusOK)
}

// chatStream encodes the chunks of a response as server-sent events. It drops
// pieces that are repeated or follow a gap; finish adds the missing text from
// the outcome, which holds all of it.
type chatStream struct {
	id      string
	created int64
	model   string
	// events buffers the encoded events that are not written yet.
	events      bytes.Buffer
	headersSent bool
	// next is the index of the next piece; hash and length, in bytes, cover
	// the pieces before it.
	next   int
	hash   *xxhash.Digest
	length int
}

func newChatStream(info *requestInfo) *chatStream {
	return &chatStream{
		id: replyIDPrefix + string(info.id), created: info.started.Unix(),
		model: string(info.service), hash: xxhash.New(),
	}
}

// addChunk adds the new pieces of a chunk. It ignores tool calls, which finish
// takes from the outcome.
func (s *chatStream) addChunk(chunk structs.Chunk) {
	if chunk.First > s.next || chunk.Next() <= s.next {
		return
	}
	for _, text := range chunk.Texts[s.next-chunk.First:] {
		s.addPiece(text)
	}
}

// addPiece adds the event of one piece.
func (s *chatStream) addPiece(text string) {
	s.addEvent(&wire.ChatMessage{Role: roleAssistant, Content: text}, nil, nil)
	// Writes to a hash do not fail.
	_, _ = s.hash.WriteString(text)
	s.length += len(text)
	s.next++
}

// finish adds the rest of a response: text that was not received in chunks, tool
// calls, the finish reason and the usage.
func (s *chatStream) finish(outcome structs.Outcome) error {
	if s.length > len(outcome.Text) || xxhash.Sum64String(outcome.Text[:s.length]) != s.hash.Sum64() {
		return errTextMismatch
	}
	calls, err := indexToolCalls(outcome.ToolCalls)
	if err != nil {
		return err
	}
	if rest := outcome.Text[s.length:]; rest != "" {
		s.addPiece(rest)
	}
	if len(calls) > 0 {
		s.addEvent(&wire.ChatMessage{Role: roleAssistant, ToolCalls: calls}, nil, nil)
	}
	finish := outcome.Finish
	usage := wireUsage(outcome.Usage)
	s.addEvent(&wire.ChatMessage{Role: roleAssistant}, &finish, &usage)
	s.events.WriteString(streamEnd)
	return nil
}

func (s *chatStream) addEvent(delta *wire.ChatMessage, finish *string, usage *wire.Usage) {
	// Encoding cannot fail: indexToolCalls has validated the tool calls.
	body, _ := json.Marshal(wire.ChatChunk{
		ID: s.id, Object: objectChunk, Created: s.created, Model: s.model, Index: s.next,
		Choices: []wire.ChatChoice{{Delta: delta, FinishReason: finish}}, Usage: usage,
	})
	s.events.WriteString("data: ")
	s.events.Write(body)
	s.events.WriteString("\n\n")
}

// addError adds the event of a failure, after which the stream has no end
// marker.
func (s *chatStream) addError(problem *Problem) {
	s.events.WriteString("event: error\ndata: ")
	s.events.Write(problem.encode())
	s.events.WriteString("\n\n")
}

// indexToolCalls adds to each tool call its index, which the protocol requires
// in streamed responses only.
func indexToolCalls(raw []byte) ([]byte, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var calls []map[string]json.RawMessage
	if err := json.Unmarshal(raw, &calls); err != nil {
		return nil, errors.Wrap(err, "tool calls of the answer")
	}
	for i, call := range calls {
		if call == nil {
			return nil, errors.New("tool calls of the answer: expected objects")
		}
		index, err := json.Marshal(i)
		if err != nil {
			return nil, errors.Wrap(err, "tool call index")
		}
		call["index"] = index
	}
	return json.Marshal(calls)
}
