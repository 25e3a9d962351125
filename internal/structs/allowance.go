package structs

import "time"

// Kinds of the messages about organisations' allowances.
const (
	KindAllowanceRequest MessageKind = 39
	KindAllowanceReply   MessageKind = 40
	KindVoteRequest      MessageKind = 41
	KindVoteReply        MessageKind = 42
)

// AllowanceRequest asks the coordinator of an organisation for requests that the
// sender may let run.
type AllowanceRequest struct {
	Number       uint64
	Slot         int
	Organisation string
	// PerSecond and Burst are the limit that the sender knows, Version that of
	// the settings it comes from.
	PerSecond float64
	Burst     float64
	Version   int64
	// Requests is the number of requests of programs under way, or of none, that
	// wait for the answer.
	Requests int
	// FirstTurns are the first turns that wait, by rank.
	FirstTurns [AllowanceRanks]int
	// Reruns is the number of runs since the last ask that were not asked for:
	// requests that ran a second time.
	Reruns int
	// FirstTurnPrograms names the programs of Starts, in the order in which they are let in,
	// and Calls those of Want that were not named before; by hashes, 0 for none.
	FirstTurnPrograms [AllowanceRanks][]uint64
	RequestPrograms   []uint64
	// Returned is the number of requests that were let in since the last ask and
	// did not run, ReturnedFirstTurns that of first turns.
	Returned           int
	ReturnedFirstTurns int
}

// AllowanceRanks is the number of ranks of first turns: the operator's most
// urgent ones, and all others.
const AllowanceRanks = 2

// AllowanceOutcome is how an ask ended.
type AllowanceOutcome uint8

// Outcomes of an AllowanceRequest.
const (
	// AllowanceAllocated: what the reply holds may run, what it lacks is over the
	// limit.
	AllowanceAllocated AllowanceOutcome = 1
	// AllowanceNotCoordinator: the receiver does not coordinate the organisation.
	AllowanceNotCoordinator AllowanceOutcome = 2
)

// AllowanceReply answers an AllowanceRequest.
type AllowanceReply struct {
	Number  uint64
	Outcome AllowanceOutcome
	// Granted of the requests that wait, and Starts of the first turns, may run.
	Granted    int
	FirstTurns [AllowanceRanks]int
	// RetryAfter is when there should be room for what was not granted.
	RetryAfter time.Duration
	// Remaining is what the coordinator has left to deal out, in requests, with Votes of
	// the slot's voters.
	Remaining float64
	Votes     int
	// Utilization is what the coordinator dealt out over the last second or two against
	// the limit: 1 is at the limit, 0 is unknown.
	Utilization float64
}

// VoteRequest asks for the receiver's part of the allowances of a slot.
type VoteRequest struct {
	Number uint64
	Slot   int
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Number uint64
	// Granted tells that the sender lends its part to nobody else until a vote's
	// lifetime from now.
	Granted bool
	// Restarted tells that an earlier start of the sender may still lend it.
	Restarted bool
	// Reassigned tells that the sender lent it to another one before, or to none, and
	// that this did not happen twice within a window.
	Reassigned bool
}

// Kind tags of the messages.
func (*AllowanceRequest) Kind() MessageKind { return KindAllowanceRequest }
func (*AllowanceReply) Kind() MessageKind   { return KindAllowanceReply }
func (*VoteRequest) Kind() MessageKind      { return KindVoteRequest }
func (*VoteReply) Kind() MessageKind        { return KindVoteReply }
