package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// The next call of a lane waits until the previous owner can no longer send. An
// owner that was paused with a permit in its queue sends nothing afterwards.
func TestPausedOwnerSendsNothingAfterResume(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.withholdGrants = true
	first := testCall(id, 1, true)
	r := cl.submit(first, time.Minute)
	cl.run(200 * time.Millisecond)
	run := cl.nodes["o1"].o.requests[r.id].run
	cl.pause("o1", 6*time.Second)
	paused := cl.now
	// A read from before the pause waits in a buffer and arrives first.
	s := cl.nodes["o1"].o.shards[0]
	cl.nodes["o1"].deliver(structs.LogRead{Stream: s.stream, From: s.next, Next: s.next, End: s.next})
	cl.sendMessage(testDispatcher, "o1", &structs.PermitGrant{
		Pool: structs.PoolID{Service: testFiling, Region: testRegion}, Ref: structs.CallRef{Program: id, Run: run},
		Target: structs.Target{ID: "filing-desk-1", Service: testFiling},
	})
	cl.run(1100 * time.Millisecond)
	cl.withholdGrants = false
	second := cl.submit(testCall(id, 2, true), time.Minute)
	cl.run(4 * time.Second)
	cl.expect(r, structs.OutcomeUnknown, structs.ReasonOwnerLost)
	cl.expect(second, structs.OutcomeAnswered, "")
	wait := cl.nodes["o2"].o.cfg.RecoveryWait
	if got := cl.sends[0].at.Sub(paused); got < time.Second+wait {
		t.Errorf("call 2 was sent %s after the pause began, before the recovery time had passed", got)
	}
	cl.run(5 * time.Second)
	if n := cl.sendsOf(first); n != 0 {
		t.Errorf("call 1 was sent %d times after call 2", n)
	}
}

func TestNewOwnerChargesOpenChunk(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.policy.ProgramTokens = 400
	id := cl.program(1)
	cl.run(time.Second)
	first := cl.submit(testCall(id, 1, false), time.Minute)
	for first.outcome == nil {
		cl.run(time.Millisecond)
		// The response is sent, but its record does not reach the log.
		cl.nodes["o1"].logUnresponsive = len(cl.sends) > 0
	}
	cl.kill("o1")
	cl.run(3 * time.Second)
	second := testCall(id, 1, false)
	second.Key = "again"
	third := markFresh(testCall(id, 2, false))
	a, b := cl.submit(second, time.Minute), cl.submit(third, time.Minute)
	cl.run(3 * time.Second)
	cl.expect(first, structs.OutcomeAnswered, "")
	cl.expect(a, structs.OutcomeAnswered, "")
	cl.expect(b, structs.OutcomeNotRun, structs.ReasonBudget)
}

func TestRunningIntentsHoldBudget(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.policy.ProgramFees = 25
	cl.runTime = time.Second
	id := cl.program(1)
	var requests []*request
	for _, lane := range []structs.Lane{"a", "b", "c"} {
		c := testCall(id, 1, true)
		c.Lane, c.Key = lane, string(lane)
		requests = append(requests, cl.submit(c, time.Minute))
		cl.run(100 * time.Millisecond)
	}
	cl.run(2 * time.Second)
	cl.expect(requests[0], structs.OutcomeAnswered, "")
	cl.expect(requests[1], structs.OutcomeAnswered, "")
	cl.expect(requests[2], structs.OutcomeNotRun, structs.ReasonBudget)
}

func TestNextOwnerResumesStream(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.runTime = 2 * time.Second
	id := cl.program(1)
	c := testCall(id, 1, false)
	c.Stream = true
	r := cl.submit(c, time.Minute)
	for len(r.pieces) == 0 {
		cl.run(10 * time.Millisecond)
	}
	cl.run(100 * time.Millisecond)
	cl.kill("o1")
	cl.run(6 * time.Second)
	cl.expect(r, structs.OutcomeAnswered, "")
	if len(cl.sends) != 1 || len(r.pieces) != 3 {
		t.Errorf("%d sends, pieces %q", len(cl.sends), r.pieces)
	}
}

func TestLogOutage(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.policy.ProgramTokens = 5000
	id := cl.program(1)
	warm := cl.submit(testCall(id, 1, false), time.Minute)
	cl.run(time.Second)
	cl.expect(warm, structs.OutcomeAnswered, "")
	cl.logDown = true
	cl.pollStream(cl.nodes["o1"], "shard.lakes.0")
	cl.run(time.Second)
	at := cl.now
	inChunk := cl.submit(testCall(id, 2, false), time.Minute)
	cl.run(500 * time.Millisecond)
	filing := cl.submit(markFresh(testCall(id, 3, true)), time.Minute)
	large := markFresh(testCall(id, 3, false))
	large.MaxTokens = 4000
	cl.run(50 * time.Millisecond)
	tooLarge := cl.submit(large, time.Minute)
	cl.run(100 * time.Millisecond)
	cl.expect(inChunk, structs.OutcomeAnswered, "")
	cl.expect(filing, structs.OutcomeNotRun, structs.ReasonLogUnavailable)
	cl.expect(tooLarge, structs.OutcomeNotRun, structs.ReasonLogUnavailable)
	cl.run(10 * time.Minute)
	cl.logDown = false
	cl.run(3 * time.Second)
	cl.kill("o1")
	cl.run(3 * time.Second)
	again := cl.submit(testCall(id, 2, false), time.Minute)
	cl.run(time.Second)
	cl.expect(again, structs.OutcomeAnswered, "")
	if !again.outcome.Replayed || again.outcome.Text != inChunk.outcome.Text {
		t.Errorf("the record written during the outage (since %s) is lost: %+v", at, again.outcome)
	}
}

// An append whose reply is lost before its owner crashes is neither lost nor
// applied twice.
func TestLostAppendReplyThenOwnerCrash(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.policy.ProgramFees = 15
	id := cl.program(1)
	cl.withholdGrants = true
	cl.faults.lostReplyRate = 1
	c := testCall(id, 1, true)
	r := cl.submit(c, time.Minute)
	cl.run(100 * time.Millisecond)
	cl.kill("o1")
	cl.faults.lostReplyRate, cl.withholdGrants = 0, false
	cl.run(5 * time.Second)
	cl.expect(r, structs.OutcomeUnknown, structs.ReasonOwnerLost)
	next := cl.submit(testCall(id, 2, true), time.Minute)
	cl.run(time.Second)
	cl.expect(next, structs.OutcomeNotRun, structs.ReasonBudget)
	if len(cl.sends) != 0 {
		t.Errorf("%d sends", len(cl.sends))
	}
}

func TestDrainLetsRunsFinish(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.runTime = 2 * time.Second
	id := cl.program(1)
	running := cl.submit(testCall(id, 1, true), time.Minute)
	cl.run(200 * time.Millisecond)
	behind := cl.submit(testCall(id, 2, true), time.Minute)
	cl.run(100 * time.Millisecond)
	cl.policy.GapTimeout = 10 * time.Second
	o1 := cl.nodes["o1"]
	o1.suspected = true // The membership list shows it leaving.
	o1.deliver(structs.DrainStart{})
	cl.run(500 * time.Millisecond)
	if o1.o.InFlight() == 0 {
		t.Error("nothing in flight while a call runs")
	}
	cl.run(6 * time.Second)
	cl.expect(running, structs.OutcomeAnswered, "")
	cl.expect(behind, structs.OutcomeAnswered, "")
	if n := o1.o.InFlight(); n != 0 {
		t.Errorf("%d calls and records in flight after the drain", n)
	}
	if cl.sends[0].run == cl.sends[1].run || cl.nodes["o2"].o.shards[0].tenure != tenureOwned {
		t.Error("the next owner did not take over")
	}
}
