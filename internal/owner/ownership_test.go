package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// An owner that is partitioned from the log and has not noticed it must not
// report a not-repeatable call as "not run" that the next owner sent.
func TestPartitionedOwnerDoesNotReportNotRun(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.run(5 * time.Second)
	cl.runTime = 5 * time.Second
	cl.nodes["o1"].logUnresponsive, cl.nodes["o1"].suspected = true, true
	c := testCall(id, 1, true)
	first := cl.submit(c, time.Minute)
	for len(cl.sends) == 0 {
		cl.run(time.Millisecond)
	}
	if cl.nodes["o1"].o.shards[0].logDown() {
		t.Fatal("the previous owner has already noticed the partition")
	}
	cl.nodes["o1"].suspected, cl.nodes["o2"].suspected = false, true
	again := cl.submit(c, time.Minute)
	cl.run(2 * time.Second)
	cl.expect(again, structs.OutcomeUnknown, structs.ReasonLogUnavailable)
	cl.run(5 * time.Second)
	cl.expect(first, structs.OutcomeAnswered, "")
}

// A gateway with pieces of another run is notified at once that its response
// cannot be completed.
func TestResubmitWithPiecesOfAnotherRun(t *testing.T) {
	cl := newCluster(t, 1, 1)
	cl.runTime = 5 * time.Second
	id := cl.program(1)
	c := testCall(id, 1, false)
	c.Stream = true
	r := cl.submit(c, time.Minute)
	cl.run(2 * time.Second)
	cmds := cl.nodes["o1"].o.Tick(cl.now, []structs.Event{structs.PeerMessage{From: testGateway, Msg: &structs.Submit{
		Request: "stranger", Call: c, Remaining: time.Minute, NextPiece: 1, ReceivedRun: "another", Resubmitted: true,
	}}})
	if out := lastOutcome(cmds, "stranger"); out == nil || out.Kind != structs.OutcomeUnknown {
		t.Errorf("outcome %+v, want unknown", out)
	}
	cl.run(5 * time.Second)
	cl.expect(r, structs.OutcomeAnswered, "")
}

// A grant of a team's budget is sent only once its record was read back.
func TestGrantIsCommittedBeforeItIsSent(t *testing.T) {
	cl := newCluster(t, 1, 1)
	cl.policy.TeamFees = 100
	cl.program(1)
	o := cl.nodes["o1"].o
	cmds := o.Tick(cl.now, []structs.Event{structs.PeerMessage{From: "o2", Msg: &structs.BudgetRequest{
		Team: "lakeshore", Account: o.refOf(0), Grant: "g", Fees: 150,
	}}})
	appended := false
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case structs.LogAppend:
			appended = true
			cl.append(cl.nodes["o1"], c)
		case structs.SendPeer:
			t.Errorf("%T sent before the record was committed", c.Msg)
		}
	}
	cl.run(time.Second)
	if l := o.shards[0].state.Ledgers["lakeshore"]; !appended || l == nil || l.Granted.Fees != 100 {
		t.Errorf("ledger %+v, want 100 fees granted", l)
	}
}

// The next owner knows that a call refused after its Intent was not sent, and
// runs it when it is submitted again.
func TestAbandonedIntentCanRunAtNextOwner(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.refusePermit = func(*structs.PermitRequest) structs.Reason { return structs.ReasonOverloaded }
	c := testCall(id, 1, true)
	refused := cl.submit(c, time.Minute)
	cl.run(time.Second)
	cl.expect(refused, structs.OutcomeNotRun, structs.ReasonOverloaded)
	cl.refusePermit = nil
	cl.kill("o1")
	cl.run(500 * time.Millisecond)
	again := cl.submit(c, time.Minute)
	cl.run(500 * time.Millisecond)
	cl.expect(again, structs.OutcomeAnswered, "")
}

// A run whose end is never reported must not block its lane forever.
func TestRunWithoutEndTimesOut(t *testing.T) {
	cl := newCluster(t, 1, 1)
	id := cl.program(1)
	cl.hangRuns = true
	first := cl.submit(testCall(id, 1, true), 2*time.Minute)
	cl.run(time.Second)
	cl.hangRuns = false
	second := cl.submit(testCall(id, 2, true), 5*time.Minute)
	cl.run(90 * time.Second)
	cl.expect(first, structs.OutcomeUnknown, structs.ReasonDeadline)
	cl.expect(second, structs.OutcomeAnswered, "")
}

// A dispatcher grants a permit once, so a run that was not sent requests another
// permit. Its run id in the journal and at the target stays.
func TestNotRepeatableRetryUsesNewPermit(t *testing.T) {
	cl := newCluster(t, 1, 1)
	id := cl.program(1)
	tries := 0
	cl.runResult = func(structs.StartRun) structs.RunFailure {
		if tries++; tries == 1 {
			return structs.RunNotSent
		}
		return structs.RunOK
	}
	r := cl.submit(testCall(id, 1, true), time.Minute)
	cl.run(time.Second)
	cl.expect(r, structs.OutcomeAnswered, "")
	for run, n := range cl.finishes {
		if n != 1 {
			t.Errorf("permit %s was returned %d times, want 1", run, n)
		}
	}
	if intents := cl.nodes["o1"].o.shards[0].state.Programs[id].Open; len(intents) != 0 {
		t.Errorf("open runs %v, want none", intents)
	}
}
