package serve

import (
	"context"
	"log/slog"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxLaterChecks bounds the runs that are checked later. Others stay undecided until
	// their work is sent again.
	maxLaterChecks = 1 << 12
	// laterCheckTimeout covers a round trip to another data centre and a pause of the
	// target.
	laterCheckTimeout = 400 * time.Millisecond
	// firstCheckDelay is the time until the first later check, before a target that has
	// ended leaves the list.
	firstCheckDelay = time.Second
)

// checkLater checks again whether a target has ended under a run: soon, and when the run is
// over. It tells other instances of what it finds.
func (s *Server) checkLater(work Work, run structs.Run) {
	if s.laterChecks.Add(1) > maxLaterChecks {
		s.laterChecks.Add(-1)
		return
	}
	time.AfterFunc(min(time.Until(run.MayEndUntil), firstCheckDelay), func() {
		run = s.decide(work, run)
		if left := time.Until(run.MayEndUntil); run.Undecided() && left > 0 {
			time.AfterFunc(left, func() {
				defer s.laterChecks.Add(-1)
				s.decide(work, run)
			})
			return
		}
		s.laterChecks.Add(-1)
	})
}

// decide checks whether a target has ended under a run. A run that remains undecided once
// it is over is checked by who sends the work again.
func (s *Server) decide(work Work, run structs.Run) structs.Run {
	ctx, cancel := context.WithTimeout(context.Background(), laterCheckTimeout)
	defer cancel()
	at := time.Now()
	run = run.Checked(s.checkRun(ctx, run), at)
	if run.Undecided() {
		return run
	}
	if run.State == structs.LostRunTargetEnded {
		s.log.LogAttrs(ctx, slog.LevelInfo, "target ended under a closed run", slog.String("work", work.ID), slog.String("target", run.Target))
	}
	s.lostRuns.Exchange(work, structs.Runs{run}).Cancel()
	return run
}
