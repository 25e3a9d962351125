package serve

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// replacedTarget is a target that breaks a stream after two events and ends. Others of
// the given versions, by id, are registered in its place before that.
func (h *harness) replacedTarget(version string, others map[string]string) {
	h.t.Helper()
	var entries []targets.Entry
	for id, otherVersion := range others {
		h.versionedTarget(id, "engine", otherVersion, serveEvents(4, neverCut))
		entry, _ := h.targets.Entry(id)
		entries = append(entries, entry)
		h.targets.Remove(id)
	}
	h.versionedTarget("first", "engine", version, func(n int, rw http.ResponseWriter, r *http.Request) {
		h.targets.Remove("first")
		for _, entry := range entries {
			h.targets.Put(entry)
		}
		serveEvents(4, func(int) int { return 2 })(n, rw, r)
	})
}

func TestResponseContinuesAtTheVersionThatBeganIt(t *testing.T) {
	h := newHarness(t)
	h.replacedTarget("v1", map[string]string{"a": "v2", "b": "v1", "c": "v2", "d": "v0"})
	got := h.do(h.request("POST", "/turns/", "b"))
	if got.err != nil || got.body != events(1, 4) {
		t.Errorf("got %+v", got)
	}
	if got := h.log.String(); !strings.Contains(got, `"began_at_version":"v1","target":"b","target_version":"v1"`) {
		t.Errorf("the log does not show the versions:\n%s", got)
	}
}

func TestResponseEndsIncompleteWithoutATargetOfItsVersion(t *testing.T) {
	h := newHarness(t)
	h.replacedTarget("v1", map[string]string{"a": "v2", "b": "v0"})
	got := h.do(h.request("POST", "/turns/", "b"))
	if got.err == nil || got.body != events(1, 2) {
		t.Errorf("got %+v, want an incomplete response of two events", got)
	}
}

// The request may have been sent to either incarnation of the target.
func TestResponseOfAReplacedTargetIsNotContinued(t *testing.T) {
	h := newHarness(t)
	h.replacedTarget("v1", map[string]string{"first": "v2", "b": "v1"})
	got := h.do(h.request("POST", "/turns/", "b"))
	if got.err == nil || got.body != events(1, 2) {
		t.Errorf("got %+v, want an incomplete response of two events", got)
	}
}

func TestStreamWithoutEventsMoves(t *testing.T) {
	h := newHarness(t)
	h.versionedTarget("second", "engine", "v2", serveEvents(4, neverCut))
	second, _ := h.targets.Entry("second")
	h.targets.Remove("second")
	h.versionedTarget("first", "engine", "v1", func(n int, rw http.ResponseWriter, r *http.Request) {
		h.targets.Remove("first")
		h.targets.Put(second)
		cutConnection(n, rw, r)
	})
	if got := h.do(h.request("POST", "/turns/", "b")); got.err != nil || got.body != events(1, 4) {
		t.Errorf("got %+v", got)
	}
}

// resume sends a request that resumes the stream "id1" after its second event.
func (h *harness) resume(path string) result {
	return h.do(h.request("POST", path, "b", "Banyanglade-Request-Id", "id2", "Last-Event-Id", "2", "Resumes", "id1"))
}

// begin begins the stream "id1" at a target of a version, which breaks it after two
// events and ends.
func (h *harness) begin(version string) {
	h.t.Helper()
	h.replacedTarget(version, nil)
	if got := h.do(h.request("POST", "/turns/", "b")); got.err == nil || got.body != events(1, 2) {
		h.t.Fatalf("got %+v", got)
	}
}

func TestCallerResumesAtTheVersionThatBeganTheStream(t *testing.T) {
	h := newHarness(t)
	h.versions.sole = nil
	h.begin("v1")
	for id, version := range map[string]string{"a": "v2", "b": "v1", "c": "v0", "d": "v2"} {
		h.versionedTarget(id, "engine", version, serveEvents(4, neverCut))
	}
	if got := h.resume("/turns/"); got.err != nil || got.body != events(3, 4) {
		t.Errorf("got %+v", got)
	}
	if log := h.log.String(); !strings.Contains(log, `"by":"caller","after_event":"2","began_at_version":"v1","target":"b"`) {
		t.Errorf("log:\n%s", log)
	}
}

func TestStreamOfAnUnknownVersionIsRefused(t *testing.T) {
	h := newHarness(t)
	h.versions.sole = nil
	tg := h.versionedTarget("a", "engine", "v1", serveEvents(4, neverCut))
	if got := h.resume("/turns/"); got.status != http.StatusServiceUnavailable || tg.count() != 0 || got.header.Get("Retry-After") != "" {
		t.Errorf("got %+v after %d runs", got, tg.count())
	}
}

// Other settings may have let the route's streams be resumed.
func TestStreamOfAnUnknownVersionIsRefusedOnARouteWithoutResumption(t *testing.T) {
	h := newHarness(t)
	h.versions.sole = nil
	tg := h.versionedTarget("a", "engine", "v1", serveEvents(4, neverCut))
	if got := h.resume("/fixed/"); got.status != http.StatusServiceUnavailable || tg.count() != 0 {
		t.Errorf("got %+v after %d runs", got, tg.count())
	}
}

func TestStreamWhoseVersionHasNoTargetIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.begin("v1")
	tg := h.versionedTarget("a", "engine", "v2", serveEvents(4, neverCut))
	if got := h.resume("/turns/"); got.status != http.StatusServiceUnavailable || tg.count() != 0 || !strings.Contains(got.body, string(reasonNoVersion)) {
		t.Errorf("got %+v after %d runs", got, tg.count())
	}
}

// A route may have moved to another service, whose versions are others.
func TestStreamOfAServiceThatTheRouteLeftIsRefused(t *testing.T) {
	h := newHarness(t)
	h.begin("v1")
	settings := testRoutes()
	settings.Routes[0].Splits = []route.Split{{Service: "engine2", Weight: 1}}
	h.server.SetTable(route.NewTable(settings))
	tg := h.versionedTarget("a", "engine2", "v1", serveEvents(4, neverCut))
	if got := h.resume("/turns/"); got.status != http.StatusServiceUnavailable || tg.count() != 0 {
		t.Errorf("got %+v after %d runs", got, tg.count())
	}
}

func TestResumedStreamGoesToTheServiceOfASplitThatBeganIt(t *testing.T) {
	h := newHarness(t)
	h.begin("v1")
	settings := testRoutes()
	settings.Routes[0].Splits = []route.Split{{Service: "engine2", Weight: 1000}, {Service: "engine", Weight: 1}}
	h.server.SetTable(route.NewTable(settings))
	h.versionedTarget("a", "engine2", "v1", serveEvents(4, neverCut))
	tg := h.versionedTarget("b", "engine", "v1", serveEvents(4, neverCut))
	if got := h.resume("/turns/"); got.err != nil || got.body != events(3, 4) || tg.count() != 1 {
		t.Errorf("got %+v after %d runs", got, tg.count())
	}
}

func TestStreamsOfFormerRoutesAreNoted(t *testing.T) {
	h := newHarness(t)
	h.server.SetTable(route.NewTable(testRoutes()))
	if len(h.versions.changed) != 0 {
		t.Errorf("changes %v without a change", h.versions.changed)
	}
	settings := testRoutes()
	timeout := settings.Routes[0].Timeout
	for _, r := range settings.Routes {
		r.Timeout /= 10
	}
	h.server.SetTable(route.NewTable(settings))
	if want := callerLifetime * timeout; !slices.Equal(h.versions.changed, []time.Duration{want}) {
		t.Errorf("changes %v, want one of %s", h.versions.changed, want)
	}
}
