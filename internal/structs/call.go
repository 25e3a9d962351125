package structs

import "time"

// CallKind tells how a call is run.
type CallKind uint8

// Kinds of calls.
const (
	// CallChat is a chat completion at a model engine.
	CallChat CallKind = iota + 1
	// CallPlain is an HTTP request to a tool or plain service.
	CallPlain
)

// Digest is the SHA-256 of a request, for idempotency checks.
type Digest [32]byte

// ChainDigest is the running digest of a conversation after one message.
type ChainDigest [16]byte

// Call is one call of a program as a gateway received it.
type Call struct {
	Program ProgramID
	Team    Team
	Lane    Lane
	// Number is the caller's number of the call within its lane, from 1; 0
	// if the caller gave none, then calls of a lane run in order of arrival.
	Number uint64
	// Key is the idempotency key, unique within the program. The gateway
	// fills it from lane and number if the caller gave none; it is empty
	// only if the caller gave neither.
	Key     string
	Service ServiceName
	Kind    CallKind
	// NotRepeatable marks a call that runs at most once.
	NotRepeatable bool
	// Stream asks for the answer in chunks as it is made.
	Stream bool
	// Single marks a call made without a program: the program is closed
	// when the call ends.
	Single bool
	// Fresh tells that no earlier delivery of the key can have run:
	// the call has no key of the caller's, or the caller declares that there
	// was none or that each was refused as not run.
	Fresh bool
	// Fork allows the call's messages to leave the lane's known history, as
	// when an agent compacts its context.
	Fork   bool
	Digest Digest

	// Method, Path, ContentType and Body are what is sent to the target.
	// For CallChat the body is a wire.ChatRequest.
	Method      string
	Path        string
	ContentType string
	Body        []byte

	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// MaxTokens bounds the tokens of the answer.
	MaxTokens int64
	// SharedKey and SharedTokens name the prefix that programs share (the
	// system message) and its estimated length.
	SharedKey    string
	SharedTokens int64
	// History is the digest chain of the messages, one entry a message.
	History []ChainDigest
	// Fee is the cost of the call in the team's currency units, as the
	// caller declared it.
	Fee int64
}

// Usage is what a call consumed.
type Usage struct {
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
	Fee              int64
}

// Tokens is what the call counts against a token budget.
func (u Usage) Tokens() int64 { return u.PromptTokens + u.CompletionTokens }

// OutcomeKind tells what became of a call. Outcomes are values, not errors.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// OutcomeAnswered: the call ran and this is its whole answer.
	OutcomeAnswered OutcomeKind = iota + 1
	// OutcomeNotRun: the call did not run and will not.
	OutcomeNotRun
	// OutcomeUnknown: the call may or may not have run.
	OutcomeUnknown
)

// Reason tells why a call has its outcome. It is the last segment of the
// problem type that callers see.
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

// Outcome is the final word on a call.
type Outcome struct {
	Kind   OutcomeKind
	Reason Reason
	// Detail is a sentence for the caller; it holds no secrets.
	Detail string
	// RetryAfter tells when to ask again; 0 if it does not help.
	RetryAfter time.Duration
	// Status, ContentType and Body are the answer of a CallPlain.
	Status      int
	ContentType string
	Body        []byte
	// Text, ToolCalls and Finish are the answer of a CallChat.
	Text      string
	ToolCalls []byte
	Finish    string
	Usage     Usage
	// Replayed marks an answer given again from an idempotency record.
	Replayed bool
}

// Chunk is a part of a streamed answer: the pieces from index First on.
type Chunk struct {
	First int
	Texts []string
	// ToolCalls is the undecoded tool call delta, if any.
	ToolCalls []byte
}

// Next is the index after the chunk's last piece.
func (c Chunk) Next() int { return c.First + len(c.Texts) }

// ProgramState tells where a program stands.
type ProgramState string

// States of a program.
const (
	ProgramActive ProgramState = "active"
	ProgramPaused ProgramState = "paused"
	ProgramClosed ProgramState = "closed"
)

// ProgramInfo is a program as operators and callers see it.
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
	// Targets lists the targets that may hold cache of the program.
	Targets []TargetID
}

// Refusal is the outcome of a call that is refused without looking up earlier
// deliveries of its key: "not run" would be a guess unless there was none.
func (c *Call) Refusal(reason Reason, after time.Duration) Outcome {
	if c.Fresh {
		return Outcome{Kind: OutcomeNotRun, Reason: reason, RetryAfter: after}
	}
	return Outcome{
		Kind: OutcomeUnknown, Reason: reason, RetryAfter: after,
		Detail: "This delivery did not run, but earlier ones of the key could not be looked up; ask again with the same key.",
	}
}

// TargetKey is the idempotency key of the call at its target: the call's Key
// made unique over all programs, empty if Key is.
func (c *Call) TargetKey() string {
	if c.Key == "" {
		return ""
	}
	return string(c.Program) + ":" + c.Key
}
