package engine

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// bytesPerToken is the length of a token of a prompt.
	bytesPerToken = 4
	// DefaultMaxTokens bounds the output of a request that names no bound.
	DefaultMaxTokens = 64
	// The length of an answer is between these, by the prompt's hash.
	minOutputTokens = 8
	maxOutputTokens = 256

	sharedKeyPrefix = "prefix-"
	systemRole      = "system"
)

// tokensDirective sets the exact length of an answer, from the content of the
// last message.
var tokensDirective = regexp.MustCompile(`\btokens=(\d{1,6})\b`)

// MessageTokens returns the tokens of one message.
func MessageTokens(message wire.ChatMessage) int {
	return (len(message.Content) + bytesPerToken - 1) / bytesPerToken
}

// PromptTokens returns the tokens of a prompt.
func PromptTokens(messages []wire.ChatMessage) int {
	tokens := 0
	for _, message := range messages {
		tokens += MessageTokens(message)
	}
	return tokens
}

// SharedPrefix returns the key and the tokens of the prefix that programs with
// the same system message share: "prefix-" and the xxhash64 of its content as
// 16 hex digits. A prompt that does not start with a system message has none.
func SharedPrefix(messages []wire.ChatMessage) (key string, tokens int) {
	if len(messages) == 0 || messages[0].Role != systemRole {
		return "", 0
	}
	hash := xxhash.Sum64String(messages[0].Content)
	return fmt.Sprintf("%s%016x", sharedKeyPrefix, hash), MessageTokens(messages[0])
}

// PromptHash returns the hash of the roles and contents of a prompt.
func PromptHash(messages []wire.ChatMessage) uint64 {
	digest := xxhash.New()
	for _, message := range messages {
		// Lengths go in too, so that no two prompts give the same bytes.
		_, _ = fmt.Fprintf(digest, "%d:%s%d:%s", len(message.Role), message.Role, len(message.Content), message.Content)
	}
	return digest.Sum64()
}

// OutputTokens returns the length at which the model ends the answer by
// itself: N if the last message holds "tokens=N", else a length by the
// prompt's hash.
func OutputTokens(messages []wire.ChatMessage) int {
	if exact, ok := exactTokens(messages); ok {
		return exact
	}
	const spread = maxOutputTokens - minOutputTokens + 1
	return minOutputTokens + int(PromptHash(messages)%spread)
}

func exactTokens(messages []wire.ChatMessage) (int, bool) {
	if len(messages) == 0 {
		return 0, false
	}
	match := tokensDirective.FindStringSubmatch(messages[len(messages)-1].Content)
	if match == nil {
		return 0, false
	}
	tokens, err := strconv.Atoi(match[1])
	return tokens, err == nil && tokens > 0
}

// NewRequest returns the model request of a chat completion.
func NewRequest(id, program string, chat wire.ChatRequest) Request {
	sharedKey, sharedTokens := SharedPrefix(chat.Messages)
	maxTokens := chat.MaxTokens
	if _, exact := exactTokens(chat.Messages); maxTokens <= 0 && !exact {
		maxTokens = DefaultMaxTokens
	}
	return Request{
		ID:           id,
		Program:      program,
		SharedKey:    sharedKey,
		SharedTokens: sharedTokens,
		PromptTokens: PromptTokens(chat.Messages),
		MaxTokens:    maxTokens,
		OutputTokens: OutputTokens(chat.Messages),
	}
}
