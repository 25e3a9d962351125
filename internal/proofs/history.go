package proofs

import (
	"sync"
	"time"
)

// Outcome is what a caller heard of one attempt.
type Outcome string

// Words of an attempt.
const (
	// Answered and Replayed: a whole answer.
	Answered Outcome = "answered"
	Replayed Outcome = "replayed"
	// NotRun and Unknown: a final refusal with that outcome.
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	// Broken: the connection ended before the answer did.
	Broken Outcome = "broken"
	// Unreachable: no connection came about, so nothing was sent.
	Unreachable Outcome = "unreached"
	// Canceled: the caller closed the connection before it had an answer.
	Canceled Outcome = "left"
	// NoResponse: no answer came until the attempt's deadline and a grace.
	NoResponse Outcome = "silent"
)

// answered tells whether the attempt got an answer.
func (w Outcome) answered() bool { return w == Answered || w == Replayed }

// final tells whether the attempt got any final word.
func (w Outcome) final() bool { return w.answered() || w == NotRun || w == Unknown }

// Kind tells what a call asks for.
type Kind string

// Kinds of calls.
const (
	Chat   Kind = "chat"
	Tool   Kind = "tool"
	Filing Kind = "filing"
)

// Attempt is one request of a caller for a call. All attempts of a call carry
// the same idempotency key.
type Attempt struct {
	Instance   string
	Start, End time.Time
	Outcome    Outcome
	// Reason is the last part of the problem's type.
	Reason string
	Status int
	// Text is the answer of a chat, Body that of another call.
	Text string
	Body []byte
	// RetryAfter is when the refusal said to ask again, 0 for never.
	RetryAfter time.Duration
}

// Call is one call of a program as its caller made it.
type Call struct {
	// Program is empty for a call made without one.
	Program string
	Lane    string
	Number  int
	Key     string
	Kind    Kind
	// NotRepeatable calls run at most once.
	NotRepeatable bool
	// Fee is the declared cost in currency units.
	Fee int
	// Path is the path at the target of a call that is no chat; it is unique
	// to the call.
	Path string
	// BodyHash is the hash of the body that the target must get.
	BodyHash string
	// WantText is the text of a chat's whole answer.
	WantText string
	// PromptTokens is the length of a chat's prompt in tokens.
	PromptTokens int64
	// RunTime is the least time that a call that is no chat takes at its
	// target.
	RunTime  time.Duration
	Attempts []Attempt

	// attemptCount counts the attempts begun.
	attemptCount int
}

// Program is one program of a caller.
type Program struct {
	ID string
	// Closed tells that the program was closed, by its caller or by a policy,
	// so that no cache may stay held for it.
	Closed bool
	// Tokens and Fees are its budget, 0 for no bound.
	Tokens int64
	Fees   int64
}

// History is what the callers and operators of a scenario saw. It is safe for
// concurrent use.
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

// addCall records a call that is about to be made.
func (h *History) addCall(call *Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
}

// nextAttempt counts an attempt that is about to be made, from 1.
func (h *History) nextAttempt(call *Call) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	call.attemptCount++
	return call.attemptCount
}

// addAttempt records the end of an attempt.
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

// addProgram records a program.
func (h *History) addProgram(program *Program) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.programs = append(h.programs, program)
}

// setClosed records that a program was closed.
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

// Answered is the number of attempts that got a whole answer so far.
func (h *History) Answered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered
}

// Refused is the number of attempts that heard "not run" so far.
func (h *History) Refused() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused
}

// Ended is the number of attempts that ended so far.
func (h *History) Ended() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// snapshot copies the calls and programs.
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
