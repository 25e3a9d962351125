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

// errTextMismatch is the error of an outcome whose text does not begin with the
// pieces that the caller has.
var errTextMismatch = errors.New("the answer differs from the part already sent")

// streamChat runs a streamed chat completion. Until the first piece has come
// the answer may still be a problem document with its status; later a failure
// is an event.
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

// endStream writes the rest of a streamed answer, or its failure.
func (s *Server) endStream(c *gin.Context, p *pendingRequest, stream *chatStream, final structs.Command) {
	reply, ok := final.(structs.ReplyEnd)
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

// endWithEngineError passes on the engine's own refusal, which cannot follow a
// part of an answer.
func (s *Server) endWithEngineError(c *gin.Context, p *pendingRequest, stream *chatStream, outcome structs.Outcome) {
	if stream.headersSent {
		s.failStream(c, p, stream, newProblem(structs.ReasonTargetFailed, outcomeUnknown, "the engine failed behind a part of its answer"))
		return
	}
	s.writeOutcome(c, outcome)
}

// failStream gives a problem as a document if nothing was sent yet, else as an
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

// sendStream writes the events that are waiting in the stream.
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
		// The deadline above may have undone interruptWrites.
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

// startEvents writes the headers of a streamed answer. A replayed answer is
// known before they are written; any other is on its way to being answered.
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

// chatStream turns the chunks of an answer into server-sent events. It drops
// pieces that come twice or behind a gap; what is then missing at the end comes
// from the outcome, which holds the whole text.
type chatStream struct {
	id      string
	created int64
	model   string
	// events is the events to be written.
	events bytes.Buffer
	// headersSent tells that the headers are written.
	headersSent bool
	// next is the index of the next piece; text and length are the hash and
	// the length in bytes of the pieces before it.
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

// addChunk takes the pieces of a chunk that are new. Tool calls are taken whole
// from the outcome.
func (s *chatStream) addChunk(chunk structs.Chunk) {
	if chunk.First > s.next || chunk.Next() <= s.next {
		return
	}
	for _, text := range chunk.Texts[s.next-chunk.First:] {
		s.addPiece(text)
	}
}

// addPiece writes the event of one piece.
func (s *chatStream) addPiece(text string) {
	s.addEvent(&wire.ChatMessage{Role: roleAssistant, Content: text}, nil, nil)
	// Writes to a hash do not fail.
	_, _ = s.hash.WriteString(text)
	s.length += len(text)
	s.next++
}

// finish writes what is left of an answer: text that did not come as a chunk,
// tool calls, the finish reason and the usage.
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
	// The chunk holds nothing that JSON cannot encode: indexToolCalls has
	// checked the tool calls.
	body, _ := json.Marshal(wire.ChatChunk{
		ID: s.id, Object: objectChunk, Created: s.created, Model: s.model, Index: s.next,
		Choices: []wire.ChatChoice{{Delta: delta, FinishReason: finish}}, Usage: usage,
	})
	s.events.WriteString("data: ")
	s.events.Write(body)
	s.events.WriteString("\n\n")
}

// addError writes the event of a failure. The stream then has no end mark.
func (s *chatStream) addError(problem *Problem) {
	s.events.WriteString("event: error\ndata: ")
	s.events.Write(problem.encode())
	s.events.WriteString("\n\n")
}

// indexToolCalls gives each tool call its index, which the protocol wants in a
// streamed answer only.
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
