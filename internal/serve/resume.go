package serve

import (
	"log/slog"

	"github.com/banyanglade/banyanglade/internal/targets"
)

// recordResumption logs and counts a stream that continues at a target: within its
// response, or because its caller resumes it with another request.
func (x *transfer) recordResumption(target *targets.Target) {
	by, counter := "instance", x.server.metrics.resumedHere
	switch {
	case x.headSent:
	case x.call.LastEvent != "":
		by, counter = "caller", x.server.metrics.resumedByCaller
	default:
		return
	}
	counter.Inc(1)
	x.server.log.LogAttrs(x.request.Context(), slog.LevelInfo, "stream resumed",
		slog.String("request", x.call.ID), slog.String("resumes", x.call.Resumes), slog.String("by", by),
		slog.String("after_event", x.lastEvent), slog.String("began_at_version", x.beganAtVersion),
		slog.String("target", target.ID), slog.String("target_version", target.Version))
}

// recordBegin records that a target begins the stream.
func (x *transfer) recordBegin(target *targets.Target) {
	if x.call.LastEvent == "" {
		x.beganAtVersion = target.Version
	}
}
