package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// lastOutcome returns the last outcome that an owner sent for a request.
func lastOutcome(cmds []structs.Command, request structs.RequestID) *structs.Outcome {
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

// A refusal is "not run" only if no other owner may have the request, even if a
// repeated Submit is the first to indicate that.
func TestRefusalOfResubmittedRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		flags []bool
		want  structs.OutcomeKind
	}{
		{"first owner", []bool{false}, structs.OutcomeNotRun},
		{"second owner", []bool{true}, structs.OutcomeUnknown},
		{"first owner again", []bool{false, true}, structs.OutcomeUnknown},
		{"first Submit marked", []bool{true, false}, structs.OutcomeUnknown},
	} {
		cl := newCluster(t, 1, 1)
		o := cl.nodes["o1"].o
		id := structs.NewProgramID(testRegion, cl.now, [10]byte{1})
		now := cl.now
		for _, resubmitted := range c.flags {
			now = now.Add(time.Millisecond)
			o.Tick(now, []structs.Event{structs.PeerMessage{From: testGateway, Msg: &structs.Submit{
				Request: "r", Call: markFresh(testCall(id, 1, true)), Remaining: time.Minute, Resubmitted: resubmitted,
			}}})
		}
		// The log never responds, so the shard is not claimed.
		out := lastOutcome(o.Tick(now.Add(2*time.Second), nil), "r")
		if out == nil || out.Kind != c.want {
			t.Errorf("%s: %+v, want kind %d", c.name, out, c.want)
		}
	}
}

func markFresh(c *structs.Call) *structs.Call {
	c.Fresh = true
	return c
}

// Pieces of one run are never followed by pieces of another.
func TestPiecesOfAnotherRun(t *testing.T) {
	cl := newCluster(t, 1, 1)
	id := cl.program(1)
	c := testCall(id, 1, false)
	c.Stream = true
	first := cl.submit(c, time.Minute)
	cl.run(time.Second)
	cl.expect(first, structs.OutcomeAnswered, "")
	o := cl.nodes["o1"].o
	for run, want := range map[structs.RunID]structs.OutcomeKind{
		first.run: structs.OutcomeAnswered, "another": structs.OutcomeUnknown, "": structs.OutcomeUnknown,
	} {
		cmds := o.Tick(cl.now, []structs.Event{structs.PeerMessage{From: testGateway, Msg: &structs.Submit{
			Request: "again", Call: c, Remaining: time.Minute, NextPiece: 1, ReceivedRun: run, Resubmitted: true,
		}}})
		if out := lastOutcome(cmds, "again"); out == nil || out.Kind != want {
			t.Errorf("pieces of %q: %+v, want kind %d", run, out, want)
		}
	}
}

// Each run of a repeatable call has its own hold in the budget.
func TestFailedRunsAreChargedWorstCase(t *testing.T) {
	cl := newCluster(t, 1, 1)
	cl.policy.ProgramTokens = 500
	cl.policy.Retries = 5
	id := cl.program(1)
	cl.runResult = func(structs.StartRun) structs.RunFailure { return structs.RunBroken }
	r := cl.submit(testCall(id, 1, false), time.Minute)
	cl.run(5 * time.Second)
	cl.expect(r, structs.OutcomeUnknown, structs.ReasonBudget)
	if len(cl.sends) != 2 {
		t.Errorf("%d runs of 200 tokens each within 500, want 2", len(cl.sends))
	}
	if info := cl.operate(id, structs.ProgramShow).Info; info.TokensSpent != 400 {
		t.Errorf("%d tokens spent, want 400", info.TokensSpent)
	}
}

// A lost shard is claimed again while one of its calls still runs, and the lane
// waits for that call.
func TestLostShardIsReclaimed(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.runTime = 6 * time.Second
	id := cl.program(1)
	running := cl.submit(testCall(id, 1, true), time.Minute)
	cl.run(200 * time.Millisecond)
	cl.pause("o1", 1500*time.Millisecond)
	cl.run(1200 * time.Millisecond)
	// The other owner takes over for the next call and crashes.
	second := cl.submit(testCall(id, 2, true), time.Minute)
	cl.run(800 * time.Millisecond)
	if cl.nodes["o2"].o.shards[0].tenure != tenureOwned || cl.nodes["o1"].o.shards[0].tenure != tenureLost {
		t.Fatal("o2 did not take over the shard")
	}
	cl.kill("o2")
	cl.run(10 * time.Second)
	cl.expect(running, structs.OutcomeAnswered, "")
	cl.expect(second, structs.OutcomeAnswered, "")
	if len(cl.sends) != 2 || cl.sends[1].at.Sub(cl.sends[0].at) < cl.runTime {
		t.Errorf("sends %+v", cl.sends)
	}
}
