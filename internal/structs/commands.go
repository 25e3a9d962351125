package structs

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Command is an output of the core, executed by an adapter.
type Command interface{ command() }

// ReplyChunk sends a caller of this instance a part of its streamed response.
type ReplyChunk struct {
	Request RequestID
	Chunk   Chunk
}

// ReplyOutcome sends a caller of this instance its outcome, exactly once for each
// CallerSubmit.
type ReplyOutcome struct {
	Request RequestID
	Outcome Outcome
}

// ReplyProgram replies to a CallerProgram. Outcome.Kind is OutcomeAnswered if Info
// holds the program.
type ReplyProgram struct {
	Request RequestID
	Outcome Outcome
	Info    ProgramInfo
}

// ReplyPrograms replies to a CallerPrograms. Missing lists the instances that did not
// reply.
type ReplyPrograms struct {
	Request  RequestID
	Programs []ProgramInfo
	Missing  []InstanceID
}

// ReplySettings replies to a SettingsPropose.
type ReplySettings struct {
	Request RequestID
	Result  SettingsResult
}

// ReplyApplied replies to a SettingsApplied.
type ReplyApplied struct {
	Request RequestID
	Applied map[InstanceID]uint64
	Missing []InstanceID
}

// SendPeer sends a message to another instance. Delivery is at most once and in order
// within one connection; PeerDown reports a broken connection.
type SendPeer struct {
	To  InstanceID
	Msg Message
}

// ProbePeer requests a heartbeat. It results in PeerUp or PeerDown.
type ProbePeer struct{ To InstanceID }

// WatchPeers lists the instances whose liveness is needed now. The adapter sends
// heartbeats only to these and reports PeerDown when one is missed.
type WatchPeers struct{ Peers []InstanceID }

// LogAppend appends records atomically to a stream. It results in LogAppended or
// LogAppendFailed; the adapter does not retry.
type LogAppend struct {
	ID      AppendID
	Stream  string
	Records [][]byte
}

// LogTail starts following a stream from an offset. Another LogTail of the stream
// moves the offset.
type LogTail struct {
	Stream string
	From   uint64
}

// LogTailEnd starts following a stream from its newest record, or from its end if it
// is empty.
type LogTailEnd struct{ Stream string }

// LogStop stops following a stream.
type LogStop struct{ Stream string }

// StartRun sends a call to a target. The adapter sends it once and never retries. It
// results in RunChunk and RunEnded events.
type StartRun struct {
	Run     RunID
	Target  Target
	Call    *Call
	Fencing uint64
	Timeout time.Duration
	// NotAfter is the time after which the adapter must not send the request but
	// report RunNotSent; zero if there is no limit.
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

// QueryOutcome queries a target for the outcome of the request with a key. It results
// in OutcomeQueried.
type QueryOutcome struct {
	Run    RunID
	Target Target
	// Program is the scope of Key, as in the Call of StartRun.
	Program ProgramID
	Key     string
}

// WatchTargets lists the targets whose load and cache events are needed.
type WatchTargets struct{ Targets []Target }

// ReleaseCache requests that a target drop a program's cache. It results in
// CacheReleased.
type ReleaseCache struct {
	Target  Target
	Program ProgramID
}

// ReadOrders requests a target's order state. It results in OrdersRead.
type ReadOrders struct {
	ID     OrderID
	Target Target
}

// SendOrder sends an order to a target. It results in OrderSent. The adapter sends it
// once, never retries, and must not send it after NotAfter.
type SendOrder struct {
	ID       OrderID
	Target   Target
	Order    wire.Order
	NotAfter time.Time
}

// Ready reports whether this instance may receive traffic.
type Ready struct {
	Ready  bool
	Reason string
}

// Note is a log line about a shard, a program or a call, for operators. Empty fields
// are omitted.
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
	// Other is the other instance involved, empty if none.
	Other InstanceID
}

// DrainDone reports that the drain is complete: nothing is in flight.
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
