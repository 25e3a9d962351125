package structs

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Event is an input of the core.
type Event interface{ event() }

// CallerSubmit is a call from a caller of this instance. Deadline is when the caller
// must have its final response.
type CallerSubmit struct {
	Request  RequestID
	Call     *Call
	Deadline time.Time
}

// CallerDisconnected reports that a caller closed its connection.
type CallerDisconnected struct{ Request RequestID }

// CallerProgram is a caller's or operator's request about one program.
type CallerProgram struct {
	Request  RequestID
	Op       ProgramOp
	Program  ProgramID
	Team     Team
	Deadline time.Time
}

// CallerPrograms requests the programs under a team path from every instance of the
// region.
type CallerPrograms struct {
	Request  RequestID
	Team     Team
	Limit    int
	Deadline time.Time
}

// SettingsPropose proposes changes of the settings tree.
type SettingsPropose struct {
	Request  RequestID
	Changes  []SettingChange
	Deadline time.Time
}

// SettingsApplied requests the applied settings offset from every instance.
type SettingsApplied struct {
	Request  RequestID
	Deadline time.Time
}

// DrainStart begins the graceful shutdown of this instance.
type DrainStart struct{}

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From InstanceID
	Msg  Message
}

// PeerUp reports a heartbeat of an instance or a new connection to it.
type PeerUp struct{ Peer InstanceID }

// PeerDown reports that an instance exceeded the liveness timeout or that its
// connection broke. Messages sent to it may be lost.
type PeerDown struct{ Peer InstanceID }

// MessageUnsupported reports that a message to an instance was dropped, since the build
// there does not decode its kind.
type MessageUnsupported struct {
	Peer InstanceID
	Kind MessageKind
}

// LogAppended reports that an append took effect at offset First.
type LogAppended struct {
	ID     AppendID
	Stream string
	First  uint64
}

// LogAppendFailed reports a failed append. If Refused, it certainly took no effect;
// otherwise it may have.
type LogAppendFailed struct {
	ID      AppendID
	Stream  string
	Refused bool
}

// LogRead carries records of a followed stream, in offset order without gaps from
// From. An empty read reports the end and proves that the log is reachable.
type LogRead struct {
	Stream  string
	From    uint64
	Records []wire.LogRecord
	Next    uint64
	End     uint64
}

// LogReadFailed reports a failed read; the adapter retries by itself. If Truncated,
// the log no longer retains the offset and First is the oldest retained one.
type LogReadFailed struct {
	Stream    string
	Truncated bool
	First     uint64
}

// MembersListed carries the membership list.
type MembersListed struct{ List wire.MemberList }

// RunChunk carries pieces of a chat response from index Chunk.First on.
type RunChunk struct {
	Run   RunID
	Chunk Chunk
}

// RunFailure classifies the failure of a run.
type RunFailure uint8

// Kinds of run failures.
const (
	RunOK RunFailure = iota
	// RunNotSent: the request certainly did not start at the target (no connection, or
	// refused before running).
	RunNotSent
	// RunBroken: the connection broke or the target failed after the
	// request may have run.
	RunBroken
	// RunTimeout: the run exceeded its timeout.
	RunTimeout
	// RunCancelled: CancelRun ended it.
	RunCancelled
	// RunFenced: the target refused the fencing number.
	RunFenced
)

// RunEnded reports the end of a run. Outcome holds the response if Failure is RunOK,
// whatever its HTTP status.
type RunEnded struct {
	Run     RunID
	Target  TargetID
	Failure RunFailure
	Outcome Outcome
	Detail  string
	// Took is the time at the target and FirstToken the time to the first chunk.
	Took       time.Duration
	FirstToken time.Duration
}

// OutcomeQueried replies to QueryOutcome. Reached indicates whether the target could be
// queried, Found whether it ran the request. Outcome is its response if Found.
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

// TargetUnreachable reports that a watched target did not respond.
type TargetUnreachable struct{ Target TargetID }

// TargetCache carries cache events of a watched target. Gap indicates that events before
// these were lost.
type TargetCache struct {
	Target TargetID
	Gap    bool
	Events []wire.CacheEvent
}

// CacheReleased replies to ReleaseCache. Done indicates that the target no longer caches
// anything of the program.
type CacheReleased struct {
	Target  TargetID
	Program ProgramID
	Done    bool
}

// OrderResult is the result of an order.
type OrderResult uint8

// Results of an order.
const (
	// OrderAccepted: the target confirmed the order.
	OrderAccepted OrderResult = iota + 1
	// OrderFenced: the target refused the fencing number and did nothing.
	OrderFenced
	// OrderFailed: the target may or may not have accepted the order.
	OrderFailed
	// OrderNotSent: the order was not sent and will not be.
	OrderNotSent
)

// OrderSent replies to SendOrder. Detail is for operators.
type OrderSent struct {
	ID     OrderID
	Target TargetID
	Result OrderResult
	Detail string
}

// OrdersRead replies to ReadOrders. State holds the target's state if Reached.
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
func (MessageUnsupported) event() {}
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
