package structs

import "time"

// KindTargetNotice is the kind of a TargetFailureNotice.
const KindTargetNotice MessageKind = 33

// TargetFailure tells that a target broke a new connection at once, as one does
// that is down.
type TargetFailure struct {
	// Target names one start of the target.
	Target string
	// Age is the time since then.
	Age time.Duration
}

// TargetFailureNotice tells another instance of targets that broke connections. Owners
// of budgets pass it on with their replies.
type TargetFailureNotice struct {
	Failures []TargetFailure
}

// Kind is the message's tag.
func (*TargetFailureNotice) Kind() MessageKind { return KindTargetNotice }
