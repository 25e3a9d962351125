package serve

import (
	"net/http"
	"strings"
	"testing"

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
