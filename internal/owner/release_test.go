package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// closeAfterOwnerCrash kills an owner right after it sent a chat, before the
// record of the send is in the log, and closes the program at the next owner.
func closeAfterOwnerCrash(t *testing.T) (*cluster, structs.ProgramID) {
	cl := newCluster(t, 1, 2)
	id := cl.program(1)
	cl.run(time.Second)
	r := cl.submit(testCall(id, 1, false), time.Minute)
	cl.nodes["o1"].logUnresponsive = true
	for len(cl.sends) == 0 {
		cl.run(time.Millisecond)
	}
	cl.kill("o1")
	cl.ignoreReleases = true
	cl.run(50 * time.Millisecond)
	r.outcome = &structs.Outcome{Kind: structs.OutcomeUnknown}
	cl.run(time.Second)
	if reply := cl.operate(id, structs.ProgramClose); reply.Outcome.Kind != structs.OutcomeAnswered {
		t.Fatalf("close: %+v", reply.Outcome)
	}
	cl.run(5 * time.Second)
	return cl, id
}

// The cache of a closed program is released at targets without a record, too,
// until each has confirmed. The next owner continues with it.
func TestUnrecordedCacheIsReleased(t *testing.T) {
	cl, id := closeAfterOwnerCrash(t)
	for _, target := range []structs.TargetID{"mark-agents-1", "mark-agents-2"} {
		if cl.released[target] < 2 {
			t.Errorf("target %s got %d release requests, want at least 2", target, cl.released[target])
		}
	}
	cl.kill("o2")
	cl.start("o1")
	cl.nodes["o1"].logUnresponsive = false
	cl.ignoreReleases = false
	cl.run(time.Minute)
	if row := cl.nodes["o1"].o.shards[0].state.Programs[id]; row == nil || len(row.Placements) != 0 {
		t.Errorf("program %+v, want no placements", row)
	}
}

// The release at a removed target ends after targetRemovedTimeout.
func TestReleaseOfRemovedTarget(t *testing.T) {
	cl, id := closeAfterOwnerCrash(t)
	cl.noTargets = true
	cl.run(time.Minute)
	row := func() int { return len(cl.nodes["o2"].o.shards[0].state.Programs[id].Placements) }
	if row() != 2 {
		t.Errorf("%d placements while the membership list may lag, want 2", row())
	}
	cl.run(targetRemovedTimeout + 2*maxReleaseBackoff)
	if row() != 0 {
		t.Errorf("%d placements at removed targets", row())
	}
}
