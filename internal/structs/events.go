package structs

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Event is an input of the core.
type Event interface{ event() }

// CallerSubmit is a call from a caller of this instance. Deadline is when the
// caller must have its final answer.
type CallerSubmit struct {
	Request  RequestID
	Call     *Call
	Deadline time.Time
}

// CallerDisconnected tells that a caller closed its connection.
type CallerDisconnected struct{ Request RequestID }

// CallerProgram is a caller's or operator's request about one program.
type CallerProgram struct {
	Request  RequestID
	Op       ProgramOp
	Program  ProgramID
	Team     Team
	Deadline time.Time
}

// CallerPrograms asks every instance of the region for its programs under a
// team path.
type CallerPrograms struct {
	Request  RequestID
	Team     Team
	Limit    int
	Deadline time.Time
}

// SettingsPropose asks for a change of the settings tree.
type SettingsPropose struct {
	Request  RequestID
	Changes  []SettingChange
	Deadline time.Time
}

// SettingsApplied asks every instance which settings offset it has applied.
type SettingsApplied struct {
	Request  RequestID
	Deadline time.Time
}

// DrainStart begins the graceful shutdown of this instance.
type DrainStart struct{}

// PeerMessage is a message of another instance.
type PeerMessage struct {
	From InstanceID
	Msg  Message
}

// PeerUp tells that an instance answered: a heartbeat or a new connection.
type PeerUp struct{ Peer InstanceID }

// PeerDown tells that an instance did not answer for the liveness timeout or
// that its connection broke. Messages sent to it may be lost.
type PeerDown struct{ Peer InstanceID }

// LogAppended tells that an append took effect at offset First.
type LogAppended struct {
	ID     AppendID
	Stream string
	First  uint64
}

// LogAppendFailed tells that an append failed. If Refused, it certainly took
// no effect; else it may have.
type LogAppendFailed struct {
	ID      AppendID
	Stream  string
	Refused bool
}

// LogRead carries records of a tailed stream, in offset order without gaps
// from From. An empty read reports the end and proves the log reachable.
type LogRead struct {
	Stream  string
	From    uint64
	Records []wire.LogRecord
	Next    uint64
	End     uint64
}

// LogReadFailed tells that a read failed; the adapter tries again by itself.
// If Truncated, the log no longer retains the offset and First is the oldest.
type LogReadFailed struct {
	Stream    string
	Truncated bool
	First     uint64
}

// MembersListed carries the membership list.
type MembersListed struct{ List wire.MemberList }

// RunChunk carries pieces of a chat answer from index Chunk.First on.
type RunChunk struct {
	Run   RunID
	Chunk Chunk
}

// RunFailure tells how a run failed.
type RunFailure uint8

// Kinds of run failures.
const (
	RunOK RunFailure = iota
	// RunNotSent: the request certainly did not reach the target's work (no
	// connection, or a refusal before running).
	RunNotSent
	// RunBroken: the connection broke or the target failed after the
	// request may have run.
	RunBroken
	// RunTimeout: the run's timeout passed.
	RunTimeout
	// RunCancelled: CancelRun ended it.
	RunCancelled
	// RunFenced: the target refused the fencing number.
	RunFenced
)

// RunEnded tells that a run ended. Outcome holds the answer if Failure is
// RunOK; an HTTP status of the target is an answer too.
type RunEnded struct {
	Run     RunID
	Target  TargetID
	Failure RunFailure
	Outcome Outcome
	Detail  string
	// Took is the time at the target; FirstToken the time to the first
	// chunk.
	Took       time.Duration
	FirstToken time.Duration
}

// OutcomeQueried answers QueryOutcome: Found tells that the target ran the
// request and Outcome is its answer; Reached is false if it could not be asked.
type OutcomeQueried struct {
	Run     RunID
	Reached bool
	Found   bool
	Outcome Outcome
}

// TargetLoad is a load report of a watched target.
type TargetLoad struct {
	Target TargetID
	Load   wire.EngineLoad
}

// TargetUnreachable tells that a watched target did not answer.
type TargetUnreachable struct{ Target TargetID }

// TargetCache carries cache events of a watched target. Gap tells that events
// before these were lost.
type TargetCache struct {
	Target TargetID
	Gap    bool
	Events []wire.CacheEvent
}

// CacheReleased answers ReleaseCache. Done is true once the target confirmed
// that it holds nothing of the program.
type CacheReleased struct {
	Target  TargetID
	Program ProgramID
	Done    bool
}

// OrderResult tells what became of an order.
type OrderResult uint8

// Results of an order.
const (
	// OrderAccepted: the target confirmed the order.
	OrderAccepted OrderResult = iota + 1
	// OrderFenced: the target refused the fencing number and did nothing.
	OrderFenced
	// OrderFailed: the target may or may not have taken the order.
	OrderFailed
	// OrderNotSent: the order was not sent and will not be.
	OrderNotSent
)

// OrderSent answers SendOrder. Detail is for operators.
type OrderSent struct {
	ID     OrderID
	Target TargetID
	Result OrderResult
	Detail string
}

// OrdersRead answers ReadOrders. State holds the target's state if Reached.
type OrdersRead struct {
	ID      OrderID
	Target  TargetID
	Reached bool
	State   wire.OrderState
	Detail  string
}

func (CallerSubmit) event()       {}
func (CallerDisconnected) event() {}
func (CallerProgram) event()      {}
func (CallerPrograms) event()     {}
func (SettingsPropose) event()    {}
func (SettingsApplied) event()    {}
func (DrainStart) event()         {}
func (PeerMessage) event()        {}
func (PeerUp) event()             {}
func (PeerDown) event()           {}
func (LogAppended) event()        {}
func (LogAppendFailed) event()    {}
func (LogRead) event()            {}
func (LogReadFailed) event()      {}
func (MembersListed) event()      {}
func (RunChunk) event()           {}
func (RunEnded) event()           {}
func (OutcomeQueried) event()     {}
func (TargetLoad) event()         {}
func (TargetUnreachable) event()  {}
func (TargetCache) event()        {}
func (CacheReleased) event()      {}
func (OrderSent) event()          {}
func (OrdersRead) event()         {}
