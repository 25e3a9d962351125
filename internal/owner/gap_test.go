package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// answerWithoutRecord lets a call be answered in an outage and its owner die, so that no
// record of it is in the log.
func answerWithoutRecord(w *cluster, id structs.ProgramID, c *structs.Call) *request {
	w.logDown = true
	w.pollStream(w.nodes["o1"], "shard.lakes.0")
	r := w.submit(c, time.Minute)
	w.run(500 * time.Millisecond)
	w.expect(r, structs.OutcomeAnswered, "")
	w.kill("o1")
	w.run(time.Second)
	w.logDown = false
	w.run(time.Second)
	return r
}

func addHistory(c *structs.Call, messages int) *structs.Call {
	for i := range messages {
		c.History = append(c.History, structs.ChainDigest{byte(i + 1)})
	}
	return c
}

// A lane goes on behind a number whose record died with its owner, and a later
// delivery of that number is not said not to have run.
func TestGapAfterTakeoverIsSkipped(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.policy.ProgramTokens = 5000
	id := w.program(1)
	w.expect(w.submit(testCall(id, 1, false), time.Minute), 0, "none yet")
	w.run(time.Second)
	answerWithoutRecord(w, id, testCall(id, 2, false))
	third := w.submit(testCall(id, 3, false), time.Minute)
	w.run(3 * time.Second)
	w.expect(third, structs.OutcomeAnswered, "")
	again := w.submit(testCall(id, 2, false), time.Minute)
	w.run(time.Second)
	w.expect(again, structs.OutcomeUnknown, structs.ReasonStaleNumber)
	filing := w.submit(testCall(id, 2, true), time.Minute)
	w.run(time.Second)
	w.expect(filing, structs.OutcomeUnknown, structs.ReasonStaleNumber)
	// Once an epoch: the next gap is refused, but not as "not run".
	fifth := w.submit(testCall(id, 5, false), time.Minute)
	w.run(w.policy.GapTimeout + time.Second)
	w.expect(fifth, structs.OutcomeUnknown, structs.ReasonOrderGap)
	w.kill("o2")
	w.start("o1")
	w.run(time.Second)
	again = w.submit(testCall(id, 2, false), time.Minute)
	w.run(time.Second)
	w.expect(again, structs.OutcomeUnknown, structs.ReasonStaleNumber)
}

// A history that holds the missing answers lets the call start at once.
func TestHistoryCoversGap(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.policy.ProgramTokens = 5000
	id := w.program(1)
	w.submit(addHistory(testCall(id, 1, false), 1), time.Minute)
	w.run(time.Second)
	answerWithoutRecord(w, id, addHistory(testCall(id, 2, false), 3))
	short := w.submit(addHistory(testCall(id, 3, false), 4), 400*time.Millisecond)
	w.run(500 * time.Millisecond)
	if short.kind() == structs.OutcomeAnswered {
		t.Error("a history without the answer of number 2 was taken for one with it")
	}
	third := w.submit(addHistory(testCall(id, 3, false), 5), time.Minute)
	w.run(500 * time.Millisecond)
	w.expect(third, structs.OutcomeAnswered, "")
}

// A caller that heard "unknown" of a number without a record may go on.
func TestLaneContinuesAfterUnknownRefusal(t *testing.T) {
	w := newCluster(t, 1, 1)
	id := w.program(1)
	w.logDown = true
	w.pollStream(w.nodes["o1"], "shard.lakes.0")
	w.run(time.Second)
	first := w.submit(testCall(id, 1, true), time.Minute)
	w.run(time.Second)
	w.expect(first, structs.OutcomeUnknown, structs.ReasonLogUnavailable)
	w.logDown = false
	w.run(2 * time.Second)
	second := w.submit(testCall(id, 2, true), time.Minute)
	w.run(3 * time.Second)
	w.expect(second, structs.OutcomeAnswered, "")
}

// A repeatable call whose record may have died with an earlier owner is not
// said not to have run, unless its caller declares the first delivery.
func TestRefusalsAfterTakeover(t *testing.T) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.run(time.Second)
	c := testCall(id, 1, false)
	answerWithoutRecord(w, id, c)
	w.refusePermit = func(*structs.PermitRequest) structs.Reason { return structs.ReasonOverloaded }
	again := w.submit(c, time.Minute)
	w.run(time.Second)
	w.expect(again, structs.OutcomeUnknown, structs.ReasonOverloaded)
	fresh := w.submit(markFresh(testCall(id, 1, false)), time.Minute)
	w.run(time.Second)
	w.expect(fresh, structs.OutcomeNotRun, structs.ReasonOverloaded)
}
