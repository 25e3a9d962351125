package proofs

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Evidence is all that the checker judges.
type Evidence struct {
	Calls    []Call
	Programs []Program
	// TeamFees is the budget of all programs together, 0 for no bound.
	TeamFees int64
	// Engines and Services are the ledgers of the targets, by target.
	Engines  map[string][]wire.LedgerEntry
	Services map[string][]wire.LedgerEntry
	// Caches is what the engines hold at the end, by target.
	Caches map[string]wire.CacheState
	// Orders are those that each engine applied, in that order.
	Orders map[string][]wire.Order
	// Log holds the records of every stream read.
	Log map[string][]wire.LogRecord
	// Dropped are the streams whose first records the log keeps no more, so
	// that what is missing in them proves nothing.
	Dropped map[string]bool
	// FaultWindows are the times in which a broken connection or silence of an
	// instance is the fault's doing.
	FaultWindows []FaultWindow
	Leaving      []LeavingTarget
	Changes      []Change
	Readings     []Reading
	// InForce are the settings at each instance at the end, by instance and
	// path; only paths that a scenario changed.
	InForce map[string]map[string]Setting
}

// FaultWindow is a time in which an instance was killed or paused.
type FaultWindow struct {
	Instance string
	From     time.Time
	// To is zero if it never came back.
	To time.Time
}

// covers tells whether the disturbance overlaps an attempt.
func (d FaultWindow) covers(a Attempt) bool {
	return d.Instance == a.Instance && !a.End.Before(d.From) && (d.To.IsZero() || !a.Start.After(d.To))
}

// LeavingTarget is a target that was marked as leaving.
type LeavingTarget struct {
	Target string
	At     time.Time
	// Grace is the time after which it may get nothing.
	Grace time.Duration
}

// Change is an operator's proposal and what the operator heard.
type Change struct {
	Instance string
	Path     string
	Base     uint64
	// Value is unique to the change, as JSON.
	Value    string
	ChangeID string
	// Accepted and Lost are what the operator was told; neither if the
	// outcome is not known.
	Accepted bool
	Lost     bool
	Version  uint64
}

// Setting is one value in force.
type Setting struct {
	Value   string
	Version uint64
}

// Reading is a setting read at an instance during a scenario.
type Reading struct {
	Instance string
	Path     string
	Version  uint64
	At       time.Time
}
