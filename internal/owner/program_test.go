package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestCacheReleaseRepeatsUntilConfirmed(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.submit(testCall(id, 1, false), time.Minute)
	cl.run(time.Second)
	cl.ignoreReleases = true
	if reply := cl.operate(id, structs.ProgramClose); reply.Info.State != structs.ProgramClosed {
		t.Fatalf("close: %+v", reply)
	}
	cl.run(10 * time.Second)
	target := cl.nodes["o1"].o.Programs(testTeam, 10)[0].Targets[0]
	if cl.released[target] < 3 || len(cl.endedMessages) != 1 {
		t.Errorf("%d releases, %d ProgramEnded messages", cl.released[target], len(cl.endedMessages))
	}
	cl.kill("o1")
	cl.released[target] = 0
	// The next owner takes over the shard without any call.
	cl.run(10 * time.Second)
	if cl.released[target] == 0 {
		t.Error("the next owner sent no cache release")
	}
	cl.ignoreReleases = false
	cl.run(time.Minute)
	cl.released[target] = 0
	cl.run(5 * time.Minute)
	if cl.released[target] != 0 {
		t.Errorf("%d releases after the target confirmed", cl.released[target])
	}
}

func TestPolicyClosesPrograms(t *testing.T) {
	for _, c := range []struct {
		name   string
		policy func(*structs.Policy)
		calls  int
		reason structs.Reason
		state  string
	}{
		{"loop", func(p *structs.Policy) { p.LoopRepeats = 3 }, 3, structs.ReasonLoop, "loop-detected"},
		{"turns", func(p *structs.Policy) { p.ProgramTurns = 2 }, 3, structs.ReasonTurns, "turns-exhausted"},
		{"idle", func(p *structs.Policy) { p.IdleTimeout = 5 * time.Second }, 0, "", "idle"},
	} {
		cl := newCluster(t, 1, 2)
		c.policy(&cl.policy)
		id := cl.program(1)
		var last *request
		for n := range c.calls {
			spec := testCall(id, uint64(n+1), false)
			spec.Digest = structs.Digest{7}
			last = cl.submit(spec, time.Minute)
			cl.run(time.Second)
		}
		if last != nil {
			cl.expect(last, structs.OutcomeNotRun, c.reason)
		}
		cl.run(6 * time.Second)
		reply := cl.operate(id, structs.ProgramShow)
		if reply.Info.State != structs.ProgramClosed || reply.Info.Reason != c.state {
			t.Errorf("%s: program is %s %s", c.name, reply.Info.State, reply.Info.Reason)
		}
		after := cl.submit(testCall(id, 9, false), time.Minute)
		cl.run(time.Second)
		cl.expect(after, structs.OutcomeNotRun, structs.ReasonProgramClosed)
	}
}

func TestHistoryAndTeams(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	spec := func(n uint64, chain ...byte) *structs.Call {
		c := testCall(id, n, false)
		for _, b := range chain {
			c.History = append(c.History, structs.ChainDigest{b})
		}
		return c
	}
	run := func(c *structs.Call) *request {
		r := cl.submit(c, time.Minute)
		cl.run(time.Second)
		return r
	}
	cl.expect(run(spec(1, 1, 2)), structs.OutcomeAnswered, "")
	cl.expect(run(spec(2, 1, 2, 3, 4)), structs.OutcomeAnswered, "")
	cl.expect(run(spec(3, 1, 2, 9, 9, 9)), structs.OutcomeNotRun, structs.ReasonHistoryFork)
	cl.expect(run(spec(3, 1, 2)), structs.OutcomeNotRun, structs.ReasonHistoryFork)
	cl.kill("o1")
	cl.run(3 * time.Second)
	cl.expect(run(spec(3, 1, 2, 9, 9, 9)), structs.OutcomeUnknown, structs.ReasonHistoryFork)
	cl.expect(run(markFresh(spec(3, 1, 2, 9, 9, 9))), structs.OutcomeNotRun, structs.ReasonHistoryFork)
	forked := spec(3, 8, 8)
	forked.Fork = true
	cl.expect(run(forked), structs.OutcomeAnswered, "")
	cl.expect(run(spec(4, 8, 8, 7)), structs.OutcomeAnswered, "")
	foreign := spec(5, 8, 8, 7, 7)
	foreign.Team = "lakeshore/status"
	cl.expect(run(foreign), structs.OutcomeNotRun, structs.ReasonForeignProgram)
	parent := spec(5, 8, 8, 7, 7)
	parent.Team = "lakeshore"
	cl.expect(run(parent), structs.OutcomeAnswered, "")
}

func TestUnknownPrograms(t *testing.T) {
	cl := newCluster(t, 1, 2)
	young := structs.NewProgramID(testRegion, cl.now, [10]byte{1})
	old := structs.NewProgramID(testRegion, cl.now.Add(-2*time.Hour), [10]byte{1})
	run := func(c *structs.Call) *request {
		r := cl.submit(c, time.Minute)
		cl.run(time.Second)
		return r
	}
	cl.expect(run(testCall(young, 1, false)), structs.OutcomeNotRun, structs.ReasonUnknownProgram)
	cl.expect(run(testCall(old, 1, false)), structs.OutcomeNotRun, structs.ReasonTooOld)
	single := testCall(young, 0, true)
	single.Single = true
	cl.expect(run(single), structs.OutcomeAnswered, "")
	cl.expect(run(testCall(young, 2, false)), structs.OutcomeNotRun, structs.ReasonProgramClosed)
	cl.expect(run(single), structs.OutcomeAnswered, "")
	if len(cl.sends) != 1 {
		t.Errorf("%d sends", len(cl.sends))
	}
	reply := cl.operate(young, structs.ProgramShow)
	if reply.Info.State != structs.ProgramClosed {
		t.Errorf("single program is %s", reply.Info.State)
	}
}

func TestDeadlines(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.withholdGrants = true
	waiting := cl.submit(testCall(id, 1, true), time.Second)
	cl.run(1100 * time.Millisecond)
	cl.expect(waiting, structs.OutcomeNotRun, structs.ReasonDeadline)
	cl.withholdGrants = false
	cl.runTime = 3 * time.Second
	c := testCall(id, 1, true)
	running := cl.submit(c, time.Second)
	cl.run(1100 * time.Millisecond)
	cl.expect(running, structs.OutcomeUnknown, structs.ReasonDeadline)
	cl.run(3 * time.Second)
	again := cl.submit(c, time.Second)
	cl.run(time.Second)
	cl.expect(again, structs.OutcomeAnswered, "")
	if cl.sendsOf(c) != 1 || !again.outcome.Replayed {
		t.Errorf("%d sends, replayed %v", cl.sendsOf(c), again.outcome.Replayed)
	}
}

// A dispatcher's refusal ends a call as "not run" and frees its lane.
func TestDispatcherRefusal(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.refusePermit = func(*structs.PermitRequest) structs.Reason { return structs.ReasonOverloaded }
	c := testCall(id, 1, true)
	refused := cl.submit(c, time.Minute)
	cl.run(time.Second)
	cl.expect(refused, structs.OutcomeNotRun, structs.ReasonOverloaded)
	cl.refusePermit = nil
	again := cl.submit(c, time.Minute)
	cl.run(time.Second)
	cl.expect(again, structs.OutcomeAnswered, "")
}
