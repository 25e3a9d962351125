package structs

import "time"

// Kinds of the messages about organisations' allowances.
const (
	KindAllowanceAsk   MessageKind = 39
	KindAllowanceReply MessageKind = 40
	KindVoteRequest    MessageKind = 41
	KindVoteReply      MessageKind = 42
)

// AllowanceAsk asks the coordinator of an organisation for requests that the
// sender may let run.
type AllowanceAsk struct {
	Number       uint64
	Slot         int
	Organisation string
	// PerSecond and Burst are the limit that the sender knows, Version that of
	// the settings it comes from.
	PerSecond float64
	Burst     float64
	Version   int64
	// Want is the number of requests of programs under way, or of none, that
	// wait for the answer.
	Want int
	// Starts are the first turns that wait, by rank.
	Starts [AllowanceRanks]int
	// Debt is the number of runs since the last ask that were not asked for:
	// requests that ran a second time.
	Debt int
	// Begins names the programs of Starts, in the order in which they are let in,
	// and Calls those of Want that were not named before; by hashes, 0 for none.
	Begins [AllowanceRanks][]uint64
	Calls  []uint64
	// Returned is the number of requests that were let in since the last ask and
	// did not run, ReturnedStarts that of first turns.
	Returned       int
	ReturnedStarts int
}

// AllowanceRanks is the number of ranks of first turns: the operator's most
// urgent ones, and all others.
const AllowanceRanks = 2

// AllowanceOutcome is how an ask ended.
type AllowanceOutcome uint8

// Outcomes of an AllowanceAsk.
const (
	// AllowanceDealt: what the reply holds may run, what it lacks is over the
	// limit.
	AllowanceDealt AllowanceOutcome = 1
	// AllowanceNoShare: the receiver does not coordinate the organisation.
	AllowanceNoShare AllowanceOutcome = 2
)

// AllowanceReply answers an AllowanceAsk.
type AllowanceReply struct {
	Number  uint64
	Outcome AllowanceOutcome
	// Granted of the requests that wait, and Starts of the first turns, may run.
	Granted int
	Starts  [AllowanceRanks]int
	// RetryAfter is when there should be room for what was not granted.
	RetryAfter time.Duration
	// Left is what the coordinator has left to deal out, in requests, with Votes of
	// the slot's voters.
	Left  float64
	Votes int
	// Use is what the coordinator dealt out over the last second or two against
	// the limit: 1 is at the limit, 0 is unknown.
	Use float64
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
	// Fresh tells that an earlier start of the sender may still lend it.
	Fresh bool
	// Moved tells that the sender lent it to another one before, or to none, and
	// that this did not happen twice within a window.
	Moved bool
}

// Kind tags of the messages.
func (*AllowanceAsk) Kind() MessageKind   { return KindAllowanceAsk }
func (*AllowanceReply) Kind() MessageKind { return KindAllowanceReply }
func (*VoteRequest) Kind() MessageKind    { return KindVoteRequest }
func (*VoteReply) Kind() MessageKind      { return KindVoteReply }
