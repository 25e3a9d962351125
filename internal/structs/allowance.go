package structs

import "time"

// Kinds of the messages about organisations' allowances.
const (
	KindAllowanceRequest MessageKind = 39
	KindAllowanceReply   MessageKind = 40
	KindVoteRequest      MessageKind = 41
	KindVoteReply        MessageKind = 42
)

// AllowanceRequest requests permits to run requests from the coordinator of an
// organisation.
type AllowanceRequest struct {
	Number       uint64
	Slot         int
	Organisation string
	// PerSecond and Burst are the limit known to the sender, Version the version of
	// its settings.
	PerSecond float64
	Burst     float64
	Version   int64
	// Requests is the number of waiting requests that belong to a program in progress
	// or to no program.
	Requests int
	// FirstTurns counts the waiting first turns by rank.
	FirstTurns [AllowanceRanks]int
	// Reruns is the number of requests that ran a second time, without a permit of
	// their own, since the last AllowanceRequest.
	Reruns int
	// FirstTurnPrograms holds the hashes of the programs of FirstTurns in order of
	// admission. RequestPrograms holds those of Requests that were not reported
	// before. The hash is 0 for a request without a program.
	FirstTurnPrograms [AllowanceRanks][]uint64
	RequestPrograms   []uint64
	// Returned and ReturnedFirstTurns count the requests and first turns that were
	// admitted since the last AllowanceRequest but did not run.
	Returned           int
	ReturnedFirstTurns int
}

// AllowanceRanks is the number of ranks of first turns: the operator's highest
// priority, and all others.
const AllowanceRanks = 2

// AllowanceOutcome is the result of an AllowanceRequest.
type AllowanceOutcome uint8

// Outcomes of an AllowanceRequest.
const (
	// AllowanceAllocated: the permits in the reply may be used; more would exceed the
	// limit.
	AllowanceAllocated AllowanceOutcome = 1
	// AllowanceNotCoordinator: the receiver does not coordinate the organisation.
	AllowanceNotCoordinator AllowanceOutcome = 2
)

// AllowanceReply replies to an AllowanceRequest.
type AllowanceReply struct {
	Number  uint64
	Outcome AllowanceOutcome
	// Granted is the number of requests, and FirstTurns that of first turns by rank,
	// that may run.
	Granted    int
	FirstTurns [AllowanceRanks]int
	// RetryAfter is the delay after which the permits not granted may be available.
	RetryAfter time.Duration
	// Remaining is the number of requests that the coordinator can still allocate,
	// Votes the number of votes that it holds for the slot.
	Remaining float64
	Votes     int
	// Utilization is the recently allocated rate as a fraction of the limit; 0 if
	// unknown.
	Utilization float64
}

// VoteRequest requests a lease of the receiver's part of the allowances of a slot.
type VoteRequest struct {
	Number uint64
	Slot   int
}

// VoteReply replies to a VoteRequest.
type VoteReply struct {
	Number uint64
	// Granted indicates that the sender leases its part to no other instance until the
	// lease expires.
	Granted bool
	// Restarted indicates that a lease granted by an earlier incarnation of the sender
	// may still be in force.
	Restarted bool
	// Reassigned indicates that the part was previously leased to another instance or
	// to none. It is set at most once within a window.
	Reassigned bool
}

// Kind implementations of the messages.
func (*AllowanceRequest) Kind() MessageKind { return KindAllowanceRequest }
func (*AllowanceReply) Kind() MessageKind   { return KindAllowanceReply }
func (*VoteRequest) Kind() MessageKind      { return KindVoteRequest }
func (*VoteReply) Kind() MessageKind        { return KindVoteReply }
