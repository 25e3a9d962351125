package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// An owner that is cut off from the log and does not know yet says nothing of
// a filing that the next owner has sent.
func TestCutOffOwnerDoesNotSayNotRun(t *testing.T) {
	w := newWorld(t, 1, 2)
	id := w.program(1)
	w.run(5 * time.Second)
	w.runTime = 5 * time.Second
	w.nodes["o1"].silent, w.nodes["o1"].suspected = true, true
	c := testCall(id, 1, true)
	first := w.submit(c, time.Minute)
	for len(w.sends) == 0 {
		w.run(time.Millisecond)
	}
	if w.nodes["o1"].o.shards[0].logDown() {
		t.Fatal("the old owner noticed the cut already")
	}
	w.nodes["o1"].suspected, w.nodes["o2"].suspected = false, true
	again := w.submit(c, time.Minute)
	w.run(2 * time.Second)
	w.want(again, structs.OutcomeUnknown, structs.ReasonLogUnavailable)
	w.run(5 * time.Second)
	w.want(first, structs.OutcomeAnswered, "")
}

// A gateway with pieces of another run is told at once that its answer cannot
// be made whole.
func TestStrangerOfARunningStream(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.runTime = 5 * time.Second
	id := w.program(1)
	c := testCall(id, 1, false)
	c.Stream = true
	r := w.submit(c, time.Minute)
	w.run(2 * time.Second)
	cmds := w.nodes["o1"].o.Tick(w.now, []structs.Event{structs.PeerMessage{From: testGateway, Msg: &structs.Submit{
		Request: "stranger", Call: c, Remaining: time.Minute, NextPiece: 1, ReceivedRun: "another", Resubmitted: true,
	}}})
	if out := lastEnd(cmds, "stranger"); out == nil || out.Kind != structs.OutcomeUnknown {
		t.Errorf("outcome %+v, want unknown", out)
	}
	w.run(5 * time.Second)
	w.want(r, structs.OutcomeAnswered, "")
}

// A grant of a team's budget is sent only once its record was read back.
func TestGrantCountsBeforeItIsSent(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.policy.TeamFees = 100
	w.program(1)
	o := w.nodes["o1"].o
	cmds := o.Tick(w.now, []structs.Event{structs.PeerMessage{From: "o2", Msg: &structs.BudgetRequest{
		Team: "lakeshore", Account: o.refOf(0), Grant: "g", Fees: 150,
	}}})
	appended := false
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case structs.LogAppend:
			appended = true
			w.append(w.nodes["o1"], c)
		case structs.SendPeer:
			t.Errorf("%T before the record counts", c.Msg)
		}
	}
	w.run(time.Second)
	if l := o.shards[0].state.Ledgers["lakeshore"]; !appended || l == nil || l.Granted.Fees != 100 {
		t.Errorf("ledger %+v", l)
	}
}

// A call that was refused behind its Intent is known as not sent to the next
// owner, which runs it when it is asked again.
func TestAbandonedIntentMayRunLater(t *testing.T) {
	w := newWorld(t, 1, 2)
	id := w.program(1)
	w.refuse = func(*structs.PermitRequest) structs.Reason { return structs.ReasonOverloaded }
	c := testCall(id, 1, true)
	refused := w.submit(c, time.Minute)
	w.run(time.Second)
	w.want(refused, structs.OutcomeNotRun, structs.ReasonOverloaded)
	w.refuse = nil
	w.kill("o1")
	w.run(500 * time.Millisecond)
	again := w.submit(c, time.Minute)
	w.run(500 * time.Millisecond)
	w.want(again, structs.OutcomeAnswered, "")
}

// A run whose end is never told does not block its lane for ever.
func TestRunWithoutAnEnd(t *testing.T) {
	w := newWorld(t, 1, 1)
	id := w.program(1)
	w.hang = true
	first := w.submit(testCall(id, 1, true), 2*time.Minute)
	w.run(time.Second)
	w.hang = false
	second := w.submit(testCall(id, 2, true), 5*time.Minute)
	w.run(90 * time.Second)
	w.want(first, structs.OutcomeUnknown, structs.ReasonDeadline)
	w.want(second, structs.OutcomeAnswered, "")
}

// A dispatcher grants a permit once: a run that was not sent asks under another
// name, while the name in the journal and at the target stays.
func TestRetryOfANotRepeatableRunHasItsOwnPermit(t *testing.T) {
	w := newWorld(t, 1, 1)
	id := w.program(1)
	tries := 0
	w.behave = func(structs.StartRun) structs.RunFailure {
		if tries++; tries == 1 {
			return structs.RunNotSent
		}
		return structs.RunOK
	}
	r := w.submit(testCall(id, 1, true), time.Minute)
	w.run(time.Second)
	w.want(r, structs.OutcomeAnswered, "")
	for run, n := range w.finishes {
		if n != 1 {
			t.Errorf("permit %s was given back %d times", run, n)
		}
	}
	if intents := w.nodes["o1"].o.shards[0].state.Programs[id].Open; len(intents) != 0 {
		t.Errorf("open runs %v", intents)
	}
}
