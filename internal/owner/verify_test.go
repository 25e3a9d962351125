package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// newSupersededOwner gives a world in which o2 took the shard over and o1, whose reads
// lag, does not know yet.
func newSupersededOwner(t *testing.T) (*cluster, structs.ProgramID) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.run(time.Second)
	w.nodes["o1"].readLag = 300 * time.Millisecond
	w.nodes["o1"].suspected = true
	r := w.submit(testCall(id, 1, false), time.Minute)
	for r.outcome == nil {
		w.run(time.Millisecond)
	}
	w.expect(r, structs.OutcomeAnswered, "")
	w.nodes["o1"].suspected = false
	if !w.nodes["o1"].o.shards[0].owned() || !w.nodes["o2"].o.shards[0].owned() {
		t.Fatal("the old owner knows of the new one")
	}
	return w, id
}

// openAt opens a program at one owner only.
func (w *cluster) openAt(to structs.InstanceID, n byte) structs.ProgramID {
	id := structs.NewProgramID(testRegion, testStart, [10]byte{9: n})
	w.sendMessage(testGateway, to, &structs.ProgramRequest{
		Request: "open", Op: structs.ProgramOpen, Program: id, Team: testTeam, Remaining: time.Second,
	})
	w.run(50 * time.Millisecond)
	return id
}

// An owner that was superseded without knowing gives no final refusal from what
// it knows: the caller gets the answer of the new owner.
func TestSupersededOwnerVerifiesBeforeRefusing(t *testing.T) {
	w, _ := newSupersededOwner(t)
	id := w.openAt("o2", 2)
	r := w.submit(testCall(id, 1, false), time.Minute)
	show := w.operate(id, structs.ProgramShow)
	w.run(time.Second)
	w.expect(r, structs.OutcomeAnswered, "")
	if show.Outcome.Reason == structs.ReasonUnknownProgram {
		t.Error("a live program is called unknown")
	}
}

// runAtSecondOwner lets o2 run a call while o1 does not know of it.
func (w *cluster) runAtSecondOwner(c *structs.Call) {
	w.nodes["o1"].suspected = true
	r := w.submit(c, time.Minute)
	for r.outcome == nil {
		w.run(time.Millisecond)
	}
	w.expect(r, structs.OutcomeAnswered, "")
	w.nodes["o1"].suspected = false
}

// A refusal in a lane waits for the proof, too.
func TestSupersededOwnerVerifiesBeforeRefusingInLane(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.nodes["o1"].readLag = 300 * time.Millisecond
	behind := w.submit(testCall(id, 2, false), time.Minute)
	w.run(w.policy.GapTimeout - 150*time.Millisecond)
	w.runAtSecondOwner(testCall(id, 1, false))
	w.run(2 * time.Second)
	w.expect(behind, structs.OutcomeAnswered, "")

	w = newCluster(t, 1, 2)
	id = w.program(1)
	spec := func(key string, chain ...byte) *structs.Call {
		c := testCall(id, 0, false)
		c.Key = key
		for _, b := range chain {
			c.History = append(c.History, structs.ChainDigest{b})
		}
		return c
	}
	w.submit(spec("a", 1), time.Minute)
	w.run(time.Second)
	w.nodes["o1"].readLag = 300 * time.Millisecond
	fork := spec("b", 9)
	fork.Fork = true
	w.runAtSecondOwner(fork)
	next := w.submit(spec("c", 9, 9, 9), time.Minute)
	w.run(2 * time.Second)
	w.expect(next, structs.OutcomeAnswered, "")
}

// A proof holds for what arrived before its record was sent, not for later.
func TestVerificationIsNewerThanRequest(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.program(1)
	w.run(time.Second)
	w.nodes["o1"].readLag = 300 * time.Millisecond
	other := structs.NewProgramID(testRegion, testStart, [10]byte{9: 7})
	early := w.submit(testCall(other, 1, false), time.Minute)
	w.run(20 * time.Millisecond)
	w.nodes["o1"].suspected = true
	id := w.openAt("o2", 2)
	w.nodes["o1"].suspected = false
	late := w.submit(testCall(id, 1, false), time.Minute)
	w.run(2 * time.Second)
	w.expect(early, structs.OutcomeNotRun, structs.ReasonUnknownProgram)
	w.expect(late, structs.OutcomeAnswered, "")
}

// In an outage a refusal by state is not final.
func TestStateRefusalDuringLogOutage(t *testing.T) {
	w := newCluster(t, 1, 1)
	w.program(1)
	w.logDown = true
	w.pollStream(w.nodes["o1"], "shard.lakes.0")
	w.run(time.Second)
	r := w.submit(markFresh(testCall(structs.NewProgramID(testRegion, testStart, [10]byte{9: 7}), 1, false)), time.Minute)
	w.run(100 * time.Millisecond)
	w.expect(r, structs.OutcomeNotRun, structs.ReasonLogUnavailable)
	if r.outcome.RetryAfter == 0 {
		t.Error("the caller is not told when to come back")
	}
}

// An owner that wakes up runs no call, repeatable or not, before the log shows
// that it is still the owner.
func TestResumedOwnerVerifiesOwnershipBeforeRunning(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.run(time.Second)
	w.pause("o1", 5*time.Second)
	w.nodes["o1"].logUnresponsive = true
	stale := w.submit(testCall(id, 1, false), 30*time.Second)
	w.run(1200 * time.Millisecond)
	for n := uint64(1); n <= 2; n++ {
		r := w.submit(testCall(id, n, false), time.Minute)
		w.run(time.Second)
		w.expect(r, structs.OutcomeAnswered, "")
	}
	before := w.sendsOf(stale.call)
	// It gets to the log again when it goes on, and has read nothing yet.
	w.nodes["o1"].logUnresponsive = false
	w.run(5 * time.Second)
	if n := w.sendsOf(stale.call); n != before {
		t.Errorf("call 1 ran again after call 2 at the owner that woke up: %d sends", n)
	}
}
