package structs

import "time"

// Kinds of the messages about room in programs' budgets.
const (
	KindRoomRequest       MessageKind = 27
	KindRoomReply         MessageKind = 28
	KindRoomSettle        MessageKind = 29
	KindOwnerNotice       MessageKind = 30
	KindPartitionHandover MessageKind = 31
	KindHandoverReply     MessageKind = 32
)

// RoomOutcome is how a request for room ended.
type RoomOutcome uint8

// Outcomes of a request for room.
const (
	// RoomGranted: the turn may run.
	RoomGranted RoomOutcome = 1
	// RoomSpent: the budget has no room for the turn.
	RoomSpent RoomOutcome = 2
	// RoomNotOwner: the receiver does not own the partition.
	RoomNotOwner RoomOutcome = 3
	// RoomUnavailable: the receiver can neither hand out room nor claim the
	// partition, since it does not reach the store.
	RoomUnavailable RoomOutcome = 4
	// RoomNoRecord: the owner cannot write the record that the turn needs,
	// since it does not reach the store.
	RoomNoRecord RoomOutcome = 5
)

// RoomLease names room that was handed out: the instance that runs the turn
// and its number for it.
type RoomLease struct {
	Holder InstanceID
	Number uint64
}

// RoomRequest asks the owner of a partition of programs for room for a turn.
type RoomRequest struct {
	Lease     RoomLease
	Partition int
	Program   string
	// Budget is the program's whole budget, Most the most that the turn
	// generates, in tokens.
	Budget int
	Most   int
	// Retention is how long the program may come back after its last turn.
	Retention time.Duration
	// Suspect is an owner that did not answer the sender, empty for none.
	Suspect InstanceID
	// Named tells that another instance named the receiver as the owner.
	Named bool
	// Loads are the newest reports that targets gave the sender.
	Loads []TargetReport
}

// RoomReply answers a RoomRequest.
type RoomReply struct {
	Lease   RoomLease
	Outcome RoomOutcome
	// Owner is a better one to ask with RoomNotOwner, empty if unknown.
	Owner InstanceID
	// Partition and Program are those of the request, so that room that is no
	// longer wanted can be given back.
	Partition int
	Program   string
	// Breaks are targets that broke connections lately, as the owner knows.
	Breaks []TargetBreak
	// Target ran the program's last turn, as far as the owner knows; empty if it
	// does not.
	Target string
	// First tells that the owner knows of no turn of the program before this one.
	First bool
	// Loads are new reports of targets' loads that the owner knows of, Pools what
	// it knows of whole services.
	Loads []TargetReport
	Pools []PoolReport
}

// RoomSettle ends a lease: what was not used is free again.
type RoomSettle struct {
	Lease     RoomLease
	Partition int
	Program   string
	Used      int
	// Target ran the turn, empty if none did.
	Target string
	// Failed tells that the target did not bring the turn to its end.
	Failed bool
}

// OwnerNotice tells which partitions the sender owns, with the epoch of the
// last claim in the store that its ownership goes back to.
type OwnerNotice struct {
	Owned []OwnedPartition
}

// OwnedPartition is a partition with its owner's epoch.
type OwnedPartition struct {
	Partition int
	Epoch     int64
}

// PartitionHandover gives a partition with all its accounts to the receiver.
// The sender hands out no more room from the moment it is sent.
type PartitionHandover struct {
	Number    uint64
	Partition int
	Epoch     int64
	// LostBy is the owner whose accounts were lost, empty for none, and LostFor
	// the time since then.
	LostBy   InstanceID
	LostFor  time.Duration
	Accounts []RoomAccount
	// Offer asks whether the receiver would take the partition, without giving
	// it.
	Offer bool
	// Losses is how many slices of budgets earlier owners may have handed out.
	Losses int
}

// RoomAccount is what an owner knows of one program's budget, in tokens.
type RoomAccount struct {
	Program string
	Budget  int
	Most    int
	// Charged tells that Losses is above 0; instances of before send it alone.
	Charged bool
	Used    int
	Limit   int
	// Recorded tells that the store holds a record of the program.
	Recorded  bool
	Retention time.Duration
	// Idle is the time since the program's last turn.
	Idle   time.Duration
	Leases []RoomLeaseSize
	// Target ran the program's last turn, empty if unknown.
	Target string
	// Losses is how many owners' accounts were lost before the account was made.
	Losses int
}

// RoomLeaseSize is a lease with the room that it holds.
type RoomLeaseSize struct {
	Lease  RoomLease
	Tokens int
}

// HandoverReply tells whether the receiver took a partition over.
type HandoverReply struct {
	Number   uint64
	Accepted bool
}

// Kind tags of the messages.
func (*RoomRequest) Kind() MessageKind       { return KindRoomRequest }
func (*RoomReply) Kind() MessageKind         { return KindRoomReply }
func (*RoomSettle) Kind() MessageKind        { return KindRoomSettle }
func (*OwnerNotice) Kind() MessageKind       { return KindOwnerNotice }
func (*PartitionHandover) Kind() MessageKind { return KindPartitionHandover }
func (*HandoverReply) Kind() MessageKind     { return KindHandoverReply }
