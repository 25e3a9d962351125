package wire

// Routes of a model engine, a target of a service of kind "engine".
//
//	POST /v1/chat/completions          ChatRequest -> ChatReply, or SSE of ChatChunk
//	GET  /v1/streams/{id}?from=N       resumes the SSE of stream id at token N
//	POST /v1/streams/{id}/cancel       stops the stream; 200 if it is stopped or unknown
//	GET  /v1/load                      -> EngineLoad (delayed)
//	GET  /v1/cache/events?from=N       -> CacheEvents (delayed, with gaps and duplicates)
//	POST /v1/cache/release             CacheRelease -> CacheReleaseReply
//	GET  /v1/cache                     -> CacheState
//	POST /v1/cache/export              CacheExport -> CacheBlob
//	POST /v1/cache/import              CacheBlob -> CacheReleaseReply
//	POST /v1/orders                    Order -> OrderReply; 409 for a stale fencing number, if checked
//	GET  /v1/orders                    -> OrderState
const (
	ChatRoute         = "/v1/chat/completions"
	StreamsRoute      = "/v1/streams"
	LoadRoute         = "/v1/load"
	CacheRoute        = "/v1/cache"
	CacheEventsRoute  = "/v1/cache/events"
	CacheReleaseRoute = "/v1/cache/release"
	CacheExportRoute  = "/v1/cache/export"
	CacheImportRoute  = "/v1/cache/import"
	OrdersRoute       = "/v1/orders"
)

// Headers of requests to targets.
const (
	// HeaderStream is the ID of a chat completion's stream, chosen by the
	// client. Resume and cancel requests refer to it.
	HeaderStream = "X-Stream-Id"
	// HeaderProgram is the program whose prefix cache a request extends.
	HeaderProgram = "X-Program-Id"
	// HeaderFencing is the fencing number of an order or a call.
	HeaderFencing = "X-Fencing"
	// HeaderIdempotencyKey is the standard idempotency header.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ChatMessage is one message of the chat completions protocol.
type ChatMessage struct {
	Role       string  `json:"role"`
	Content    string  `json:"content"`
	Name       string  `json:"name,omitempty"`
	ToolCallID string  `json:"tool_call_id,omitempty"`
	ToolCalls  RawJSON `json:"tool_calls,omitempty"`
}

// ChatRequest is the request body of a chat completion.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

// Usage counts the tokens of one completion. CachedTokens is the part of the
// prompt found in the engine's prefix cache.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// ChatChoice is one choice of a reply or chunk.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatReply is the response body of a completion that is not streamed.
type ChatReply struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   Usage        `json:"usage"`
}

// ChatChunk is one server-sent event of a streamed completion: "data: {json}".
// Each chunk carries one token. Index counts tokens from 0, so that a stream can
// be resumed without gaps or duplicates. The last chunk has a finish reason and
// Usage and is followed by "data: [DONE]".
type ChatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Index   int          `json:"token_index"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// EngineLoad is an engine's load report. It may be outdated.
type EngineLoad struct {
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	Slots         int   `json:"slots"`
	CacheTokens   int64 `json:"cache_tokens"`
	CacheCapacity int64 `json:"cache_capacity"`
	// AgeMS is the age of the report.
	AgeMS int64 `json:"age_ms"`
}

// Cache event kinds.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent reports that a program's cached prefix grew to Tokens, or was
// evicted down to Tokens (0 if none is left).
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Program  string `json:"program"`
	Tokens   int64  `json:"tokens"`
}

// CacheEvents is a page of events. Next is the sequence number of the next
// request. A gap in Sequence means that an event was lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheRelease requests that an engine drop the cache of a program.
type CacheRelease struct {
	Program string `json:"program"`
}

// CacheReleaseReply returns the number of tokens still cached for the program,
// 0 if the cache was released.
type CacheReleaseReply struct {
	HeldTokens int64 `json:"held_tokens"`
}

// CacheState lists the cached tokens by program, to verify cache operations.
type CacheState struct {
	Capacity int64            `json:"capacity"`
	Used     int64            `json:"used"`
	Programs map[string]int64 `json:"programs"`
}

// CacheExport requests a program's cache as a CacheBlob.
type CacheExport struct {
	Program string `json:"program"`
}

// CacheBlob is an exported prefix cache.
type CacheBlob struct {
	Program string `json:"program"`
	Tokens  int64  `json:"tokens"`
	Data    []byte `json:"data,omitempty"`
}

// Order kinds.
const (
	OrderLoadModel   = "load_model"
	OrderLoadAdapter = "load_adapter"
	OrderSetVersion  = "set_version"
	OrderSetRole     = "set_role"
)

// Order requests a change of an engine's model, adapter, version or role.
// Fencing is the sender's fencing number. An engine that checks it refuses
// numbers lower than the highest one received.
type Order struct {
	Kind    string `json:"kind"`
	Value   string `json:"value"`
	Fencing uint64 `json:"fencing"`
}

// OrderReply confirms an order.
type OrderReply struct {
	Fencing uint64 `json:"fencing"`
}

// OrderState is the current result of an engine's orders, to verify them.
type OrderState struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Fencing uint64 `json:"fencing"`
	// ChecksFencing indicates whether the engine refuses stale fencing numbers.
	ChecksFencing bool `json:"checks_fencing"`
}
