package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// TestLogOutageDoesNotCloseIdleProgram: a filing is refused while the log is down for longer
// than the idle timeout; the program goes on afterwards.
func TestLogOutageDoesNotCloseIdleProgram(t *testing.T) {
	w := newCluster(t, 1, 1)
	w.policy.IdleTimeout = 5 * time.Second
	id := w.program(1)
	filing := testCall(id, 1, true)
	filing.Fresh = true
	w.logDown = true
	w.run(3 * time.Second)
	refused := w.submit(filing, time.Minute)
	w.run(time.Second)
	w.expect(refused, structs.OutcomeNotRun, structs.ReasonLogUnavailable)
	w.run(20 * time.Second)
	w.logDown = false
	w.run(3 * time.Second)
	again := w.submit(filing, time.Minute)
	w.run(3 * time.Second)
	w.expect(again, structs.OutcomeAnswered, "")
}

// TestRefusedCallsResetIdleTimer: a caller whose calls are refused is there.
func TestRefusedCallsResetIdleTimer(t *testing.T) {
	w := newCluster(t, 1, 1)
	w.policy.IdleTimeout = 5 * time.Second
	id := w.program(1)
	for range 4 {
		unknown := testCall(id, 1, false)
		unknown.Service, unknown.Fresh = "no-such-service", true
		refused := w.submit(unknown, time.Minute)
		w.run(3 * time.Second)
		w.expect(refused, structs.OutcomeNotRun, structs.ReasonUnknownService)
	}
	if reply := w.operate(id, structs.ProgramShow); reply.Info.State == structs.ProgramClosed {
		t.Fatalf("the program is closed: %s", reply.Info.Reason)
	}
}
