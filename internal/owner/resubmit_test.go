package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// lastEnd gives the outcome that an owner sent for a request.
func lastEnd(cmds []structs.Command, request structs.RequestID) *structs.Outcome {
	var out *structs.Outcome
	for _, cmd := range cmds {
		send, ok := cmd.(structs.SendPeer)
		if !ok {
			continue
		}
		if end, ok := send.Msg.(*structs.CallEnd); ok && end.Request == request {
			out = &end.Outcome
		}
	}
	return out
}

// A refusal says "not run" only if no other owner may have the request, also if
// that became known only by a repeated Submit.
func TestRefusalOfAResubmittedRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		flags []bool
		want  structs.OutcomeKind
	}{
		{"first owner", []bool{false}, structs.OutcomeNotRun},
		{"second owner", []bool{true}, structs.OutcomeUnknown},
		{"back at the first", []bool{false, true}, structs.OutcomeUnknown},
		{"marked once", []bool{true, false}, structs.OutcomeUnknown},
	} {
		w := newWorld(t, 1, 1)
		o := w.nodes["o1"].o
		id := structs.NewProgramID(testRegion, w.now, [10]byte{1})
		now := w.now
		for _, resubmitted := range c.flags {
			now = now.Add(time.Millisecond)
			o.Tick(now, []structs.Event{structs.PeerMessage{From: testGateway, Msg: &structs.Submit{
				Request: "r", Call: firstAttempt(testCall(id, 1, true)), Remaining: time.Minute, Resubmitted: resubmitted,
			}}})
		}
		// The log never answers, so the shard is not claimed.
		out := lastEnd(o.Tick(now.Add(2*time.Second), nil), "r")
		if out == nil || out.Kind != c.want {
			t.Errorf("%s: %+v, want kind %d", c.name, out, c.want)
		}
	}
}

func firstAttempt(c *structs.Call) *structs.Call {
	c.Fresh = true
	return c
}

// Pieces of one run are never followed by those of another.
func TestPiecesOfAnotherRun(t *testing.T) {
	w := newWorld(t, 1, 1)
	id := w.program(1)
	c := testCall(id, 1, false)
	c.Stream = true
	first := w.submit(c, time.Minute)
	w.run(time.Second)
	w.want(first, structs.OutcomeAnswered, "")
	o := w.nodes["o1"].o
	for run, want := range map[structs.RunID]structs.OutcomeKind{
		first.run: structs.OutcomeAnswered, "another": structs.OutcomeUnknown, "": structs.OutcomeUnknown,
	} {
		cmds := o.Tick(w.now, []structs.Event{structs.PeerMessage{From: testGateway, Msg: &structs.Submit{
			Request: "again", Call: c, Remaining: time.Minute, NextPiece: 1, ReceivedRun: run, Resubmitted: true,
		}}})
		if out := lastEnd(cmds, "again"); out == nil || out.Kind != want {
			t.Errorf("pieces of %q: %+v, want kind %d", run, out, want)
		}
	}
}

// Each run of a repeatable call has its own hold of the budget.
func TestBrokenRunsCostTheirWorst(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.policy.ProgramTokens = 500
	w.policy.Retries = 5
	id := w.program(1)
	w.behave = func(structs.StartRun) structs.RunFailure { return structs.RunBroken }
	r := w.submit(testCall(id, 1, false), time.Minute)
	w.run(5 * time.Second)
	w.want(r, structs.OutcomeUnknown, structs.ReasonBudget)
	if len(w.sends) != 2 {
		t.Errorf("%d runs of 200 tokens each within 500", len(w.sends))
	}
	if info := w.operate(id, structs.ProgramShow).Info; info.TokensSpent != 400 {
		t.Errorf("%d tokens booked, want 400", info.TokensSpent)
	}
}

// A shard that was lost is claimed again though a call of it still runs, and
// the lane waits for that call.
func TestLostShardIsClaimedAgain(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.runTime = 6 * time.Second
	id := w.program(1)
	running := w.submit(testCall(id, 1, true), time.Minute)
	w.run(200 * time.Millisecond)
	w.pause("o1", 1500*time.Millisecond)
	w.run(1200 * time.Millisecond)
	// The other owner takes over for the next call and dies.
	second := w.submit(testCall(id, 2, true), time.Minute)
	w.run(800 * time.Millisecond)
	if w.nodes["o2"].o.shards[0].tenure != tenureOwned || w.nodes["o1"].o.shards[0].tenure != tenureLost {
		t.Fatal("the shard did not change hands")
	}
	w.kill("o2")
	w.run(10 * time.Second)
	w.want(running, structs.OutcomeAnswered, "")
	w.want(second, structs.OutcomeAnswered, "")
	if len(w.sends) != 2 || w.sends[1].at.Sub(w.sends[0].at) < w.runTime {
		t.Errorf("sends %+v", w.sends)
	}
}
