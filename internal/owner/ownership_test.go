package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// An owner that is cut off from the log and does not know yet says nothing of
// a filing that the next owner has sent.
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
		t.Fatal("the old owner noticed the cut already")
	}
	cl.nodes["o1"].suspected, cl.nodes["o2"].suspected = false, true
	again := cl.submit(c, time.Minute)
	cl.run(2 * time.Second)
	cl.expect(again, structs.OutcomeUnknown, structs.ReasonLogUnavailable)
	cl.run(5 * time.Second)
	cl.expect(first, structs.OutcomeAnswered, "")
}

// A gateway with pieces of another run is told at once that its answer cannot
// be made whole.
func TestResubmitWithPiecesOfAnotherRun(t *testing.T) {
	cl := newCluster(t, 1, 1)
	cl.runTime = 5 * time.Second
	id := cl.program(1)
	c := testCall(id, 1, false)
	c.Stream = true
	r := cl.submit(c, time.Minute)
	cl.run(2 * time.Second)
	cmds := cl.nodes["o1"].o.Tick(cl.now, []structs.Event{structs.PeerMessage{From: testGateway, Msg: &structs.Submit{
		Request: "stranger", Call: c, Remaining: time.Minute, Have: 1, HaveRun: "another", Resubmitted: true,
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
			t.Errorf("%T before the record counts", c.Msg)
		}
	}
	cl.run(time.Second)
	if l := o.shards[0].state.Ledgers["lakeshore"]; !appended || l == nil || l.Granted.Fees != 100 {
		t.Errorf("ledger %+v", l)
	}
}

// A call that was refused behind its Intent is known as not sent to the next
// owner, which runs it when it is asked again.
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

// A run whose end is never told does not block its lane for ever.
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

// A dispatcher grants a permit once: a run that was not sent asks under another
// name, while the name in the journal and at the target stays.
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
			t.Errorf("permit %s was given back %d times", run, n)
		}
	}
	if intents := cl.nodes["o1"].o.shards[0].state.Programs[id].Open; len(intents) != 0 {
		t.Errorf("open runs %v", intents)
	}
}
