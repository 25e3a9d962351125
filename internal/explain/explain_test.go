package explain

import (
	"strings"
	"testing"
)

const logA = `   1.0 m1 {"time":"2026-08-03T15:19:37.300Z","level":"INFO","msg":"request ended","instance":"m1","request":"r1","program":"p1","reason":"budget_spent","status":402}
not a log line
{"time":"2026-08-03T15:19:37.100Z","level":"INFO","msg":"request ended","instance":"m1","request":"r0","program":"p2","reason":"no_target","status":503}
{"level":"WARN","msg":"log lines dropped","count":4}
`

const logB = `{"time":"2026-08-03T15:19:37.200Z","level":"INFO","msg":"budget spent","instance":"m2","program":"p1","budget":900,"used":880,"charged":true}
`

func TestTimelineOfAProgramAcrossInstances(t *testing.T) {
	timeline, err := Read("p1", strings.NewReader(logA), strings.NewReader(logB))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := timeline.Write(&b); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], "m2") || !strings.Contains(lines[0], "used=880") ||
		!strings.Contains(lines[1], "reason=budget_spent") || !strings.Contains(lines[2], "exceeded the program's remaining budget") {
		t.Errorf("got\n%s", b.String())
	}
}

func TestEmptyTimelineNamesTheID(t *testing.T) {
	timeline, err := Read("unknown", strings.NewReader(logA))
	if err != nil {
		t.Fatal(err)
	}
	if got := timeline.Cause(); !strings.Contains(got, "No line names unknown") || !strings.Contains(got, "4 lines were dropped") {
		t.Errorf("got %q", got)
	}
}
