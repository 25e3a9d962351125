package serve

import (
	"context"
	"log/slog"
	"time"

	"github.com/banyanglade/banyanglade/internal/targets"
)

const (
	// endCheckPatience bounds the delay of a further send by the check whether the
	// target has ended: a round trip to another data centre and its checks.
	endCheckPatience = 25 * time.Millisecond
	// recentlyHeard is the time within which a response proves that a target that is
	// slow to answer another request has not ended.
	recentlyHeard = 250 * time.Millisecond
)

// targetState is what is known of the target of a run that was not completed.
type targetState string

const (
	targetServes  targetState = "serves"
	targetEnded   targetState = "ended"
	targetUnknown targetState = "unknown"
)

// recordLostRun records a run that its target did not complete. broken indicates that the
// connection broke, and not that this instance closed it.
func (x *transfer) recordLostRun(target *targets.Target, broken bool) {
	state := targetServes
	if broken || !x.heardFrom(target) {
		state = x.checkTarget(target)
	}
	x.server.metrics.lostRuns[state].Inc(1)
	x.server.log.LogAttrs(x.request.Context(), slog.LevelInfo, "run lost",
		slog.String("request", x.call.ID), slog.String("work", x.workID()), slog.String("target", target.Incarnation()),
		slog.String("target_state", string(state)), slog.Bool("connection_broke", broken),
		slog.Int("send", x.sends), slog.Int("events", x.delivered), slog.Int64("ms", time.Since(x.sentAt).Milliseconds()),
		slog.String("detail", x.detail))
}

// heardFrom reports whether a response of the target arrived recently.
func (x *transfer) heardFrom(target *targets.Target) bool {
	heard := x.server.targets.LastSuccess(target)
	if x.lastEventAt.After(x.sentAt) && x.lastEventAt.After(heard) {
		heard = x.lastEventAt
	}
	return time.Since(heard) < recentlyHeard
}

// checkTarget finds out whether a target has ended or only a connection to it.
func (x *transfer) checkTarget(target *targets.Target) targetState {
	if x.server.targets.Replaced(target) {
		return targetEnded
	}
	// The caller may have left.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.request.Context()), endCheckPatience)
	defer cancel()
	listening, err := x.server.pool.Listening(ctx, target.Address)
	switch {
	case err != nil:
		return targetUnknown
	case listening:
		return targetServes
	}
	return targetEnded
}
