package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// The next call of a lane waits until the old owner can send nothing more, and
// an owner that was paused with a permit in its queue sends nothing afterwards.
func TestPausedOwnerSendsNothingAfterResume(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.withholdGrants = true
	first := testCall(id, 1, true)
	r := w.submit(first, time.Minute)
	w.run(200 * time.Millisecond)
	run := w.nodes["o1"].o.requests[r.id].run
	w.pause("o1", 6*time.Second)
	paused := w.now
	// A read from before the pause waits in a buffer and arrives first.
	s := w.nodes["o1"].o.shards[0]
	w.nodes["o1"].deliver(structs.LogRead{Stream: s.stream, From: s.next, Next: s.next, End: s.next})
	w.sendMessage(testDispatcher, "o1", &structs.PermitGrant{
		Pool: structs.PoolID{Service: testFiling, Region: testRegion}, Ref: structs.CallRef{Program: id, Run: run},
		Target: structs.Target{ID: "filing-desk-1", Service: testFiling},
	})
	w.run(1100 * time.Millisecond)
	w.withholdGrants = false
	second := w.submit(testCall(id, 2, true), time.Minute)
	w.run(4 * time.Second)
	w.expect(r, structs.OutcomeUnknown, structs.ReasonOwnerLost)
	w.expect(second, structs.OutcomeAnswered, "")
	wait := w.nodes["o2"].o.cfg.RecoveryWait
	if got := w.sends[0].at.Sub(paused); got < time.Second+wait {
		t.Errorf("call 2 was sent %s after the pause began", got)
	}
	w.run(5 * time.Second)
	if n := w.sendsOf(first); n != 0 {
		t.Errorf("call 1 was sent %d times after call 2", n)
	}
}

func TestNewOwnerChargesOpenChunk(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.policy.ProgramTokens = 400
	id := w.program(1)
	w.run(time.Second)
	first := w.submit(testCall(id, 1, false), time.Minute)
	for first.outcome == nil {
		w.run(time.Millisecond)
		// The answer goes out; its record does not reach the log.
		w.nodes["o1"].logUnresponsive = len(w.sends) > 0
	}
	w.kill("o1")
	w.run(3 * time.Second)
	second := testCall(id, 1, false)
	second.Key = "again"
	third := markFresh(testCall(id, 2, false))
	a, b := w.submit(second, time.Minute), w.submit(third, time.Minute)
	w.run(3 * time.Second)
	w.expect(first, structs.OutcomeAnswered, "")
	w.expect(a, structs.OutcomeAnswered, "")
	w.expect(b, structs.OutcomeNotRun, structs.ReasonBudget)
}

func TestRunningIntentsHoldBudget(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.policy.ProgramFees = 25
	w.runTime = time.Second
	id := w.program(1)
	var requests []*request
	for _, lane := range []structs.Lane{"a", "b", "c"} {
		c := testCall(id, 1, true)
		c.Lane, c.Key = lane, string(lane)
		requests = append(requests, w.submit(c, time.Minute))
		w.run(100 * time.Millisecond)
	}
	w.run(2 * time.Second)
	w.expect(requests[0], structs.OutcomeAnswered, "")
	w.expect(requests[1], structs.OutcomeAnswered, "")
	w.expect(requests[2], structs.OutcomeNotRun, structs.ReasonBudget)
}

func TestNextOwnerResumesStream(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.runTime = 2 * time.Second
	id := w.program(1)
	c := testCall(id, 1, false)
	c.Stream = true
	r := w.submit(c, time.Minute)
	for len(r.pieces) == 0 {
		w.run(10 * time.Millisecond)
	}
	w.run(100 * time.Millisecond)
	w.kill("o1")
	w.run(6 * time.Second)
	w.expect(r, structs.OutcomeAnswered, "")
	if len(w.sends) != 1 || len(r.pieces) != 3 {
		t.Errorf("%d sends, pieces %q", len(w.sends), r.pieces)
	}
}

func TestLogOutage(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.policy.ProgramTokens = 5000
	id := w.program(1)
	warm := w.submit(testCall(id, 1, false), time.Minute)
	w.run(time.Second)
	w.expect(warm, structs.OutcomeAnswered, "")
	w.logDown = true
	w.pollStream(w.nodes["o1"], "shard.lakes.0")
	w.run(time.Second)
	at := w.now
	inChunk := w.submit(testCall(id, 2, false), time.Minute)
	w.run(500 * time.Millisecond)
	filing := w.submit(markFresh(testCall(id, 3, true)), time.Minute)
	large := markFresh(testCall(id, 3, false))
	large.MaxTokens = 4000
	w.run(50 * time.Millisecond)
	tooLarge := w.submit(large, time.Minute)
	w.run(100 * time.Millisecond)
	w.expect(inChunk, structs.OutcomeAnswered, "")
	w.expect(filing, structs.OutcomeNotRun, structs.ReasonLogUnavailable)
	w.expect(tooLarge, structs.OutcomeNotRun, structs.ReasonLogUnavailable)
	w.run(10 * time.Minute)
	w.logDown = false
	w.run(3 * time.Second)
	w.kill("o1")
	w.run(3 * time.Second)
	again := w.submit(testCall(id, 2, false), time.Minute)
	w.run(time.Second)
	w.expect(again, structs.OutcomeAnswered, "")
	if !again.outcome.Replayed || again.outcome.Text != inChunk.outcome.Text {
		t.Errorf("the record of the outage (since %s) is lost: %+v", at, again.outcome)
	}
}

// An append whose reply is lost and whose owner then dies is neither lost nor
// counted twice.
func TestLostAppendReplyThenOwnerCrash(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.policy.ProgramFees = 15
	id := w.program(1)
	w.withholdGrants = true
	w.faults.lostReplyRate = 1
	c := testCall(id, 1, true)
	r := w.submit(c, time.Minute)
	w.run(100 * time.Millisecond)
	w.kill("o1")
	w.faults.lostReplyRate, w.withholdGrants = 0, false
	w.run(5 * time.Second)
	w.expect(r, structs.OutcomeUnknown, structs.ReasonOwnerLost)
	next := w.submit(testCall(id, 2, true), time.Minute)
	w.run(time.Second)
	w.expect(next, structs.OutcomeNotRun, structs.ReasonBudget)
	if len(w.sends) != 0 {
		t.Errorf("%d sends", len(w.sends))
	}
}

func TestDrainLetsRunsFinish(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.runTime = 2 * time.Second
	id := w.program(1)
	running := w.submit(testCall(id, 1, true), time.Minute)
	w.run(200 * time.Millisecond)
	behind := w.submit(testCall(id, 2, true), time.Minute)
	w.run(100 * time.Millisecond)
	w.policy.GapTimeout = 10 * time.Second
	o1 := w.nodes["o1"]
	o1.suspected = true // The membership list shows it leaving.
	o1.deliver(structs.DrainStart{})
	w.run(500 * time.Millisecond)
	if o1.o.InFlight() == 0 {
		t.Error("drained while a call runs")
	}
	w.run(6 * time.Second)
	w.expect(running, structs.OutcomeAnswered, "")
	w.expect(behind, structs.OutcomeAnswered, "")
	if n := o1.o.InFlight(); n != 0 {
		t.Errorf("%d in flight after the drain", n)
	}
	if w.sends[0].run == w.sends[1].run || w.nodes["o2"].o.shards[0].tenure != tenureOwned {
		t.Error("the next owner did not take over")
	}
}
