package engine

// Request is a sequence to run on a Model.
type Request struct {
	// ID identifies the request, uniquely among those waiting and running.
	ID string
	// Program is the key of the program's own cache entry, empty for none.
	Program string
	// SharedKey is the key of the prefix shared with other programs, empty for
	// none. SharedTokens is its length in tokens.
	SharedKey    string
	SharedTokens int
	// PromptTokens is the length of the whole prompt, including the shared
	// prefix.
	PromptTokens int
	// MaxTokens is the output limit, 0 for none.
	MaxTokens int
	// OutputTokens is the number of tokens after which the model stops by
	// itself.
	OutputTokens int
}

// limit returns the number of tokens to generate, at least 1.
func (r Request) limit() int {
	limit := r.OutputTokens
	if r.MaxTokens > 0 {
		limit = min(limit, r.MaxTokens)
	}
	return max(1, limit)
}

// FinishReason is the reason why a sequence ended.
type FinishReason string

// Finish reasons of the chat completions protocol, and "cancelled".
const (
	FinishStop      FinishReason = "stop"
	FinishLength    FinishReason = "length"
	FinishCancelled FinishReason = "cancelled"
)

// TokenEvent is one generated token. Index counts the tokens of the request
// from 0.
type TokenEvent struct {
	ID    string
	Index int
}

// Finished describes a request that ended.
type Finished struct {
	ID     string
	Reason FinishReason
	// PromptTokens is the length of the prompt. CachedTokens is how much of it
	// was cached at admission.
	PromptTokens int
	CachedTokens int
	// CompletionTokens is the number of generated tokens.
	CompletionTokens int
}

// StepResult is the result of one step, in order of admission.
type StepResult struct {
	Tokens   []TokenEvent
	Finished []Finished
}
