package serve

import (
	"log/slog"
	"net/http"

	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// recordBegin records the software version of the target that begins the stream. It is
// called before the caller receives the first event.
func (x *transfer) recordBegin(target *targets.Target) {
	if !x.route.Resumable || x.version != nil || x.call.LastEvent != "" || x.server.targets.Replaced(target) {
		return
	}
	x.version = &target.Version
	x.server.streamVersions.Record(x.stream(x.call.ID), StreamOrigin{Service: x.service, Version: target.Version})
}

// callerLifetime is the number of the route's timeouts within which a caller may send its
// request again, or resume a stream: its own time limit may be longer than the timeout of
// one request.
const callerLifetime = 3

// stream identifies the stream that a request began.
func (x *transfer) stream(request string) Stream {
	return Stream{ID: x.scoped(request), Lifetime: callerLifetime * x.route.Timeout}
}

// findOrigin finds out at which service and version a stream that the caller resumes
// began, also on a route that is not resumable: other settings may have made it so when the
// stream began. It returns false if the request has been refused.
func (x *transfer) findOrigin() bool {
	if x.route.Kind != route.Stream || x.call.LastEvent == "" {
		return true
	}
	origin, err := x.server.streamVersions.Lookup(x.ctx, x.stream(x.call.Resumes), x.service)
	switch {
	case err == nil && x.route.Uses(origin.Service):
		x.service, x.version = origin.Service, &origin.Version
		return true
	case x.ctx.Err() != nil:
		x.giveUpOnContext()
		return false
	case err == nil:
		x.detail = "the stream began at service " + origin.Service + ", which the route no longer uses"
	default:
		x.detail = err.Error()
	}
	// Waiting would not help: the caller can begin the stream again at once.
	x.refuse(http.StatusServiceUnavailable, reasonVersionUnknown, 0)
	return false
}

// giveUpWithoutTarget ends a request for which no target is left.
func (x *transfer) giveUpWithoutTarget() {
	if x.version != nil && x.sends == 0 {
		x.detail = "no target of version " + *x.version
		x.refuse(http.StatusServiceUnavailable, reasonNoVersion, 0)
		return
	}
	x.giveUp(reasonNoTarget)
}

// mayResume reports whether the request may continue at another target: a stream that has
// begun only if its version is known and its caller has no data without an id.
func (x *transfer) mayResume() bool {
	return !x.headSent || (x.version != nil && !x.beyondLastEvent)
}

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
