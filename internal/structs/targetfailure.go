package structs

import "time"

// KindTargetFailureNotice is the kind of a TargetFailureNotice.
const KindTargetFailureNotice MessageKind = 33

// TargetFailure records that a target closed a new connection immediately, which
// suggests that it is down.
type TargetFailure struct {
	// Target identifies one incarnation of the target.
	Target string
	// Age is the time since the failure.
	Age time.Duration
}

// TargetFailureNotice informs another instance of connection failures. Owners of
// budgets forward them in their replies.
type TargetFailureNotice struct {
	Failures []TargetFailure
}

// Kind implements Message.
func (*TargetFailureNotice) Kind() MessageKind { return KindTargetFailureNotice }
