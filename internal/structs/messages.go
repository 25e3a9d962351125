package structs

import "time"

// ProtocolVersion is the version of the messages between instances. A peer
// that speaks another is refused at the handshake.
const ProtocolVersion = 1

// MessageKind tags a message on the wire.
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
	KindProgramGone      MessageKind = 16
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

// Submit hands a call from a gateway to the program's owner.
type Submit struct {
	Request RequestID
	Call    *Call
	// Remaining is the time to the caller's deadline at the sending.
	Remaining time.Duration
	// NextPiece is the index of the first chunk piece that the gateway lacks:
	// greater than 0 when it submits again after an owner was lost.
	NextPiece int
	// ReceivedRun is CallChunk.Run of the pieces that the gateway has; pieces of
	// another run must not follow them.
	ReceivedRun RunID
	// Suspects are instances that the gateway finds unreachable.
	Suspects []InstanceID
	// Resubmitted tells that the gateway handed this request to another
	// owner before and has no outcome of it: that owner may have run it, so
	// an owner that does not run it must not answer "not run".
	Resubmitted bool
}

// Withdraw tells the owner that the caller is gone.
type Withdraw struct{ Request RequestID }

// SubmitAccepted tells the gateway that the owner has the call.
type SubmitAccepted struct{ Request RequestID }

// CallChunk carries a part of a streamed answer to the gateway.
type CallChunk struct {
	Request RequestID
	// Run is the run that made the pieces.
	Run   RunID
	Chunk Chunk
}

// CallEnd carries the outcome to the gateway. Text of a streamed chat answer
// is whole here too; the gateway takes from it what it lacks.
type CallEnd struct {
	Request RequestID
	// Run is the run that made the answer, empty if none did.
	Run     RunID
	Outcome Outcome
}

// NotOwner tells the gateway that the receiver does not own the shard and did
// not take the call; Owner is a better one if known.
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

// ProgramRequest asks a program's owner for an operation.
type ProgramRequest struct {
	Request   RequestID
	Op        ProgramOp
	Program   ProgramID
	Team      Team
	Remaining time.Duration
	// Suspects are instances that the gateway finds unreachable.
	Suspects []InstanceID
}

// ProgramReply answers a ProgramRequest.
type ProgramReply struct {
	Request RequestID
	Outcome Outcome
	Info    ProgramInfo
}

// ProgramsRequest asks an instance for the programs it owns under a team path.
type ProgramsRequest struct {
	Request RequestID
	Team    Team
	Limit   int
}

// ProgramsReply answers a ProgramsRequest.
type ProgramsReply struct {
	Request  RequestID
	Programs []ProgramInfo
}

// CacheHint tells how much of a program's prefix a target held last.
type CacheHint struct {
	Target TargetID
	Tokens int64
}

// PermitRequest asks a pool's dispatcher for a place to run a call. Sent again
// with the same Run it is idempotent. With Running set it registers a call
// that already runs at that target, after a change of dispatcher.
type PermitRequest struct {
	Pool     PoolID
	Ref      CallRef
	Team     Team
	Priority int
	Weight   float64
	// Served is the program's attained service, Age its time since creation
	// and Slack the time to its deadline (0 and HasDeadline false if none).
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

// PermitQueued tells the owner that the dispatcher has the request.
type PermitQueued struct{ Ref CallRef }

// PermitGrant lets the owner run the call at the target now.
type PermitGrant struct {
	Pool   PoolID
	Ref    CallRef
	Target Target
}

// PermitRefuse tells that the dispatcher will not place the call.
type PermitRefuse struct {
	Pool       PoolID
	Ref        CallRef
	Reason     Reason
	RetryAfter time.Duration
}

// PermitCancel takes a request back: it waits no more and was not sent.
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
	// CacheTokens is the prefix that the target holds for the program now.
	CacheTokens int64
	// Pausing tells that the program went into a tool pause.
	Pausing bool
}

// ProgramEnded tells a pool's dispatcher that a program ended.
type ProgramEnded struct {
	Pool    PoolID
	Program ProgramID
}

// BudgetRequest asks the ledger's owner (of a team path) for a chunk. Grant is
// unique and makes the request idempotent.
type BudgetRequest struct {
	Team    Team
	Account ShardRef
	Grant   string
	Tokens  int64
	Fees    int64
}

// BudgetGrant answers a BudgetRequest; it may give less than was asked. Refused
// tells that nothing is left.
type BudgetGrant struct {
	Team    Team
	Account ShardRef
	Grant   string
	Tokens  int64
	Fees    int64
	Refused bool
}

// BudgetReturn gives back what was left of a grant.
type BudgetReturn struct {
	Team    Team
	Account ShardRef
	Grant   string
	Tokens  int64
	Fees    int64
}

// SuccessorHandoff gives the named successor of a shard the record that allows
// it to serve repeatable calls within a chunk while the log is down.
type SuccessorHandoff struct {
	Shard  ShardRef
	Epoch  Epoch
	Offset uint64
	Record []byte
	// State is the encoded shard snapshot.
	State []byte
}

// SettingsRequest asks a peer for its settings state. Have is the offset that
// the sender has applied up to; a peer without a newer state sends none.
type SettingsRequest struct{ Have uint64 }

// SettingsState is a peer's settings state, applied up to Next; 0 if the peer has
// not caught up itself. State is empty if it is not newer than was asked.
type SettingsState struct {
	Next  uint64
	State []byte
}

// AppliedRequest asks which settings offset is applied.
type AppliedRequest struct{ Request RequestID }

// AppliedReply answers it.
type AppliedReply struct {
	Request RequestID
	Next    uint64
}

// Leaving tells a peer that the sender drains: it takes no new work. It comes
// ahead of the lagging membership list.
type Leaving struct{}

// Kind tags of the messages.
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
func (*ProgramEnded) Kind() MessageKind     { return KindProgramGone }
func (*BudgetRequest) Kind() MessageKind    { return KindBudgetRequest }
func (*BudgetGrant) Kind() MessageKind      { return KindBudgetGrant }
func (*BudgetReturn) Kind() MessageKind     { return KindBudgetReturn }
func (*SuccessorHandoff) Kind() MessageKind { return KindSuccessorHandoff }
func (*SettingsRequest) Kind() MessageKind  { return KindSettingsRequest }
func (*SettingsState) Kind() MessageKind    { return KindSettingsState }
func (*AppliedRequest) Kind() MessageKind   { return KindAppliedRequest }
func (*AppliedReply) Kind() MessageKind     { return KindAppliedReply }
func (*Leaving) Kind() MessageKind          { return KindLeaving }

// NewMessage makes an empty message of a kind for a decoder, nil if the kind
// is unknown.
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
	KindProgramGone:      func() Message { return new(ProgramEnded) },
	KindBudgetRequest:    func() Message { return new(BudgetRequest) },
	KindBudgetGrant:      func() Message { return new(BudgetGrant) },
	KindBudgetReturn:     func() Message { return new(BudgetReturn) },
	KindSuccessorHandoff: func() Message { return new(SuccessorHandoff) },
	KindSettingsRequest:  func() Message { return new(SettingsRequest) },
	KindSettingsState:    func() Message { return new(SettingsState) },
	KindAppliedRequest:   func() Message { return new(AppliedRequest) },
	KindAppliedReply:     func() Message { return new(AppliedReply) },
	KindLeaving:          func() Message { return new(Leaving) },

	KindRoomRequest:       func() Message { return new(ReservationRequest) },
	KindRoomReply:         func() Message { return new(ReservationReply) },
	KindRoomSettle:        func() Message { return new(ReservationSettle) },
	KindOwnerNotice:       func() Message { return new(OwnerNotice) },
	KindPartitionHandover: func() Message { return new(PartitionHandover) },
	KindHandoverReply:     func() Message { return new(HandoverReply) },
	KindTargetNotice:      func() Message { return new(TargetFailureNotice) },

	KindConversationRequest: func() Message { return new(ConversationRequest) },
	KindConversationReply:   func() Message { return new(ConversationReply) },
	KindTurnsNotice:         func() Message { return new(TurnsNotice) },
	KindStoreTurnsRequest:   func() Message { return new(StoreTurnsRequest) },
	KindStoreTurnsReply:     func() Message { return new(StoreTurnsReply) },
	KindAllowanceRequest:    func() Message { return new(AllowanceRequest) },
	KindAllowanceReply:      func() Message { return new(AllowanceReply) },
	KindVoteRequest:         func() Message { return new(VoteRequest) },
	KindVoteReply:           func() Message { return new(VoteReply) },
}
