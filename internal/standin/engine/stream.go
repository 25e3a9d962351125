package engine

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// stream is one completion and its progress. Its text is a function of the
// request, so that only a token count is stored. The server's mutex guards
// generated, finished, endedAt and changed.
type stream struct {
	id         string
	model      string
	created    time.Time
	completion Completion
	// length is the number of tokens that the stream generates unless
	// cancelled.
	length int
	// sequence is the stream's sequence number in the ledger.
	sequence uint64

	generated int
	finished  *Finished
	endedAt   time.Time
	changed   chan struct{}
}

// wake wakes every reader of the stream.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) usage(finished Finished) wire.Usage {
	return wire.Usage{
		PromptTokens:     finished.PromptTokens,
		CompletionTokens: finished.CompletionTokens,
		TotalTokens:      finished.PromptTokens + finished.CompletionTokens,
		CachedTokens:     finished.CachedTokens,
	}
}

const (
	replyObject   = "chat.completion"
	chunkObject   = "chat.completion.chunk"
	assistantRole = "assistant"
)

// chunk returns the chunk of one token.
func (s *stream) chunk(index int) wire.ChatChunk {
	delta := wire.ChatMessage{Role: assistantRole, Content: s.completion.Token(index)}
	chunk := s.emptyChunk(index)
	chunk.Choices = []wire.ChatChoice{{Delta: &delta}}
	return chunk
}

// lastChunk returns the chunk after the last token, with the finish reason and
// usage.
func (s *stream) lastChunk(finished Finished) wire.ChatChunk {
	reason := string(finished.Reason)
	usage := s.usage(finished)
	chunk := s.emptyChunk(finished.CompletionTokens)
	chunk.Choices = []wire.ChatChoice{{Delta: &wire.ChatMessage{}, FinishReason: &reason}}
	chunk.Usage = &usage
	return chunk
}

func (s *stream) emptyChunk(index int) wire.ChatChunk {
	return wire.ChatChunk{
		ID:      s.id,
		Object:  chunkObject,
		Created: s.created.Unix(),
		Model:   s.model,
		Index:   index,
	}
}

// reply returns the complete response of an ended stream.
func (s *stream) reply(finished Finished) wire.ChatReply {
	reason := string(finished.Reason)
	text := s.completion.Text(0, finished.CompletionTokens)
	message := wire.ChatMessage{Role: assistantRole, Content: text}
	return wire.ChatReply{
		ID:      s.id,
		Object:  replyObject,
		Created: s.created.Unix(),
		Model:   s.model,
		Choices: []wire.ChatChoice{{Message: &message, FinishReason: &reason}},
		Usage:   s.usage(finished),
	}
}
