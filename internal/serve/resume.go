package serve

import (
	"log/slog"

	"github.com/banyanglade/banyanglade/internal/targets"
)

// recordBegin records the software version of the target that begins the stream. It is
// called before the caller receives the first event.
func (x *transfer) recordBegin(target *targets.Target) {
	if !x.route.Resumable || x.version != nil || x.call.LastEvent != "" || x.server.targets.Replaced(target) {
		return
	}
	x.version = &target.Version
}

// mayResume reports whether the request may continue at another target: a stream that has
// begun only if its version is known.
func (x *transfer) mayResume() bool { return !x.headSent || x.version != nil }

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
	began := ""
	if x.version != nil {
		began = *x.version
	}
	x.server.log.LogAttrs(x.request.Context(), slog.LevelInfo, "stream resumed",
		slog.String("request", x.call.ID), slog.String("resumes", x.call.Resumes), slog.String("by", by),
		slog.String("after_event", x.lastEvent), slog.String("began_at_version", began),
		slog.String("target", target.ID), slog.String("target_version", target.Version))
}
