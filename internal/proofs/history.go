package proofs

import (
	"sync"
	"time"
)

// Outcome is the outcome of an attempt as its caller observed it.
type Outcome string

// Outcomes of an attempt.
const (
	// Answered and Replayed: a complete answer.
	Answered Outcome = "answered"
	Replayed Outcome = "replayed"
	// NotRun and Unknown: a final refusal with that outcome.
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	// Broken: the connection closed before the answer was complete.
	Broken Outcome = "broken"
	// Unreachable: the connection was refused, so nothing was sent.
	Unreachable Outcome = "unreached"
	// Canceled: the caller closed the connection before it received an answer.
	Canceled Outcome = "left"
	// NoResponse: no answer arrived within the deadline and attemptGrace.
	NoResponse Outcome = "silent"
)

// answered reports whether the attempt got a complete answer.
func (o Outcome) answered() bool { return o == Answered || o == Replayed }

// final reports whether the attempt got an answer or a final refusal.
func (o Outcome) final() bool { return o.answered() || o == NotRun || o == Unknown }

// Kind is the kind of a call.
type Kind string

// Kinds of calls.
const (
	Chat   Kind = "chat"
	Tool   Kind = "tool"
	Filing Kind = "filing"
)

// Attempt is one request for a call. All attempts of a call carry the same
// idempotency key.
type Attempt struct {
	Instance   string
	Start, End time.Time
	Outcome    Outcome
	// Reason is the last part of the problem's type.
	Reason string
	Status int
	// Text is the answer of a chat, Body the answer of any other call.
	Text string
	Body []byte
	// RetryAfter is the delay that a refusal gives for a retry; no retry if 0.
	RetryAfter time.Duration
}

// Call is one call of a program as the caller made it.
type Call struct {
	// Program is empty for a call made without one.
	Program string
	Lane    string
	Number  int
	Key     string
	Kind    Kind
	// NotRepeatable calls may run at most once.
	NotRepeatable bool
	// Fee is the declared cost in currency units.
	Fee int
	// Path is the path at the target, unique to the call; empty for a chat.
	Path string
	// BodyHash is the hash of the body that the target must receive.
	BodyHash string
	// WantText is the expected text of a chat's complete answer.
	WantText string
	// PromptTokens is the length of a chat's prompt in tokens.
	PromptTokens int64
	// RunTime is the minimum time that the target takes; unset for a chat.
	RunTime  time.Duration
	Attempts []Attempt

	// attemptCount is the number of attempts begun.
	attemptCount int
}

// Program is a program of a caller.
type Program struct {
	ID string
	// Closed reports that the program was closed by its caller or by a policy, so
	// that no cache may remain held for it.
	Closed bool
	// Tokens and Fees are its budget; unlimited if 0.
	Tokens int64
	Fees   int64
}

// History records what the callers and operators of a scenario observed. It is
// safe for concurrent use.
type History struct {
	mu       sync.Mutex
	calls    []*Call
	programs []*Program
	changes  []Change
	readings []Reading
	answered int
	refused  int
	ended    int
}

func (h *History) addCall(call *Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
}

// nextAttempt returns the number of the call's next attempt, counted from 1.
func (h *History) nextAttempt(call *Call) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	call.attemptCount++
	return call.attemptCount
}

// addAttempt records an attempt that has ended.
func (h *History) addAttempt(call *Call, attempt Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	call.Attempts = append(call.Attempts, attempt)
	h.ended++
	if attempt.Outcome.answered() {
		h.answered++
	}
	if attempt.Outcome == NotRun {
		h.refused++
	}
}

func (h *History) addProgram(program *Program) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.programs = append(h.programs, program)
}

func (h *History) setClosed(program *Program) {
	h.mu.Lock()
	defer h.mu.Unlock()
	program.Closed = true
}

func (h *History) addChange(change Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, change)
}

func (h *History) addReading(reading Reading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings = append(h.readings, reading)
}

// Answered returns the number of attempts so far that got a complete answer.
func (h *History) Answered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered
}

// Refused returns the number of attempts so far that were refused as not run.
func (h *History) Refused() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused
}

// Ended returns the number of attempts that have ended so far.
func (h *History) Ended() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// snapshot returns copies of the calls and programs.
func (h *History) snapshot() ([]Call, []Program) {
	h.mu.Lock()
	defer h.mu.Unlock()
	calls := make([]Call, 0, len(h.calls))
	for _, call := range h.calls {
		copied := *call
		copied.Attempts = append([]Attempt(nil), call.Attempts...)
		calls = append(calls, copied)
	}
	programs := make([]Program, 0, len(h.programs))
	for _, program := range h.programs {
		programs = append(programs, *program)
	}
	return calls, programs
}
