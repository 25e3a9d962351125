package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestCacheReleaseRepeatsUntilConfirmed(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.submit(testCall(id, 1, false), time.Minute)
	w.run(time.Second)
	w.ignoreReleases = true
	if reply := w.operate(id, structs.ProgramClose); reply.Info.State != structs.ProgramClosed {
		t.Fatalf("close: %+v", reply)
	}
	w.run(10 * time.Second)
	target := w.nodes["o1"].o.Programs(testTeam, 10)[0].Targets[0]
	if w.released[target] < 3 || len(w.goneMessages) != 1 {
		t.Errorf("%d releases, %d notices", w.released[target], len(w.goneMessages))
	}
	w.kill("o1")
	w.released[target] = 0
	// The next owner takes the shard up without any call.
	w.run(10 * time.Second)
	if w.released[target] == 0 {
		t.Error("the next owner released nothing")
	}
	w.ignoreReleases = false
	w.run(time.Minute)
	w.released[target] = 0
	w.run(5 * time.Minute)
	if w.released[target] != 0 {
		t.Errorf("%d releases after the target confirmed", w.released[target])
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
		w := newCluster(t, 1, 2)
		c.policy(&w.policy)
		id := w.program(1)
		var last *request
		for n := range c.calls {
			spec := testCall(id, uint64(n+1), false)
			spec.Digest = structs.Digest{7}
			last = w.submit(spec, time.Minute)
			w.run(time.Second)
		}
		if last != nil {
			w.expect(last, structs.OutcomeNotRun, c.reason)
		}
		w.run(6 * time.Second)
		reply := w.operate(id, structs.ProgramShow)
		if reply.Info.State != structs.ProgramClosed || reply.Info.Reason != c.state {
			t.Errorf("%s: program is %s %s", c.name, reply.Info.State, reply.Info.Reason)
		}
		after := w.submit(testCall(id, 9, false), time.Minute)
		w.run(time.Second)
		w.expect(after, structs.OutcomeNotRun, structs.ReasonProgramClosed)
	}
}

func TestHistoryAndTeams(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	spec := func(n uint64, chain ...byte) *structs.Call {
		c := testCall(id, n, false)
		for _, b := range chain {
			c.History = append(c.History, structs.ChainDigest{b})
		}
		return c
	}
	run := func(c *structs.Call) *request {
		r := w.submit(c, time.Minute)
		w.run(time.Second)
		return r
	}
	w.expect(run(spec(1, 1, 2)), structs.OutcomeAnswered, "")
	w.expect(run(spec(2, 1, 2, 3, 4)), structs.OutcomeAnswered, "")
	w.expect(run(spec(3, 1, 2, 9, 9, 9)), structs.OutcomeNotRun, structs.ReasonHistoryFork)
	w.expect(run(spec(3, 1, 2)), structs.OutcomeNotRun, structs.ReasonHistoryFork)
	w.kill("o1")
	w.run(3 * time.Second)
	w.expect(run(spec(3, 1, 2, 9, 9, 9)), structs.OutcomeUnknown, structs.ReasonHistoryFork)
	w.expect(run(markFresh(spec(3, 1, 2, 9, 9, 9))), structs.OutcomeNotRun, structs.ReasonHistoryFork)
	forked := spec(3, 8, 8)
	forked.Fork = true
	w.expect(run(forked), structs.OutcomeAnswered, "")
	w.expect(run(spec(4, 8, 8, 7)), structs.OutcomeAnswered, "")
	foreign := spec(5, 8, 8, 7, 7)
	foreign.Team = "lakeshore/status"
	w.expect(run(foreign), structs.OutcomeNotRun, structs.ReasonForeignProgram)
	parent := spec(5, 8, 8, 7, 7)
	parent.Team = "lakeshore"
	w.expect(run(parent), structs.OutcomeAnswered, "")
}

func TestUnknownPrograms(t *testing.T) {
	w := newCluster(t, 1, 2)
	young := structs.NewProgramID(testRegion, w.now, [10]byte{1})
	old := structs.NewProgramID(testRegion, w.now.Add(-2*time.Hour), [10]byte{1})
	run := func(c *structs.Call) *request {
		r := w.submit(c, time.Minute)
		w.run(time.Second)
		return r
	}
	w.expect(run(testCall(young, 1, false)), structs.OutcomeNotRun, structs.ReasonUnknownProgram)
	w.expect(run(testCall(old, 1, false)), structs.OutcomeNotRun, structs.ReasonTooOld)
	single := testCall(young, 0, true)
	single.Single = true
	w.expect(run(single), structs.OutcomeAnswered, "")
	w.expect(run(testCall(young, 2, false)), structs.OutcomeNotRun, structs.ReasonProgramClosed)
	w.expect(run(single), structs.OutcomeAnswered, "")
	if len(w.sends) != 1 {
		t.Errorf("%d sends", len(w.sends))
	}
	reply := w.operate(young, structs.ProgramShow)
	if reply.Info.State != structs.ProgramClosed {
		t.Errorf("single program is %s", reply.Info.State)
	}
}

func TestDeadlines(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.withholdGrants = true
	waiting := w.submit(testCall(id, 1, true), time.Second)
	w.run(1100 * time.Millisecond)
	w.expect(waiting, structs.OutcomeNotRun, structs.ReasonDeadline)
	w.withholdGrants = false
	w.runTime = 3 * time.Second
	c := testCall(id, 1, true)
	running := w.submit(c, time.Second)
	w.run(1100 * time.Millisecond)
	w.expect(running, structs.OutcomeUnknown, structs.ReasonDeadline)
	w.run(3 * time.Second)
	again := w.submit(c, time.Second)
	w.run(time.Second)
	w.expect(again, structs.OutcomeAnswered, "")
	if w.sendsOf(c) != 1 || !again.outcome.Replayed {
		t.Errorf("%d sends, replayed %v", w.sendsOf(c), again.outcome.Replayed)
	}
}

// A refusal of the dispatcher ends a call as "not run" and leaves its lane.
func TestDispatcherRefusal(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.refusePermit = func(*structs.PermitRequest) structs.Reason { return structs.ReasonOverloaded }
	c := testCall(id, 1, true)
	refused := w.submit(c, time.Minute)
	w.run(time.Second)
	w.expect(refused, structs.OutcomeNotRun, structs.ReasonOverloaded)
	w.refusePermit = nil
	again := w.submit(c, time.Minute)
	w.run(time.Second)
	w.expect(again, structs.OutcomeAnswered, "")
}
