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

// ReservationOutcome is how a request for room ended.
type ReservationOutcome uint8

// Outcomes of a request for room.
const (
	// ReservationGranted: the turn may run.
	ReservationGranted ReservationOutcome = 1
	// ReservationOverBudget: the budget has no room for the turn.
	ReservationOverBudget ReservationOutcome = 2
	// ReservationNotOwner: the receiver does not own the partition.
	ReservationNotOwner ReservationOutcome = 3
	// ReservationUnavailable: the receiver can neither hand out room nor claim the
	// partition, since it does not reach the store.
	ReservationUnavailable ReservationOutcome = 4
	// ReservationNotRecorded: the owner cannot write the record that the turn needs,
	// since it does not reach the store.
	ReservationNotRecorded ReservationOutcome = 5
)

// LeaseID names room that was handed out: the instance that runs the turn
// and its number for it.
type LeaseID struct {
	Holder InstanceID
	Number uint64
}

// ReservationRequest asks the owner of a partition of programs for room for a turn.
type ReservationRequest struct {
	Lease     LeaseID
	Partition int
	Program   string
	// Budget is the program's whole budget, Most the most that the turn
	// generates, in tokens.
	Budget    int
	MaxTokens int
	// Retention is how long the program may come back after its last turn.
	Retention time.Duration
	// Suspect is an owner that did not answer the sender, empty for none.
	Suspect InstanceID
	// Redirected tells that another instance named the receiver as the owner.
	Redirected bool
	// Loads are the newest reports that targets gave the sender.
	Loads []TargetReport
}

// ReservationReply answers a ReservationRequest.
type ReservationReply struct {
	Lease   LeaseID
	Outcome ReservationOutcome
	// Owner is a better one to ask with ReservationNotOwner, empty if unknown.
	Owner InstanceID
	// Partition and Program are those of the request, so that room that is no
	// longer wanted can be given back.
	Partition int
	Program   string
	// Failures are targets that broke connections lately, as the owner knows.
	Failures []TargetFailure
	// LastTarget ran the program's last turn, as far as the owner knows; empty if it
	// does not.
	LastTarget string
	// FirstTurn tells that the owner knows of no turn of the program before this one.
	FirstTurn bool
	// Loads are new reports of targets' loads that the owner knows of, Pools what
	// it knows of whole services.
	Loads []TargetReport
	Pools []PoolReport
}

// ReservationSettle ends a lease: what was not used is free again.
type ReservationSettle struct {
	Lease     LeaseID
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
	// CrashedOwner is the owner whose accounts were lost, empty for none, and SinceCrash
	// the time since then.
	CrashedOwner InstanceID
	SinceCrash   time.Duration
	Accounts     []BudgetAccount
	// Offer asks whether the receiver would take the partition, without giving
	// it.
	Offer bool
	// Crashes is how many slices of budgets earlier owners may have handed out.
	Crashes int
}

// BudgetAccount is what an owner knows of one program's budget, in tokens.
type BudgetAccount struct {
	Program string
	Budget  int
	MaxTurn int
	// AfterCrash tells that Losses is above 0; instances of before send it alone.
	AfterCrash bool
	Used       int
	Limit      int
	// Recorded tells that the store holds a record of the program.
	Recorded  bool
	Retention time.Duration
	// Idle is the time since the program's last turn.
	Idle   time.Duration
	Leases []Lease
	// LastTarget ran the program's last turn, empty if unknown.
	LastTarget string
	// Crashes is how many owners' accounts were lost before the account was made.
	Crashes int
}

// Lease is a lease with the room that it holds.
type Lease struct {
	ID     LeaseID
	Tokens int
}

// HandoverReply tells whether the receiver took a partition over.
type HandoverReply struct {
	Number   uint64
	Accepted bool
}

// Kind tags of the messages.
func (*ReservationRequest) Kind() MessageKind { return KindRoomRequest }
func (*ReservationReply) Kind() MessageKind   { return KindRoomReply }
func (*ReservationSettle) Kind() MessageKind  { return KindRoomSettle }
func (*OwnerNotice) Kind() MessageKind        { return KindOwnerNotice }
func (*PartitionHandover) Kind() MessageKind  { return KindPartitionHandover }
func (*HandoverReply) Kind() MessageKind      { return KindHandoverReply }
