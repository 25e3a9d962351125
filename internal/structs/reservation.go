package structs

import "time"

// Kinds of the messages about reservations from programs' budgets.
const (
	KindReservationRequest MessageKind = 27
	KindReservationReply   MessageKind = 28
	KindReservationSettle  MessageKind = 29
	KindOwnerNotice        MessageKind = 30
	KindPartitionHandover  MessageKind = 31
	KindHandoverReply      MessageKind = 32
)

// ReservationOutcome is the result of a ReservationRequest.
type ReservationOutcome uint8

// Outcomes of a ReservationRequest.
const (
	// ReservationGranted: the turn may run.
	ReservationGranted ReservationOutcome = 1
	// ReservationOverBudget: the remaining budget is too small for the turn.
	ReservationOverBudget ReservationOutcome = 2
	// ReservationNotOwner: the receiver does not own the partition.
	ReservationNotOwner ReservationOutcome = 3
	// ReservationUnavailable: the receiver can neither reserve tokens nor claim the
	// partition, because the store is unavailable.
	ReservationUnavailable ReservationOutcome = 4
	// ReservationNotRecorded: the owner cannot write the record that the turn needs,
	// because the store is unavailable.
	ReservationNotRecorded ReservationOutcome = 5
	// ReservationAccountsFull: the owner has no memory for another program. Instances that
	// do not know this outcome try again for a second.
	ReservationAccountsFull ReservationOutcome = 6
)

// LeaseID identifies the lease of a turn: the instance that runs the turn and a number
// that this instance chose.
type LeaseID struct {
	Holder InstanceID
	Number uint64
}

// ReservationRequest requests a reservation of tokens for a turn from the owner of a
// partition of programs.
type ReservationRequest struct {
	Lease     LeaseID
	Partition int
	Program   string
	// Budget is the program's whole budget and MaxTokens the maximum that the turn may
	// generate, in tokens.
	Budget    int
	MaxTokens int
	// Retention is how long after its last turn the program may continue.
	Retention time.Duration
	// Suspect is an owner that did not reply to the sender, empty if none.
	Suspect InstanceID
	// Redirected indicates that another instance named the receiver as the owner.
	Redirected bool
	// Loads are the latest load reports that targets sent to the sender.
	Loads []TargetReport
	// TimeLeft is the time in which the turn ends, 0 if unknown.
	TimeLeft time.Duration
}

// ReservationReply replies to a ReservationRequest.
type ReservationReply struct {
	Lease   LeaseID
	Outcome ReservationOutcome
	// Owner is the actual owner with ReservationNotOwner, empty if unknown.
	Owner InstanceID
	// Partition and Program are copied from the request, so that a reservation that is
	// no longer needed can be released.
	Partition int
	Program   string
	// Failures are recent connection failures of targets known to the owner.
	Failures []TargetFailure
	// LastTarget is the target that ran the program's last turn, empty if unknown.
	LastTarget string
	// FirstTurn indicates that the owner has no record of an earlier turn of the
	// program.
	FirstTurn bool
	// Loads are new load reports of targets, Pools aggregated reports of services.
	Loads []TargetReport
	Pools []PoolReport
}

// ReservationSettle ends a lease and releases the tokens that were not used.
type ReservationSettle struct {
	Lease     LeaseID
	Partition int
	Program   string
	Used      int
	// Target is the target that ran the turn, empty if none did.
	Target string
	// Failed indicates that the target did not complete the turn.
	Failed bool
}

// OwnerNotice advertises the partitions that the sender owns.
type OwnerNotice struct {
	Owned []OwnedPartition
}

// OwnedPartition is a partition and the epoch of the claim in the store from which its
// ownership derives.
type OwnedPartition struct {
	Partition int
	Epoch     int64
}

// PartitionHandover transfers a partition with all its accounts to the receiver. The
// sender makes no reservations after sending it.
type PartitionHandover struct {
	Number    uint64
	Partition int
	Epoch     int64
	// CrashedOwner is the last owner that lost the partition without a handover, empty if
	// none did, and SinceCrash the time since such an owner may last have reserved tokens.
	CrashedOwner InstanceID
	SinceCrash   time.Duration
	Accounts     []BudgetAccount
	// Offer indicates a query: the receiver replies whether it would accept the
	// partition, and nothing is transferred.
	Offer bool
	// Crashes is the number of owners whose accounts were lost in a crash. Each may
	// have reserved a slice of any program's budget.
	Crashes int
	// CrashedOwners are all owners that lost the partition without a handover and are not
	// known to have ended.
	CrashedOwners []InstanceID
}

// BudgetAccount is the owner's record of one program's budget, in tokens.
type BudgetAccount struct {
	Program string
	Budget  int
	// MaxTurn is the maximum number of tokens that any turn so far may generate.
	MaxTurn int
	// AfterCrash indicates that Crashes is greater than 0; older versions send no
	// Crashes.
	AfterCrash bool
	Used       int
	Limit      int
	// Recorded indicates that the store holds a record of the program.
	Recorded  bool
	Retention time.Duration
	// Idle is the time since the end of the program's last turn. It is negative if a turn
	// may still run.
	Idle   time.Duration
	Leases []Lease
	// LastTarget is the target that ran the program's last turn, empty if unknown.
	LastTarget string
	// Crashes is the number of owners that had crashed before the account was created.
	Crashes int
}

// Lease is the reservation of tokens for one turn. Tokens is the number that it holds.
type Lease struct {
	ID     LeaseID
	Tokens int
}

// HandoverReply reports whether the receiver accepted a partition.
type HandoverReply struct {
	Number   uint64
	Accepted bool
}

// Kind implementations of the messages.
func (*ReservationRequest) Kind() MessageKind { return KindReservationRequest }
func (*ReservationReply) Kind() MessageKind   { return KindReservationReply }
func (*ReservationSettle) Kind() MessageKind  { return KindReservationSettle }
func (*OwnerNotice) Kind() MessageKind        { return KindOwnerNotice }
func (*PartitionHandover) Kind() MessageKind  { return KindPartitionHandover }
func (*HandoverReply) Kind() MessageKind      { return KindHandoverReply }
