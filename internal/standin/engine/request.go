package engine

// Request is one sequence to run on a Model.
type Request struct {
	// ID names the request, unique among those waiting and running.
	ID string
	// Program is the key of the program's own cache entry, empty for none.
	Program string
	// SharedKey is the key of the prefix shared with other programs, empty
	// for none, and SharedTokens its length in tokens.
	SharedKey    string
	SharedTokens int
	// PromptTokens is the length of the whole prompt, shared prefix included.
	PromptTokens int
	// MaxTokens bounds the tokens made, 0 for no bound.
	MaxTokens int
	// OutputTokens is the number of tokens after which the model stops by
	// itself.
	OutputTokens int
}

// limit returns the number of tokens to make, at least 1.
func (r Request) limit() int {
	limit := r.OutputTokens
	if r.MaxTokens > 0 {
		limit = min(limit, r.MaxTokens)
	}
	return max(1, limit)
}

// FinishReason tells why a sequence ended.
type FinishReason string

// Finish reasons, as in the chat completions protocol, and "cancelled".
const (
	FinishStop      FinishReason = "stop"
	FinishLength    FinishReason = "length"
	FinishCancelled FinishReason = "cancelled"
)

// TokenEvent is one token made. Index counts the tokens of the request from 0.
type TokenEvent struct {
	ID    string
	Index int
}

// Finished tells that a request ended.
type Finished struct {
	ID     string
	Reason FinishReason
	// PromptTokens is the length of the prompt and CachedTokens its part
	// found in the cache at admission.
	PromptTokens int
	CachedTokens int
	// CompletionTokens is the number of tokens made.
	CompletionTokens int
}

// StepResult is what one step did, in admission order.
type StepResult struct {
	Tokens   []TokenEvent
	Finished []Finished
}
