package proofs

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Evidence is the input of Check.
type Evidence struct {
	Calls    []Call
	Programs []Program
	// TeamFees is the budget of all programs together; unlimited if 0.
	TeamFees int64
	// Engines and Services are the ledgers of the targets, by target.
	Engines  map[string][]wire.LedgerEntry
	Services map[string][]wire.LedgerEntry
	// Caches holds the engines' caches at the end, by target.
	Caches map[string]wire.CacheState
	// Orders holds the orders that each engine applied, in sequence.
	Orders map[string][]wire.Order
	// Log holds the retained records of each stream.
	Log map[string][]wire.LogRecord
	// Dropped holds the streams whose first records the log no longer retains, so
	// that a missing record is no violation.
	Dropped map[string]bool
	// FaultWindows are the periods in which a fault explains a broken connection
	// or a missing response.
	FaultWindows []FaultWindow
	Leaving      []LeavingTarget
	Changes      []Change
	Readings     []Reading
	// InForce holds the settings at the end by instance and path; only paths that
	// the scenario changed.
	InForce map[string]map[string]Setting
}

// FaultWindow is a period in which an instance was killed or paused.
type FaultWindow struct {
	Instance string
	From     time.Time
	// To is zero if the instance did not resume.
	To time.Time
}

// covers reports whether the window overlaps an attempt at its instance.
func (w FaultWindow) covers(a Attempt) bool {
	return w.Instance == a.Instance && !a.End.Before(w.From) && (w.To.IsZero() || !a.Start.After(w.To))
}

// LeavingTarget is a target that was marked as leaving.
type LeavingTarget struct {
	Target string
	At     time.Time
	// Grace is the time after At from which the target may receive no requests.
	Grace time.Duration
}

// Change is an operator's proposal of a setting and its outcome.
type Change struct {
	Instance string
	Path     string
	Base     uint64
	// Value is unique to the change, as JSON.
	Value    string
	ChangeID string
	// Accepted and Lost are the outcome that the operator received; neither is set
	// if the outcome is unknown.
	Accepted bool
	Lost     bool
	Version  uint64
}

// Setting is a value in force.
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
