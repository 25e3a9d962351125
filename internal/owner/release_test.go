package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// closeAfterOwnerCrash lets an owner die right after it sent a chat, before its record
// of that is in the log, and closes the program at the next owner.
func closeAfterOwnerCrash(t *testing.T) (*cluster, structs.ProgramID) {
	w := newCluster(t, 1, 2)
	id := w.program(1)
	w.run(time.Second)
	r := w.submit(testCall(id, 1, false), time.Minute)
	w.nodes["o1"].logUnresponsive = true
	for len(w.sends) == 0 {
		w.run(time.Millisecond)
	}
	w.kill("o1")
	w.ignoreReleases = true
	w.run(50 * time.Millisecond)
	r.outcome = &structs.Outcome{Kind: structs.OutcomeUnknown}
	w.run(time.Second)
	if reply := w.operate(id, structs.ProgramClose); reply.Outcome.Kind != structs.OutcomeAnswered {
		t.Fatalf("close: %+v", reply.Outcome)
	}
	w.run(5 * time.Second)
	return w, id
}

// The cache of a program that is gone is released also at targets that no record
// names, until each confirmed; the next owner goes on with it.
func TestUnrecordedCacheIsReleased(t *testing.T) {
	w, id := closeAfterOwnerCrash(t)
	for _, target := range []structs.TargetID{"mark-agents-1", "mark-agents-2"} {
		if w.released[target] < 2 {
			t.Errorf("target %s was asked %d times to release", target, w.released[target])
		}
	}
	w.kill("o2")
	w.start("o1")
	w.nodes["o1"].logUnresponsive = false
	w.ignoreReleases = false
	w.run(time.Minute)
	if row := w.nodes["o1"].o.shards[0].state.Programs[id]; row == nil || len(row.Placements) != 0 {
		t.Errorf("row %+v", row)
	}
}

// A target that left the membership list is waited for no longer than that.
func TestReleaseOfRemovedTarget(t *testing.T) {
	w, id := closeAfterOwnerCrash(t)
	w.noTargets = true
	w.run(time.Minute)
	row := func() int { return len(w.nodes["o2"].o.shards[0].state.Programs[id].Placements) }
	if row() != 2 {
		t.Errorf("%d placements while the list may lag", row())
	}
	w.run(targetRemovedTimeout + 2*maxReleaseBackoff)
	if row() != 0 {
		t.Errorf("%d placements at targets that left", row())
	}
}
