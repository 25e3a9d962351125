package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Call is a waiting call as the order rules see it.
type Call struct {
	Run      structs.RunID
	Team     structs.Team
	Priority int
	// Arrived is the arrival time, relative to the dispatcher's epoch.
	Arrived time.Duration
	// Served is the program's attained service.
	Served time.Duration
	// Elapsed is the program's age at arrival, excluding the time that its calls
	// spent in the queue. It approximates the program's latency on an idle
	// system.
	Elapsed time.Duration
	// Slack is the time from arrival to the program's deadline, valid if
	// HasDeadline.
	Slack       time.Duration
	HasDeadline bool
}
