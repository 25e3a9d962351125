package structs

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Command is an output of the core, carried out by an adapter.
type Command interface{ command() }

// ReplyChunk gives a caller of this instance a part of its streamed answer.
type ReplyChunk struct {
	Request RequestID
	Chunk   Chunk
}

// ReplyOutcome gives a caller of this instance its outcome. It is sent exactly
// once for each CallerSubmit.
type ReplyOutcome struct {
	Request RequestID
	Outcome Outcome
}

// ReplyProgram answers a CallerProgram. Outcome.Kind is OutcomeAnswered if
// Info holds the program.
type ReplyProgram struct {
	Request RequestID
	Outcome Outcome
	Info    ProgramInfo
}

// ReplyPrograms answers a CallerPrograms. Missing lists the instances that did
// not answer.
type ReplyPrograms struct {
	Request  RequestID
	Programs []ProgramInfo
	Missing  []InstanceID
}

// ReplySettings answers a SettingsPropose.
type ReplySettings struct {
	Request RequestID
	Result  SettingsResult
}

// ReplyApplied answers a SettingsApplied.
type ReplyApplied struct {
	Request RequestID
	Applied map[InstanceID]uint64
	Missing []InstanceID
}

// SendPeer sends a message to another instance. Delivery is at most once and
// in order for one connection; PeerDown tells of a break.
type SendPeer struct {
	To  InstanceID
	Msg Message
}

// ProbePeer asks for a heartbeat; the answer is PeerUp or PeerDown.
type ProbePeer struct{ To InstanceID }

// WatchPeers lists the instances whose liveness matters now; the adapter
// sends heartbeats to just these and reports PeerDown on a missed one.
type WatchPeers struct{ Peers []InstanceID }

// LogAppend appends records atomically to a stream. The answer is LogAppended
// or LogAppendFailed; the adapter does not retry.
type LogAppend struct {
	ID      AppendID
	Stream  string
	Records [][]byte
}

// LogTail starts reading a stream from an offset and goes on; a second LogTail
// of the stream moves the offset.
type LogTail struct {
	Stream string
	From   uint64
}

// LogTailEnd starts reading a stream at its newest record (or at its end if it
// is empty), and goes on.
type LogTailEnd struct{ Stream string }

// LogStop stops reading a stream.
type LogStop struct{ Stream string }

// StartRun sends a call to a target. The adapter sends it once and never
// retries. Chunks and the end come back as RunChunk and RunEnded.
type StartRun struct {
	Run     RunID
	Target  Target
	Call    *Call
	Fencing uint64
	Timeout time.Duration
	// NotAfter is the time after which the adapter must not send the
	// request any more but report RunNotSent; zero for none.
	NotAfter time.Time
}

// ResumeRun attaches to a chat stream at an engine from piece index From on.
type ResumeRun struct {
	Run     RunID
	Target  Target
	From    int
	Timeout time.Duration
}

// CancelRun stops a run at its target.
type CancelRun struct {
	Run    RunID
	Target Target
}

// QueryOutcome asks a target whether it ran a request with that key.
type QueryOutcome struct {
	Run    RunID
	Target Target
	// Program scopes Key, as in StartRun's Call.
	Program ProgramID
	Key     string
}

// WatchTargets lists the targets whose load and cache events are wanted.
type WatchTargets struct{ Targets []Target }

// ReleaseCache asks a target to drop a program's cache; the answer is
// CacheReleased.
type ReleaseCache struct {
	Target  Target
	Program ProgramID
}

// ReadOrders asks a target for its state under orders; the answer is
// OrdersRead.
type ReadOrders struct {
	ID     OrderID
	Target Target
}

// SendOrder sends an order to a target; the answer is OrderSent. The adapter
// sends it once and never retries. It must not send the order after NotAfter.
type SendOrder struct {
	ID       OrderID
	Target   Target
	Order    wire.Order
	NotAfter time.Time
}

// Ready tells whether this instance may take traffic (see readiness).
type Ready struct {
	Ready  bool
	Reason string
}

// Note is a line for the log: what happened to a shard, a program or a call that
// operators may have to explain later. Empty fields are left out.
type Note struct {
	Message string
	Shard   ShardRef
	Epoch   Epoch
	Program ProgramID
	Team    Team
	Lane    Lane
	Number  uint64
	Run     RunID
	Target  TargetID
	Reason  Reason
	// Other is the instance concerned, if it is another.
	Other InstanceID
}

// DrainDone tells that nothing is in flight any more.
type DrainDone struct{}

func (ReplyChunk) command()    {}
func (ReplyOutcome) command()  {}
func (ReplyProgram) command()  {}
func (ReplyPrograms) command() {}
func (ReplySettings) command() {}
func (ReplyApplied) command()  {}
func (SendPeer) command()      {}
func (ProbePeer) command()     {}
func (WatchPeers) command()    {}
func (LogAppend) command()     {}
func (LogTail) command()       {}
func (LogTailEnd) command()    {}
func (LogStop) command()       {}
func (StartRun) command()      {}
func (ResumeRun) command()     {}
func (CancelRun) command()     {}
func (QueryOutcome) command()  {}
func (WatchTargets) command()  {}
func (ReleaseCache) command()  {}
func (ReadOrders) command()    {}
func (SendOrder) command()     {}
func (Ready) command()         {}
func (Note) command()          {}
func (DrainDone) command()     {}
