package engine

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// bytesPerToken is the length of a prompt token.
	bytesPerToken = 4
	// DefaultMaxTokens is the output limit of a request that sets none.
	DefaultMaxTokens = 64
	// The prompt hash selects the output length from this range.
	minOutputTokens = 8
	maxOutputTokens = 256

	sharedKeyPrefix = "prefix-"
	systemRole      = "system"
)

// tokensDirective matches the directive in the last message that sets the exact
// output length.
var tokensDirective = regexp.MustCompile(`\btokens=(\d{1,6})\b`)

// MessageTokens returns the number of tokens of a message.
func MessageTokens(message wire.ChatMessage) int {
	return (len(message.Content) + bytesPerToken - 1) / bytesPerToken
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(messages []wire.ChatMessage) int {
	tokens := 0
	for _, message := range messages {
		tokens += MessageTokens(message)
	}
	return tokens
}

// SharedPrefix returns the key and the length in tokens of the prefix that
// programs with the same system message share. The key is "prefix-" and the
// xxhash64 of the message as 16 hexadecimal digits. A prompt that does not
// start with a system message has no shared prefix.
func SharedPrefix(messages []wire.ChatMessage) (key string, tokens int) {
	if len(messages) == 0 || messages[0].Role != systemRole {
		return "", 0
	}
	hash := xxhash.Sum64String(messages[0].Content)
	return fmt.Sprintf("%s%016x", sharedKeyPrefix, hash), MessageTokens(messages[0])
}

// PromptHash returns a hash of the roles and contents of a prompt.
func PromptHash(messages []wire.ChatMessage) uint64 {
	digest := xxhash.New()
	for _, message := range messages {
		// The lengths make the encoding unambiguous.
		_, _ = fmt.Fprintf(digest, "%d:%s%d:%s", len(message.Role), message.Role, len(message.Content), message.Content)
	}
	return digest.Sum64()
}

// OutputTokens returns the number of tokens after which the model stops by
// itself: N if the last message contains "tokens=N", else a number derived from
// the prompt hash.
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

// NewRequest returns the model request for a chat completion.
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
