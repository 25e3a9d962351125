package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// answerWithoutRecord answers a call during a log outage and kills its owner, so
// that no record of the call is in the log.
func answerWithoutRecord(cl *cluster, id structs.ProgramID, c *structs.Call) *request {
	cl.logDown = true
	cl.pollStream(cl.nodes["o1"], "shard.lakes.0")
	r := cl.submit(c, time.Minute)
	cl.run(500 * time.Millisecond)
	cl.expect(r, structs.OutcomeAnswered, "")
	cl.kill("o1")
	cl.run(time.Second)
	cl.logDown = false
	cl.run(time.Second)
	return r
}

func addHistory(c *structs.Call, messages int) *structs.Call {
	for i := range messages {
		c.History = append(c.History, structs.ChainDigest{byte(i + 1)})
	}
	return c
}

// A lane continues after a number whose record was lost with its owner. A later
// delivery of that number is not reported as "not run".
func TestGapAfterTakeoverIsSkipped(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.policy.ProgramTokens = 5000
	id := cl.program(1)
	cl.expect(cl.submit(testCall(id, 1, false), time.Minute), 0, "none yet")
	cl.run(time.Second)
	answerWithoutRecord(cl, id, testCall(id, 2, false))
	third := cl.submit(testCall(id, 3, false), time.Minute)
	cl.run(3 * time.Second)
	cl.expect(third, structs.OutcomeAnswered, "")
	again := cl.submit(testCall(id, 2, false), time.Minute)
	cl.run(time.Second)
	cl.expect(again, structs.OutcomeUnknown, structs.ReasonStaleNumber)
	filing := cl.submit(testCall(id, 2, true), time.Minute)
	cl.run(time.Second)
	cl.expect(filing, structs.OutcomeUnknown, structs.ReasonStaleNumber)
	// A gap is skipped once an epoch. The next one is refused, but not as "not
	// run".
	fifth := cl.submit(testCall(id, 5, false), time.Minute)
	cl.run(cl.policy.GapTimeout + time.Second)
	cl.expect(fifth, structs.OutcomeUnknown, structs.ReasonOrderGap)
	cl.kill("o2")
	cl.start("o1")
	cl.run(time.Second)
	again = cl.submit(testCall(id, 2, false), time.Minute)
	cl.run(time.Second)
	cl.expect(again, structs.OutcomeUnknown, structs.ReasonStaleNumber)
}

// A history that includes the missing responses lets the call start at once.
func TestHistoryCoversGap(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.policy.ProgramTokens = 5000
	id := cl.program(1)
	cl.submit(addHistory(testCall(id, 1, false), 1), time.Minute)
	cl.run(time.Second)
	answerWithoutRecord(cl, id, addHistory(testCall(id, 2, false), 3))
	short := cl.submit(addHistory(testCall(id, 3, false), 4), 400*time.Millisecond)
	cl.run(500 * time.Millisecond)
	if short.kind() == structs.OutcomeAnswered {
		t.Error("call 3 ran although its history lacks the answer of call 2")
	}
	third := cl.submit(addHistory(testCall(id, 3, false), 5), time.Minute)
	cl.run(500 * time.Millisecond)
	cl.expect(third, structs.OutcomeAnswered, "")
}

// A lane continues after a number whose outcome was reported as unknown without
// a record.
func TestLaneContinuesAfterUnknownRefusal(t *testing.T) {
	cl := newCluster(t, 1, 1)
	id := cl.program(1)
	cl.logDown = true
	cl.pollStream(cl.nodes["o1"], "shard.lakes.0")
	cl.run(time.Second)
	first := cl.submit(testCall(id, 1, true), time.Minute)
	cl.run(time.Second)
	cl.expect(first, structs.OutcomeUnknown, structs.ReasonLogUnavailable)
	cl.logDown = false
	cl.run(2 * time.Second)
	second := cl.submit(testCall(id, 2, true), time.Minute)
	cl.run(3 * time.Second)
	cl.expect(second, structs.OutcomeAnswered, "")
}

// A repeatable call whose record may be lost is not reported as "not run", unless
// its caller declares the delivery as the first.
func TestRefusalsAfterTakeover(t *testing.T) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.run(time.Second)
	c := testCall(id, 1, false)
	answerWithoutRecord(cl, id, c)
	cl.refusePermit = func(*structs.PermitRequest) structs.Reason { return structs.ReasonOverloaded }
	again := cl.submit(c, time.Minute)
	cl.run(time.Second)
	cl.expect(again, structs.OutcomeUnknown, structs.ReasonOverloaded)
	fresh := cl.submit(markFresh(testCall(id, 1, false)), time.Minute)
	cl.run(time.Second)
	cl.expect(fresh, structs.OutcomeNotRun, structs.ReasonOverloaded)
}
