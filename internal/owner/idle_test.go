package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// TestLogOutageDoesNotCloseIdleProgram: a filing is refused while the log is down for longer
// than the idle timeout; the program goes on afterwards.
func TestLogOutageDoesNotCloseIdleProgram(t *testing.T) {
	cl := newCluster(t, 1, 1)
	cl.policy.IdleTimeout = 5 * time.Second
	id := cl.program(1)
	filing := testCall(id, 1, true)
	filing.Fresh = true
	cl.logDown = true
	cl.run(3 * time.Second)
	refused := cl.submit(filing, time.Minute)
	cl.run(time.Second)
	cl.expect(refused, structs.OutcomeNotRun, structs.ReasonLogUnavailable)
	cl.run(20 * time.Second)
	cl.logDown = false
	cl.run(3 * time.Second)
	again := cl.submit(filing, time.Minute)
	cl.run(3 * time.Second)
	cl.expect(again, structs.OutcomeAnswered, "")
}

// TestRefusedCallsResetIdleTimer: a caller whose calls are refused is there.
func TestRefusedCallsResetIdleTimer(t *testing.T) {
	cl := newCluster(t, 1, 1)
	cl.policy.IdleTimeout = 5 * time.Second
	id := cl.program(1)
	for range 4 {
		unknown := testCall(id, 1, false)
		unknown.Service, unknown.Fresh = "no-such-service", true
		refused := cl.submit(unknown, time.Minute)
		cl.run(3 * time.Second)
		cl.expect(refused, structs.OutcomeNotRun, structs.ReasonUnknownService)
	}
	if reply := cl.operate(id, structs.ProgramShow); reply.Info.State == structs.ProgramClosed {
		t.Fatalf("the program is closed: %s", reply.Info.Reason)
	}
}
