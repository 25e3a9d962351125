package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// endOfStream is the data of the last event of a chat stream.
	endOfStream = "[DONE]"
	// finishCancelled is the finish reason of a stream that was cancelled.
	finishCancelled = "cancelled"
	// maxPieces is the maximum number of pieces in a RunChunk.
	maxPieces = 256
)

var errNoFinishReason = errors.New("chat stream ended without a finish reason")

// readChat reads an engine's response to a chat completion.
func (r *Runner) readChat(run *activeRun, response *http.Response) result {
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		s := newChatStream(0, 0, r.cfg.MaxResponseBytes)
		return s.result(run, r.follow(run, response.Body, s))
	case status == http.StatusConflict:
		return result{failure: structs.RunFenced, detail: "the engine refused the fencing number"}
	case isRefusalStatus(status):
		return result{failure: structs.RunNotSent, detail: "the engine refused the call: " + http.StatusText(status)}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return r.readResponse(run, response)
	}
	return result{failure: structs.RunBroken, detail: "the engine failed: " + http.StatusText(response.StatusCode)}
}

// follow reads a chat stream to its end and delivers the pieces as they arrive.
// It returns io.EOF at the end of the stream, else the error that ended it.
func (r *Runner) follow(run *activeRun, body io.Reader, s *chatStream) error {
	events := newEventReader(body)
	for {
		data, err := events.next()
		if err == nil && string(data) != endOfStream {
			err = s.add(data)
		} else if err == nil {
			err = io.EOF
		}
		delivered := true
		if err != nil || s.mustFlush() || !events.ready() {
			delivered = r.flush(run, s)
		}
		if !delivered && run.gate == nil {
			// The owner assembles a resumed run from its pieces and needs all of them.
			return context.Cause(run.ctx)
		}
		if err != nil {
			return err
		}
	}
}

// flush delivers the pending pieces. It returns false if the run ended first.
func (r *Runner) flush(run *activeRun, s *chatStream) bool {
	chunk, ok := s.takePending()
	if !ok {
		return true
	}
	if run.firstToken == 0 {
		run.firstToken = r.cfg.Now().Sub(run.sentAt())
		r.metrics.firstToken.Record(run.firstToken)
	}
	return r.sink.Deliver(run.ctx, structs.RunChunk{Run: run.id, Chunk: chunk})
}

// result returns the result of a stream that ended with err, io.EOF for its end.
func (s *chatStream) result(run *activeRun, err error) result {
	if s.finish == finishCancelled {
		return result{failure: structs.RunCancelled, detail: "the engine says that the run was cancelled"}
	}
	if errors.Is(err, io.EOF) && s.finish != "" {
		return result{outcome: s.outcome()}
	}
	if errors.Is(err, ErrResponseTooLarge) {
		return result{
			failure: structs.RunBroken, detail: err.Error(),
			outcome: structs.Outcome{Reason: structs.ReasonTooLarge},
		}
	}
	if errors.Is(err, io.EOF) {
		err = errNoFinishReason
	}
	return run.failed(err)
}

// errPartialToolCalls is returned for tool calls in a stream that was not read from
// its first piece, because their beginning may be missing.
var errPartialToolCalls = errors.New("tool calls in a stream that was resumed behind its first piece")

// chatStream assembles the pieces of a chat response from index from on. Those
// from index deliverFrom on are delivered.
type chatStream struct {
	from, deliverFrom int
	next              int
	// emptyChunks is the number of consecutive chunks without content from index
	// next on. They count as empty pieces only if content follows at a higher
	// index.
	emptyChunks int
	pending     structs.Chunk
	text        []byte
	limit       int64
	tools       toolCalls
	finish      string
	usage       wire.Usage
}

func newChatStream(from, deliverFrom int, limit int64) *chatStream {
	return &chatStream{
		from: from, deliverFrom: deliverFrom, next: from, limit: limit,
		pending: structs.Chunk{First: deliverFrom},
	}
}

// add processes the data of one event.
func (s *chatStream) add(data []byte) error {
	var chunk wire.ChatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errors.Wrap(err, "chat chunk")
	}
	if chunk.Usage != nil {
		s.usage = *chunk.Usage
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	choice := chunk.Choices[0]
	if err := s.addPiece(chunk.Index, choice); err != nil {
		return err
	}
	if choice.FinishReason != nil {
		s.finish = *choice.FinishReason
	}
	return nil
}

// addPiece adds the piece of a chunk, if it has one. It ignores a duplicate and
// returns an error for a gap.
func (s *chatStream) addPiece(index int, choice wire.ChatChoice) error {
	delta := choice.Delta
	if delta == nil || (delta.Content == "" && len(delta.ToolCalls) == 0) {
		if index == s.next+s.emptyChunks && choice.FinishReason == nil {
			s.emptyChunks++
		}
		return nil
	}
	if index < s.next {
		return nil
	}
	if index > s.next+s.emptyChunks {
		return errors.Newf("chat stream has a gap: piece %d where %d was due", index, s.next)
	}
	if s.from > 0 && len(delta.ToolCalls) > 0 {
		return errPartialToolCalls
	}
	for s.next < index {
		s.push("")
	}
	s.push(delta.Content)
	s.emptyChunks = 0
	if len(s.text) > int(s.limit) {
		return ErrResponseTooLarge
	}
	return s.addTools(delta.ToolCalls)
}

func (s *chatStream) push(text string) {
	if s.next >= s.deliverFrom {
		s.pending.Texts = append(s.pending.Texts, text)
	}
	s.text = append(s.text, text...)
	s.next++
}

func (s *chatStream) addTools(delta wire.RawJSON) error {
	if len(delta) == 0 {
		return nil
	}
	if len(s.pending.Texts) > 0 {
		s.pending.ToolCalls = delta
	}
	return s.tools.merge(delta)
}

// mustFlush reports whether the pending pieces must be delivered before the next one
// is added.
func (s *chatStream) mustFlush() bool {
	return len(s.pending.Texts) >= maxPieces || len(s.pending.ToolCalls) > 0
}

// takePending returns and clears the pending pieces. It returns false if there are
// none.
func (s *chatStream) takePending() (structs.Chunk, bool) {
	chunk := s.pending
	s.pending = structs.Chunk{First: max(s.next, s.deliverFrom)}
	return chunk, len(chunk.Texts) > 0
}

func (s *chatStream) outcome() structs.Outcome {
	return structs.Outcome{
		Kind: structs.OutcomeAnswered, Status: http.StatusOK,
		Text: string(s.text), ToolCalls: s.tools.encode(), Finish: s.finish,
		Usage: structs.Usage{
			PromptTokens:     int64(s.usage.PromptTokens),
			CachedTokens:     int64(s.usage.CachedTokens),
			CompletionTokens: int64(s.usage.CompletionTokens),
		},
	}
}
