package journal

import (
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Kind is the type of a record. The numbers are part of the stored format.
type Kind uint8

// Kinds of records.
const (
	KindClaim        Kind = 1
	KindOpen         Kind = 2
	KindReserve      Kind = 3
	KindIntent       Kind = 4
	KindStarted      Kind = 5
	KindDone         Kind = 6
	KindAbandoned    Kind = 7
	KindSettled      Kind = 8
	KindClosed       Kind = 9
	KindReleased     Kind = 10
	KindLedgerGrant  Kind = 11
	KindLedgerReturn Kind = 12
	KindCredit       Kind = 13
	KindSnapshot     Kind = 14
	KindCheck        Kind = 15
)

// Fenced reports whether a record of the kind is rejected after a newer claim.
// The others state facts that hold whoever owns the shard.
func (k Kind) Fenced() bool {
	switch k {
	case KindStarted, KindDone, KindAbandoned, KindSettled, KindLedgerReturn:
		return false
	default:
		return true
	}
}

// Header identifies a record. A writer's sequence numbers ascend in the log, so
// that a repeated append whose first reply was lost is detected as a duplicate.
type Header struct {
	Epoch    structs.Epoch
	Writer   string
	Sequence uint64
	// Snapshot is the offset, plus one, from which to read the newest snapshot
	// known to the writer; 0 if unset.
	Snapshot uint64
	// TimeMS is the writer's clock in Unix milliseconds.
	TimeMS int64
}

// Body is the part of a record that depends on its kind.
type Body interface{ Kind() Kind }

// Record is one decoded journal record.
type Record struct {
	Header
	Body Body
}

// Claim makes its writer the owner of the shard in the header's epoch.
type Claim struct{ Instance structs.InstanceID }

// Open creates a program.
type Open struct {
	Program structs.ProgramID
	Team    structs.Team
	// Single marks the program of a single call, which ends with that call.
	Single bool
}

// Amount is a sum of tokens and fees.
type Amount struct {
	Tokens int64
	Fees   int64
}

// Add returns a+b.
func (a Amount) Add(b Amount) Amount {
	return Amount{Tokens: a.Tokens + b.Tokens, Fees: a.Fees + b.Fees}
}

// Sub returns a-b.
func (a Amount) Sub(b Amount) Amount {
	return Amount{Tokens: a.Tokens - b.Tokens, Fees: a.Fees - b.Fees}
}

// LessOrEqual reports whether neither tokens nor fees of a exceed those of b.
func (a Amount) LessOrEqual(b Amount) bool { return a.Tokens <= b.Tokens && a.Fees <= b.Fees }

// IsZero reports whether tokens and fees are zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// Min returns the minimum of tokens and of fees.
func (a Amount) Min(b Amount) Amount {
	return Amount{Tokens: min(a.Tokens, b.Tokens), Fees: min(a.Fees, b.Fees)}
}

// Max returns the maximum of tokens and of fees.
func (a Amount) Max(b Amount) Amount {
	return Amount{Tokens: max(a.Tokens, b.Tokens), Fees: max(a.Fees, b.Fees)}
}

// Reserve adds to the chunk that the owner of the epoch may spend on repeatable
// calls of a program. It must be applied before any of it is spent.
type Reserve struct {
	Program structs.ProgramID
	Amount  Amount
}

// CallID identifies a call within a shard. Team and Single allow a record to
// create the state of a program without an Open record (a single call).
type CallID struct {
	Program structs.ProgramID
	Team    structs.Team
	Single  bool
	Lane    structs.Lane
	Number  uint64
	// Key is the idempotency key, generated if the caller gave none.
	Key    string
	Digest structs.Digest
	Run    structs.RunID
}

// Intent precedes the only send of a not-repeatable call. Hold is the maximum
// cost, counted as spent until the call is done or abandoned.
type Intent struct {
	CallID
	Service structs.ServiceName
	Hold    Amount
	// HistoryCount and HistoryDigest describe the conversation including the
	// call's request. They become the lane's history if the outcome stays
	// unknown.
	HistoryCount  int
	HistoryDigest structs.ChainDigest
}

// Started records that a run was or is about to be sent to a target, which may
// hold cache of the program from then on.
type Started struct {
	CallID
	Service       structs.ServiceName
	Target        structs.TargetID
	NotRepeatable bool
	// Cache indicates that the target keeps a prefix cache for programs.
	Cache bool
}

// Done is the final outcome of a call that was or may have been sent.
type Done struct {
	CallID
	Service       structs.ServiceName
	Target        structs.TargetID
	NotRepeatable bool
	// Chunk indicates that the cost is charged to the writer's chunk (see
	// Reserve).
	Chunk   bool
	Cost    Amount
	Outcome structs.Outcome
	// CacheTokens is the size of the prefix cached by the target afterwards.
	CacheTokens   int64
	TookNS        int64
	HistoryCount  int
	HistoryDigest structs.ChainDigest
}

// Abandoned records that a call with an Intent was not sent and never will be.
type Abandoned struct {
	Program structs.ProgramID
	Run     structs.RunID
}

// Settled records that the owner of the header's epoch spends no more from its
// chunk of a program. What it used is in its Done records.
type Settled struct{ Program structs.ProgramID }

// Closed ends a program.
type Closed struct {
	Program structs.ProgramID
	Reason  structs.Reason
	// Targets may hold cache of the program without a Started record: an
	// earlier owner may have crashed before appending it.
	Targets []CacheTarget
}

// CacheTarget is a target that keeps a prefix cache for programs.
type CacheTarget struct {
	Target  structs.TargetID
	Service structs.ServiceName
}

// Released records that a target confirmed that it holds no cache of a program.
type Released struct {
	Program structs.ProgramID
	Target  structs.TargetID
}

// LedgerGrant grants a part of a team path's budget to a shard.
type LedgerGrant struct {
	Team    structs.Team
	Account structs.ShardRef
	Grant   string
	Amount  Amount
}

// LedgerReturn returns the unused part of a grant.
type LedgerReturn struct {
	Team   structs.Team
	Grant  string
	Amount Amount
}

// Credit records a grant at the shard that received it.
type Credit struct {
	Team   structs.Team
	Grant  string
	Amount Amount
}

// Check has no effect on the state. Its writer owns the shard if it is applied
// when read back.
type Check struct{}

// Snapshot is one part of an encoded State that covers the stream up to Next. All
// parts are appended in one batch.
type Snapshot struct {
	Next  uint64
	Part  int
	Parts int
	Data  []byte
}

// The Kind methods implement Body.
func (*Claim) Kind() Kind        { return KindClaim }
func (*Open) Kind() Kind         { return KindOpen }
func (*Reserve) Kind() Kind      { return KindReserve }
func (*Intent) Kind() Kind       { return KindIntent }
func (*Started) Kind() Kind      { return KindStarted }
func (*Done) Kind() Kind         { return KindDone }
func (*Abandoned) Kind() Kind    { return KindAbandoned }
func (*Settled) Kind() Kind      { return KindSettled }
func (*Closed) Kind() Kind       { return KindClosed }
func (*Released) Kind() Kind     { return KindReleased }
func (*LedgerGrant) Kind() Kind  { return KindLedgerGrant }
func (*LedgerReturn) Kind() Kind { return KindLedgerReturn }
func (*Credit) Kind() Kind       { return KindCredit }
func (*Snapshot) Kind() Kind     { return KindSnapshot }
func (*Check) Kind() Kind        { return KindCheck }

// newBody returns an empty body of a kind, or nil if the kind is unknown.
func newBody(kind Kind) Body {
	switch kind {
	case KindClaim:
		return new(Claim)
	case KindOpen:
		return new(Open)
	case KindReserve:
		return new(Reserve)
	case KindIntent:
		return new(Intent)
	case KindStarted:
		return new(Started)
	case KindDone:
		return new(Done)
	case KindAbandoned:
		return new(Abandoned)
	case KindSettled:
		return new(Settled)
	case KindClosed:
		return new(Closed)
	case KindReleased:
		return new(Released)
	case KindLedgerGrant:
		return new(LedgerGrant)
	case KindLedgerReturn:
		return new(LedgerReturn)
	case KindCredit:
		return new(Credit)
	case KindSnapshot:
		return new(Snapshot)
	case KindCheck:
		return new(Check)
	default:
		return nil
	}
}
