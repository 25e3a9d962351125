package structs

import "time"

// CallKind determines how a call is executed.
type CallKind uint8

// Kinds of calls.
const (
	// CallChat is a chat completion at a model engine.
	CallChat CallKind = iota + 1
	// CallPlain is an HTTP request to a tool or plain service.
	CallPlain
)

// Digest is the SHA-256 of a request. Idempotency checks compare it.
type Digest [32]byte

// ChainDigest is the cumulative digest of a conversation up to and including one
// message.
type ChainDigest [16]byte

// Call is one call of a program as received by a gateway.
type Call struct {
	Program ProgramID
	Team    Team
	Lane    Lane
	// Number is the caller's sequence number of the call within its lane, from 1. If
	// it is 0, calls of the lane run in order of arrival.
	Number uint64
	// Key is the idempotency key, unique within the program. If the caller gave none,
	// the gateway derives it from lane and number; it is empty only without those too.
	Key     string
	Service ServiceName
	Kind    CallKind
	// NotRepeatable marks a call that runs at most once.
	NotRepeatable bool
	// Stream requests the response in chunks as it is generated.
	Stream bool
	// Single marks a call made without a program: the program is closed
	// when the call ends.
	Single bool
	// Fresh indicates that no earlier delivery of the key can have run: either the
	// caller gave no key, or it declared that there was no earlier delivery or that
	// each was refused as not run.
	Fresh bool
	// Fork allows the call's messages to diverge from the known history of the lane,
	// as when an agent compacts its context.
	Fork   bool
	Digest Digest

	// Method, Path, ContentType and Body are sent to the target. For CallChat the body
	// is a wire.ChatRequest.
	Method      string
	Path        string
	ContentType string
	Body        []byte

	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// MaxTokens is the maximum number of tokens of the response.
	MaxTokens int64
	// SharedKey identifies the prefix that programs share (the system message) and
	// SharedTokens is its estimated length.
	SharedKey    string
	SharedTokens int64
	// History is the digest chain of the messages, one entry per message.
	History []ChainDigest
	// Fee is the cost of the call in the team's currency units, as declared by the
	// caller.
	Fee int64
}

// Usage is the consumption of a call.
type Usage struct {
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
	Fee              int64
}

// Tokens returns the number of tokens charged to a token budget.
func (u Usage) Tokens() int64 { return u.PromptTokens + u.CompletionTokens }

// OutcomeKind classifies the result of a call. Outcomes are values, not errors.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// OutcomeAnswered: the call ran and the outcome holds its whole response.
	OutcomeAnswered OutcomeKind = iota + 1
	// OutcomeNotRun: the call did not run and will not.
	OutcomeNotRun
	// OutcomeUnknown: the call may or may not have run.
	OutcomeUnknown
)

// Reason is the cause of a call's outcome and the last segment of the problem type that
// callers receive.
type Reason string

// Reasons of OutcomeNotRun and OutcomeUnknown.
const (
	ReasonNone             Reason = ""
	ReasonOverloaded       Reason = "overloaded"
	ReasonDeadline         Reason = "deadline"
	ReasonBudget           Reason = "budget-exhausted"
	ReasonTurns            Reason = "turns-exhausted"
	ReasonLoop             Reason = "loop-detected"
	ReasonUnknownProgram   Reason = "unknown-program"
	ReasonProgramClosed    Reason = "program-closed"
	ReasonForeignProgram   Reason = "foreign-program"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonNoTarget         Reason = "no-target"
	ReasonOrderGap         Reason = "order-gap"
	ReasonStaleNumber      Reason = "stale-number"
	ReasonKeyReused        Reason = "key-reused"
	ReasonHistoryFork      Reason = "history-fork"
	ReasonLogUnavailable   Reason = "log-unavailable"
	ReasonOwnerUnavailable Reason = "owner-unavailable"
	ReasonDraining         Reason = "draining"
	ReasonStarting         Reason = "starting"
	ReasonCancelled        Reason = "cancelled"
	ReasonTargetFailed     Reason = "target-failed"
	ReasonOwnerLost        Reason = "owner-lost"
	ReasonTooOld           Reason = "too-old"
	ReasonTooLarge         Reason = "too-large"
	ReasonInvalid          Reason = "invalid"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonForbidden        Reason = "forbidden"
)

// Outcome is the final result of a call.
type Outcome struct {
	Kind   OutcomeKind
	Reason Reason
	// Detail is a sentence for the caller. It contains no secrets.
	Detail string
	// RetryAfter is the delay before a retry; 0 if a retry would not help.
	RetryAfter time.Duration
	// Status, ContentType and Body are the response to a CallPlain.
	Status      int
	ContentType string
	Body        []byte
	// Text, ToolCalls and Finish are the response to a CallChat.
	Text      string
	ToolCalls []byte
	Finish    string
	Usage     Usage
	// Replayed marks a response taken from an idempotency record.
	Replayed bool
}

// Chunk is a part of a streamed response: the pieces from index First on.
type Chunk struct {
	First int
	Texts []string
	// ToolCalls is the undecoded tool call delta, nil if none.
	ToolCalls []byte
}

// Next returns the index after the chunk's last piece.
func (c Chunk) Next() int { return c.First + len(c.Texts) }

// ProgramState is the lifecycle state of a program.
type ProgramState string

// States of a program.
const (
	ProgramActive ProgramState = "active"
	ProgramPaused ProgramState = "paused"
	ProgramClosed ProgramState = "closed"
)

// ProgramInfo is the description of a program for operators and callers.
type ProgramInfo struct {
	ID      ProgramID
	Team    Team
	Shard   ShardID
	Owner   InstanceID
	State   ProgramState
	Reason  string
	Created time.Time
	Updated time.Time
	Turns   int64
	// Served is the attained service in engine time.
	Served      time.Duration
	TokensSpent int64
	TokensHeld  int64
	TokenLimit  int64
	FeesSpent   int64
	FeesHeld    int64
	FeeLimit    int64
	Lanes       map[Lane]uint64
	// Targets are the targets that may hold cache of the program.
	Targets []TargetID
}

// Refusal returns the outcome of a call that is refused without a lookup of earlier
// deliveries of its key. It is OutcomeNotRun only if no earlier delivery can have run.
func (c *Call) Refusal(reason Reason, after time.Duration) Outcome {
	if c.Fresh {
		return Outcome{Kind: OutcomeNotRun, Reason: reason, RetryAfter: after}
	}
	return Outcome{
		Kind: OutcomeUnknown, Reason: reason, RetryAfter: after,
		Detail: "This delivery did not run, but earlier ones of the key could not be looked up; ask again with the same key.",
	}
}

// TargetKey returns the idempotency key sent to the target: Key made unique across
// programs, empty if Key is empty.
func (c *Call) TargetKey() string {
	if c.Key == "" {
		return ""
	}
	return string(c.Program) + ":" + c.Key
}
