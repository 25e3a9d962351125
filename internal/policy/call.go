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
	// Arrived is the time of arrival since the dispatcher's own epoch.
	Arrived time.Duration
	// Served is the program's attained service.
	Served time.Duration
	// Elapsed is the program's age at arrival less the time that its calls
	// waited in the queue: about its latency so far on an idle system.
	Elapsed time.Duration
	// Slack is the time from arrival to the program's deadline, valid if
	// HasDeadline.
	Slack       time.Duration
	HasDeadline bool
}
