package structs

import (
	"maps"
	"slices"
	"time"
)

// ProtocolVersion is the version of the messages between instances. The handshake
// refuses a peer with another version.
const ProtocolVersion = 1

// MessageKind is the tag of a message on the wire.
type MessageKind uint8

// Message is a message between instances.
type Message interface{ Kind() MessageKind }

// Kinds of messages. Numbers are part of the protocol.
const (
	KindSubmit           MessageKind = 1
	KindWithdraw         MessageKind = 2
	KindCallChunk        MessageKind = 3
	KindCallEnd          MessageKind = 4
	KindNotOwner         MessageKind = 5
	KindSubmitAccepted   MessageKind = 6
	KindProgramRequest   MessageKind = 7
	KindProgramReply     MessageKind = 8
	KindProgramsRequest  MessageKind = 9
	KindProgramsReply    MessageKind = 10
	KindPermitRequest    MessageKind = 11
	KindPermitGrant      MessageKind = 12
	KindPermitRefuse     MessageKind = 13
	KindPermitCancel     MessageKind = 14
	KindPermitFinish     MessageKind = 15
	KindProgramEnded     MessageKind = 16
	KindBudgetRequest    MessageKind = 17
	KindBudgetGrant      MessageKind = 18
	KindBudgetReturn     MessageKind = 19
	KindSuccessorHandoff MessageKind = 20
	KindSettingsRequest  MessageKind = 21
	KindSettingsState    MessageKind = 22
	KindAppliedRequest   MessageKind = 23
	KindAppliedReply     MessageKind = 24
	KindPermitQueued     MessageKind = 25
	KindLeaving          MessageKind = 26
)

// Submit forwards a call from a gateway to the program's owner.
type Submit struct {
	Request RequestID
	Call    *Call
	// Remaining is the time to the caller's deadline at the time of sending.
	Remaining time.Duration
	// NextPiece is the index of the first piece that the gateway has not received. It
	// is greater than 0 when the gateway resubmits the call after the owner crashed.
	NextPiece int
	// ReceivedRun is the run whose pieces the gateway has received. Pieces of
	// another run must not follow them.
	ReceivedRun RunID
	// Suspects are the instances that the gateway cannot reach.
	Suspects []InstanceID
	// Resubmitted indicates that the gateway submitted this request to another owner
	// before and received no outcome. That owner may have run it, so an owner that
	// does not run it must not reply OutcomeNotRun.
	Resubmitted bool
}

// Withdraw informs the owner that the caller disconnected.
type Withdraw struct{ Request RequestID }

// SubmitAccepted informs the gateway that the owner has received the call.
type SubmitAccepted struct{ Request RequestID }

// CallChunk carries a part of a streamed response to the gateway.
type CallChunk struct {
	Request RequestID
	// Run is the run that generated the pieces.
	Run   RunID
	Chunk Chunk
}

// CallEnd carries the outcome to the gateway. It includes the whole text of a streamed
// response, from which the gateway takes the pieces that it has not received.
type CallEnd struct {
	Request RequestID
	// Run is the run that generated the response, empty if none did.
	Run     RunID
	Outcome Outcome
}

// NotOwner informs the gateway that the receiver does not own the shard and did not
// accept the call. Owner is the owner to try instead, empty if unknown.
type NotOwner struct {
	Request RequestID
	Owner   InstanceID
}

// ProgramOp is an operation on a program.
type ProgramOp string

// Operations on a program.
const (
	ProgramOpen   ProgramOp = "open"
	ProgramShow   ProgramOp = "show"
	ProgramClose  ProgramOp = "close"
	ProgramCancel ProgramOp = "cancel"
)

// ProgramRequest requests an operation on a program from its owner.
type ProgramRequest struct {
	Request   RequestID
	Op        ProgramOp
	Program   ProgramID
	Team      Team
	Remaining time.Duration
	// Suspects are the instances that the gateway cannot reach.
	Suspects []InstanceID
}

// ProgramReply replies to a ProgramRequest.
type ProgramReply struct {
	Request RequestID
	Outcome Outcome
	Info    ProgramInfo
}

// ProgramsRequest requests the programs that an instance owns under a team path.
type ProgramsRequest struct {
	Request RequestID
	Team    Team
	Limit   int
}

// ProgramsReply replies to a ProgramsRequest.
type ProgramsReply struct {
	Request  RequestID
	Programs []ProgramInfo
}

// CacheHint is the last known length of a program's prefix in a target's cache.
type CacheHint struct {
	Target TargetID
	Tokens int64
}

// PermitRequest requests a permit to run a call from a pool's dispatcher. It is
// idempotent by Run. With Running set it registers a call that already runs at that
// target, after a change of dispatcher.
type PermitRequest struct {
	Pool     PoolID
	Ref      CallRef
	Team     Team
	Priority int
	Weight   float64
	// Served is the program's attained service, Age the time since its creation and
	// Slack the time to its deadline (0 with HasDeadline false if it has none).
	Served      time.Duration
	Age         time.Duration
	Slack       time.Duration
	HasDeadline bool
	Turns       int64
	// Remaining is the time to the call's deadline.
	Remaining     time.Duration
	Waited        time.Duration
	NotRepeatable bool
	Attempt       int
	Avoid         []TargetID
	PromptTokens  int64
	MaxTokens     int64
	SharedKey     string
	SharedTokens  int64
	Hints         []CacheHint
	Running       TargetID
}

// PermitQueued informs the owner that the dispatcher has received the request.
type PermitQueued struct{ Ref CallRef }

// PermitGrant allows the owner to run the call at the target now.
type PermitGrant struct {
	Pool   PoolID
	Ref    CallRef
	Target Target
}

// PermitRefuse reports that the dispatcher will not place the call.
type PermitRefuse struct {
	Pool       PoolID
	Ref        CallRef
	Reason     Reason
	RetryAfter time.Duration
}

// PermitCancel withdraws a request: the call was not sent and no longer waits.
type PermitCancel struct {
	Pool PoolID
	Ref  CallRef
}

// PermitFinish returns a permit after the run ended.
type PermitFinish struct {
	Pool    PoolID
	Ref     CallRef
	Target  TargetID
	Failure RunFailure
	Usage   Usage
	Took    time.Duration
	// FirstToken is the time to the first piece.
	FirstToken time.Duration
	// CacheTokens is the length of the prefix that the target now holds for the
	// program.
	CacheTokens int64
	// Pausing indicates that the program started a tool pause.
	Pausing bool
}

// ProgramEnded informs a pool's dispatcher that a program ended.
type ProgramEnded struct {
	Pool    PoolID
	Program ProgramID
}

// BudgetRequest requests a chunk of a team path's budget from the owner of its ledger.
// Grant is unique and makes the request idempotent.
type BudgetRequest struct {
	Team    Team
	Account ShardRef
	Grant   string
	Tokens  int64
	Fees    int64
}

// BudgetGrant replies to a BudgetRequest. It may grant less than was requested.
// Refused indicates that the budget is exhausted.
type BudgetGrant struct {
	Team    Team
	Account ShardRef
	Grant   string
	Tokens  int64
	Fees    int64
	Refused bool
}

// BudgetReturn returns the unused part of a grant.
type BudgetReturn struct {
	Team    Team
	Account ShardRef
	Grant   string
	Tokens  int64
	Fees    int64
}

// SuccessorHandoff sends the designated successor of a shard the record that allows it
// to serve repeatable calls within a chunk while the log is unavailable.
type SuccessorHandoff struct {
	Shard  ShardRef
	Epoch  Epoch
	Offset uint64
	Record []byte
	// State is the encoded shard snapshot.
	State []byte
}

// SettingsRequest requests a peer's settings state. Next is the offset up to which
// the sender has applied records; a peer without a newer state sends none.
type SettingsRequest struct{ Next uint64 }

// SettingsState is a peer's settings state, applied up to Next, which is 0 if the peer
// has not caught up itself. State is empty if it is not newer than requested.
type SettingsState struct {
	Next  uint64
	State []byte
}

// AppliedRequest requests the receiver's applied settings offset.
type AppliedRequest struct{ Request RequestID }

// AppliedReply replies to an AppliedRequest.
type AppliedReply struct {
	Request RequestID
	Next    uint64
}

// Leaving informs a peer that the sender drains and accepts no new work, before the
// membership list shows it.
type Leaving struct{}

// Kind implementations of the messages.
func (*Submit) Kind() MessageKind           { return KindSubmit }
func (*Withdraw) Kind() MessageKind         { return KindWithdraw }
func (*SubmitAccepted) Kind() MessageKind   { return KindSubmitAccepted }
func (*CallChunk) Kind() MessageKind        { return KindCallChunk }
func (*CallEnd) Kind() MessageKind          { return KindCallEnd }
func (*NotOwner) Kind() MessageKind         { return KindNotOwner }
func (*ProgramRequest) Kind() MessageKind   { return KindProgramRequest }
func (*ProgramReply) Kind() MessageKind     { return KindProgramReply }
func (*ProgramsRequest) Kind() MessageKind  { return KindProgramsRequest }
func (*ProgramsReply) Kind() MessageKind    { return KindProgramsReply }
func (*PermitRequest) Kind() MessageKind    { return KindPermitRequest }
func (*PermitQueued) Kind() MessageKind     { return KindPermitQueued }
func (*PermitGrant) Kind() MessageKind      { return KindPermitGrant }
func (*PermitRefuse) Kind() MessageKind     { return KindPermitRefuse }
func (*PermitCancel) Kind() MessageKind     { return KindPermitCancel }
func (*PermitFinish) Kind() MessageKind     { return KindPermitFinish }
func (*ProgramEnded) Kind() MessageKind     { return KindProgramEnded }
func (*BudgetRequest) Kind() MessageKind    { return KindBudgetRequest }
func (*BudgetGrant) Kind() MessageKind      { return KindBudgetGrant }
func (*BudgetReturn) Kind() MessageKind     { return KindBudgetReturn }
func (*SuccessorHandoff) Kind() MessageKind { return KindSuccessorHandoff }
func (*SettingsRequest) Kind() MessageKind  { return KindSettingsRequest }
func (*SettingsState) Kind() MessageKind    { return KindSettingsState }
func (*AppliedRequest) Kind() MessageKind   { return KindAppliedRequest }
func (*AppliedReply) Kind() MessageKind     { return KindAppliedReply }
func (*Leaving) Kind() MessageKind          { return KindLeaving }

// NewMessage returns an empty message of a kind to decode into, nil if the kind is
// unknown.
func NewMessage(kind MessageKind) Message {
	make, ok := messageTypes[kind]
	if !ok {
		return nil
	}
	return make()
}

var messageTypes = map[MessageKind]func() Message{
	KindSubmit:           func() Message { return new(Submit) },
	KindWithdraw:         func() Message { return new(Withdraw) },
	KindSubmitAccepted:   func() Message { return new(SubmitAccepted) },
	KindCallChunk:        func() Message { return new(CallChunk) },
	KindCallEnd:          func() Message { return new(CallEnd) },
	KindNotOwner:         func() Message { return new(NotOwner) },
	KindProgramRequest:   func() Message { return new(ProgramRequest) },
	KindProgramReply:     func() Message { return new(ProgramReply) },
	KindProgramsRequest:  func() Message { return new(ProgramsRequest) },
	KindProgramsReply:    func() Message { return new(ProgramsReply) },
	KindPermitRequest:    func() Message { return new(PermitRequest) },
	KindPermitQueued:     func() Message { return new(PermitQueued) },
	KindPermitGrant:      func() Message { return new(PermitGrant) },
	KindPermitRefuse:     func() Message { return new(PermitRefuse) },
	KindPermitCancel:     func() Message { return new(PermitCancel) },
	KindPermitFinish:     func() Message { return new(PermitFinish) },
	KindProgramEnded:     func() Message { return new(ProgramEnded) },
	KindBudgetRequest:    func() Message { return new(BudgetRequest) },
	KindBudgetGrant:      func() Message { return new(BudgetGrant) },
	KindBudgetReturn:     func() Message { return new(BudgetReturn) },
	KindSuccessorHandoff: func() Message { return new(SuccessorHandoff) },
	KindSettingsRequest:  func() Message { return new(SettingsRequest) },
	KindSettingsState:    func() Message { return new(SettingsState) },
	KindAppliedRequest:   func() Message { return new(AppliedRequest) },
	KindAppliedReply:     func() Message { return new(AppliedReply) },
	KindLeaving:          func() Message { return new(Leaving) },

	KindReservationRequest:  func() Message { return new(ReservationRequest) },
	KindReservationReply:    func() Message { return new(ReservationReply) },
	KindReservationSettle:   func() Message { return new(ReservationSettle) },
	KindOwnerNotice:         func() Message { return new(OwnerNotice) },
	KindPartitionHandover:   func() Message { return new(PartitionHandover) },
	KindHandoverReply:       func() Message { return new(HandoverReply) },
	KindTargetFailureNotice: func() Message { return new(TargetFailureNotice) },

	KindConversationRequest: func() Message { return new(ConversationRequest) },
	KindConversationReply:   func() Message { return new(ConversationReply) },
	KindTurnsNotice:         func() Message { return new(TurnsNotice) },
	KindStoreTurnsRequest:   func() Message { return new(StoreTurnsRequest) },
	KindStoreTurnsReply:     func() Message { return new(StoreTurnsReply) },
	KindAllowanceRequest:    func() Message { return new(AllowanceRequest) },
	KindAllowanceReply:      func() Message { return new(AllowanceReply) },
	KindVoteRequest:         func() Message { return new(VoteRequest) },
	KindVoteReply:           func() Message { return new(VoteReply) },

	KindStreamPins:       func() Message { return new(StreamPins) },
	KindStreamPinRequest: func() Message { return new(StreamPinRequest) },
	KindStreamPinReply:   func() Message { return new(StreamPinReply) },

	KindLostRunsNotice: func() Message { return new(LostRunsNotice) },
	KindLostRunsReply:  func() Message { return new(LostRunsReply) },
	KindLostRunsAlarm:  func() Message { return new(LostRunsAlarm) },
}

// LastKind returns the highest kind of message that this build decodes.
func LastKind() MessageKind { return slices.Max(slices.Collect(maps.Keys(messageTypes))) }
