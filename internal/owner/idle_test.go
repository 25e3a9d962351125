package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// A not-repeatable call is refused in a log outage longer than the idle timeout.
// The program must stay open.
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

// A caller whose calls are refused is active.
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
		t.Fatalf("program closed with reason %s", reply.Info.Reason)
	}
}
