package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestCallRunsAndIsReplayed(t *testing.T) {
	for _, notRepeatable := range []bool{false, true} {
		cl := newCluster(t, 1, 2)
		id := cl.program(1)
		c := testCall(id, 1, notRepeatable)
		first := cl.submit(c, time.Minute)
		cl.run(time.Second)
		cl.expect(first, structs.OutcomeAnswered, "")
		again := cl.submit(c, time.Minute)
		cl.run(time.Second)
		cl.expect(again, structs.OutcomeAnswered, "")
		if !again.outcome.Replayed || again.outcome.Text != first.outcome.Text {
			t.Errorf("second answer %+v, want a replay of %+v", again.outcome, first.outcome)
		}
		if n := cl.sendsOf(c); n != 1 {
			t.Errorf("%d sends, want 1", n)
		}
		other := *c
		other.Digest = structs.Digest{99}
		reused := cl.submit(&other, time.Minute)
		cl.run(time.Second)
		cl.expect(reused, structs.OutcomeNotRun, structs.ReasonKeyReused)
	}
}

func TestLaneOrder(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	third := cl.submit(testCall(id, 3, false), time.Minute)
	second := cl.submit(testCall(id, 2, true), time.Minute)
	cl.run(time.Second)
	if len(cl.sends) != 0 {
		t.Fatalf("%d sends before call 1 was submitted", len(cl.sends))
	}
	first := cl.submit(testCall(id, 1, false), time.Minute)
	cl.run(2 * time.Second)
	for i, r := range []*request{first, second, third} {
		cl.expect(r, structs.OutcomeAnswered, "")
		if cl.sends[i].call.Number != uint64(i+1) {
			t.Errorf("send %d is for call %d", i, cl.sends[i].call.Number)
		}
	}
	gap := cl.submit(testCall(id, 9, false), time.Minute)
	cl.run(6 * time.Second)
	cl.expect(gap, structs.OutcomeNotRun, structs.ReasonOrderGap)
	old := testCall(id, 2, false)
	old.Key = "another"
	stale := cl.submit(old, time.Minute)
	cl.run(time.Second)
	cl.expect(stale, structs.OutcomeNotRun, structs.ReasonStaleNumber)
}

func TestProgramBudget(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.policy.ProgramTokens = 500
	cl.policy.ProgramFees = 25
	id := cl.program(1)
	for n, notRepeatable := range []bool{false, true, false, true} {
		r := cl.submit(testCall(id, uint64(n+1), notRepeatable), time.Minute)
		cl.run(time.Second)
		cl.expect(r, structs.OutcomeAnswered, "")
	}
	// 300 tokens are spent and the worst case is 200. 50 are left afterwards.
	r := cl.submit(testCall(id, 5, false), time.Minute)
	cl.run(time.Second)
	cl.expect(r, structs.OutcomeAnswered, "")
	r = cl.submit(testCall(id, 6, false), time.Minute)
	cl.run(time.Second)
	cl.expect(r, structs.OutcomeNotRun, structs.ReasonBudget)
	r = cl.submit(testCall(id, 6, true), time.Minute)
	cl.run(time.Second)
	cl.expect(r, structs.OutcomeNotRun, structs.ReasonBudget)
}

func TestTakeoverDoesNotRerunIntent(t *testing.T) {
	for _, askable := range []bool{false, true} {
		cl := newCluster(t, 1, 2)
		cl.supportsOutcomeQuery = askable
		cl.runTime = 500 * time.Millisecond
		id := cl.program(1)
		c := testCall(id, 1, true)
		r := cl.submit(c, time.Minute)
		cl.run(200 * time.Millisecond)
		if cl.sendsOf(c) != 1 {
			t.Fatal("call was not sent")
		}
		cl.kill("o1")
		cl.run(5 * time.Second)
		if askable {
			cl.expect(r, structs.OutcomeAnswered, "")
		} else {
			cl.expect(r, structs.OutcomeUnknown, structs.ReasonOwnerLost)
		}
		again := cl.submit(c, time.Minute)
		next := cl.submit(testCall(id, 2, true), time.Minute)
		cl.run(time.Second)
		cl.expect(again, r.outcome.Kind, r.outcome.Reason)
		cl.expect(next, structs.OutcomeAnswered, "")
		if cl.sendsOf(c) != 1 {
			t.Errorf("%d sends, want 1", cl.sendsOf(c))
		}
	}
}
