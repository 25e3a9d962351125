package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestCallRunsAndIsReplayed(t *testing.T) {
	for _, notRepeatable := range []bool{false, true} {
		w := newCluster(t, 1, 2)
		id := w.program(1)
		c := testCall(id, 1, notRepeatable)
		first := w.submit(c, time.Minute)
		w.run(time.Second)
		w.expect(first, structs.OutcomeAnswered, "")
		again := w.submit(c, time.Minute)
		w.run(time.Second)
		w.expect(again, structs.OutcomeAnswered, "")
		if !again.outcome.Replayed || again.outcome.Text != first.outcome.Text {
			t.Errorf("second answer %+v, want a replay of %+v", again.outcome, first.outcome)
		}
		if n := w.sendsOf(c); n != 1 {
			t.Errorf("%d sends, want 1", n)
		}
		other := *c
		other.Digest = structs.Digest{99}
		reused := w.submit(&other, time.Minute)
		w.run(time.Second)
		w.expect(reused, structs.OutcomeNotRun, structs.ReasonKeyReused)
	}
}

func TestLaneOrder(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	third := w.submit(testCall(id, 3, false), time.Minute)
	second := w.submit(testCall(id, 2, true), time.Minute)
	w.run(time.Second)
	if len(w.sends) != 0 {
		t.Fatalf("%d sends before call 1 came", len(w.sends))
	}
	first := w.submit(testCall(id, 1, false), time.Minute)
	w.run(2 * time.Second)
	for i, r := range []*request{first, second, third} {
		w.expect(r, structs.OutcomeAnswered, "")
		if w.sends[i].call.Number != uint64(i+1) {
			t.Errorf("send %d is of call %d", i, w.sends[i].call.Number)
		}
	}
	gap := w.submit(testCall(id, 9, false), time.Minute)
	w.run(6 * time.Second)
	w.expect(gap, structs.OutcomeNotRun, structs.ReasonOrderGap)
	old := testCall(id, 2, false)
	old.Key = "another"
	stale := w.submit(old, time.Minute)
	w.run(time.Second)
	w.expect(stale, structs.OutcomeNotRun, structs.ReasonStaleNumber)
}

func TestProgramBudget(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.policy.ProgramTokens = 500
	w.policy.ProgramFees = 25
	id := w.program(1)
	for n, notRepeatable := range []bool{false, true, false, true} {
		r := w.submit(testCall(id, uint64(n+1), notRepeatable), time.Minute)
		w.run(time.Second)
		w.expect(r, structs.OutcomeAnswered, "")
	}
	// 300 tokens are spent and 200 are the worst case; then 50 are left.
	r := w.submit(testCall(id, 5, false), time.Minute)
	w.run(time.Second)
	w.expect(r, structs.OutcomeAnswered, "")
	r = w.submit(testCall(id, 6, false), time.Minute)
	w.run(time.Second)
	w.expect(r, structs.OutcomeNotRun, structs.ReasonBudget)
	r = w.submit(testCall(id, 6, true), time.Minute)
	w.run(time.Second)
	w.expect(r, structs.OutcomeNotRun, structs.ReasonBudget)
}

func TestTakeoverDoesNotRerunIntent(t *testing.T) {
	for _, askable := range []bool{false, true} {
		w := newCluster(t, 1, 2)
		w.supportsOutcomeQuery = askable
		w.runTime = 500 * time.Millisecond
		id := w.program(1)
		c := testCall(id, 1, true)
		r := w.submit(c, time.Minute)
		w.run(200 * time.Millisecond)
		if w.sendsOf(c) != 1 {
			t.Fatal("not sent")
		}
		w.kill("o1")
		w.run(5 * time.Second)
		if askable {
			w.expect(r, structs.OutcomeAnswered, "")
		} else {
			w.expect(r, structs.OutcomeUnknown, structs.ReasonOwnerLost)
		}
		again := w.submit(c, time.Minute)
		next := w.submit(testCall(id, 2, true), time.Minute)
		w.run(time.Second)
		w.expect(again, r.outcome.Kind, r.outcome.Reason)
		w.expect(next, structs.OutcomeAnswered, "")
		if w.sendsOf(c) != 1 {
			t.Errorf("%d sends", w.sendsOf(c))
		}
	}
}
