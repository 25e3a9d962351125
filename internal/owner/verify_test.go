package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// newSupersededOwner returns a cluster in which o2 has claimed the shard and o1,
// whose reads lag, has not noticed yet.
func newSupersededOwner(t *testing.T) (*cluster, structs.ProgramID) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.run(time.Second)
	cl.nodes["o1"].readLag = 300 * time.Millisecond
	cl.nodes["o1"].suspected = true
	r := cl.submit(testCall(id, 1, false), time.Minute)
	for r.outcome == nil {
		cl.run(time.Millisecond)
	}
	cl.expect(r, structs.OutcomeAnswered, "")
	cl.nodes["o1"].suspected = false
	if !cl.nodes["o1"].o.shards[0].owned() || !cl.nodes["o2"].o.shards[0].owned() {
		t.Fatal("the previous owner has already noticed the new claim")
	}
	return cl, id
}

// openAt opens a program at one owner only.
func (cl *cluster) openAt(to structs.InstanceID, n byte) structs.ProgramID {
	id := structs.NewProgramID(testRegion, testStart, [10]byte{9: n})
	cl.sendMessage(testGateway, to, &structs.ProgramRequest{
		Request: "open", Op: structs.ProgramOpen, Program: id, Team: testTeam, Remaining: time.Second,
	})
	cl.run(50 * time.Millisecond)
	return id
}

// An owner that was superseded unnoticed must not refuse a call based on its
// state. The caller gets the new owner's answer.
func TestSupersededOwnerVerifiesBeforeRefusing(t *testing.T) {
	cl, _ := newSupersededOwner(t)
	id := cl.openAt("o2", 2)
	r := cl.submit(testCall(id, 1, false), time.Minute)
	show := cl.operate(id, structs.ProgramShow)
	cl.run(time.Second)
	cl.expect(r, structs.OutcomeAnswered, "")
	if show.Outcome.Reason == structs.ReasonUnknownProgram {
		t.Error("an open program was refused as unknown")
	}
}

// runAtSecondOwner runs a call at o2 while o1 has not noticed its claim.
func (cl *cluster) runAtSecondOwner(c *structs.Call) {
	cl.nodes["o1"].suspected = true
	r := cl.submit(c, time.Minute)
	for r.outcome == nil {
		cl.run(time.Millisecond)
	}
	cl.expect(r, structs.OutcomeAnswered, "")
	cl.nodes["o1"].suspected = false
}

// A refusal in a lane waits for verification, too.
func TestSupersededOwnerVerifiesBeforeRefusingInLane(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.nodes["o1"].readLag = 300 * time.Millisecond
	behind := cl.submit(testCall(id, 2, false), time.Minute)
	cl.run(cl.policy.GapTimeout - 150*time.Millisecond)
	cl.runAtSecondOwner(testCall(id, 1, false))
	cl.run(2 * time.Second)
	cl.expect(behind, structs.OutcomeAnswered, "")

	cl = newCluster(t, 1, 2)
	id = cl.program(1)
	spec := func(key string, chain ...byte) *structs.Call {
		c := testCall(id, 0, false)
		c.Key = key
		for _, b := range chain {
			c.History = append(c.History, structs.ChainDigest{b})
		}
		return c
	}
	cl.submit(spec("a", 1), time.Minute)
	cl.run(time.Second)
	cl.nodes["o1"].readLag = 300 * time.Millisecond
	fork := spec("b", 9)
	fork.Fork = true
	cl.runAtSecondOwner(fork)
	next := cl.submit(spec("c", 9, 9, 9), time.Minute)
	cl.run(2 * time.Second)
	cl.expect(next, structs.OutcomeAnswered, "")
}

// A verification covers only requests that arrived before its record was sent.
func TestVerificationIsNewerThanRequest(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.program(1)
	cl.run(time.Second)
	cl.nodes["o1"].readLag = 300 * time.Millisecond
	other := structs.NewProgramID(testRegion, testStart, [10]byte{9: 7})
	early := cl.submit(testCall(other, 1, false), time.Minute)
	cl.run(20 * time.Millisecond)
	cl.nodes["o1"].suspected = true
	id := cl.openAt("o2", 2)
	cl.nodes["o1"].suspected = false
	late := cl.submit(testCall(id, 1, false), time.Minute)
	cl.run(2 * time.Second)
	cl.expect(early, structs.OutcomeNotRun, structs.ReasonUnknownProgram)
	cl.expect(late, structs.OutcomeAnswered, "")
}

// A refusal during a log outage is not final.
func TestStateRefusalDuringLogOutage(t *testing.T) {
	cl := newCluster(t, 1, 1)
	cl.program(1)
	cl.logDown = true
	cl.pollStream(cl.nodes["o1"], "shard.lakes.0")
	cl.run(time.Second)
	r := cl.submit(markFresh(testCall(structs.NewProgramID(testRegion, testStart, [10]byte{9: 7}), 1, false)), time.Minute)
	cl.run(100 * time.Millisecond)
	cl.expect(r, structs.OutcomeNotRun, structs.ReasonLogUnavailable)
	if r.outcome.RetryAfter == 0 {
		t.Error("refusal without RetryAfter")
	}
}

// An owner that resumes after a pause runs no call, repeatable or not, before the
// log confirms that it still owns the shard.
func TestResumedOwnerVerifiesOwnershipBeforeRunning(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.run(time.Second)
	cl.pause("o1", 5*time.Second)
	cl.nodes["o1"].logUnresponsive = true
	stale := cl.submit(testCall(id, 1, false), 30*time.Second)
	cl.run(1200 * time.Millisecond)
	for n := uint64(1); n <= 2; n++ {
		r := cl.submit(testCall(id, n, false), time.Minute)
		cl.run(time.Second)
		cl.expect(r, structs.OutcomeAnswered, "")
	}
	before := cl.sendsOf(stale.call)
	// The log responds again when the owner resumes, which has read nothing yet.
	cl.nodes["o1"].logUnresponsive = false
	cl.run(5 * time.Second)
	if n := cl.sendsOf(stale.call); n != before {
		t.Errorf("the resumed owner ran call 1 again after call 2: %d sends", n)
	}
}
