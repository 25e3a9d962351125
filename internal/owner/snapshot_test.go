package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Replay from a snapshot includes the records between the time it was taken and
// the time it was written, and applies nothing twice.
func TestReplayStartsFromSnapshot(t *testing.T) {
	cl := newCluster(t, 1, 2)
	cl.snapshotInterval = 10
	for _, id := range cl.ids {
		cl.start(id)
	}
	cl.policy.ProgramFees = 1000
	id := cl.program(1)
	for n := range 30 {
		cl.submit(testCall(id, uint64(n+1), true), time.Minute)
		other := testCall(id, uint64(n+1), false)
		other.Lane, other.Key = "b", fmt.Sprint("b", n)
		cl.submit(other, time.Minute)
		cl.run(100 * time.Millisecond)
	}
	cl.run(2 * time.Second)
	before := cl.operate(id, structs.ProgramShow).Info
	cl.truncate()
	const stream = "shard.lakes.0"
	if cl.firstOffsets[stream] == 0 {
		t.Fatal("no snapshot was written")
	}
	between := 0
	for i, data := range cl.streams[stream] {
		if r, err := journal.Decode(data); err == nil {
			if snap, ok := r.Body.(*journal.Snapshot); ok && uint64(i) > snap.Next {
				between++
			}
		}
	}
	if between == 0 {
		t.Fatal("no record was written between taking and writing a snapshot")
	}
	cl.kill("o1")
	cl.run(3 * time.Second)
	after := cl.operate(id, structs.ProgramShow).Info
	if after.Turns != 60 || after.Turns != before.Turns || after.TokensSpent != before.TokensSpent || after.FeesSpent != before.FeesSpent {
		t.Errorf("before %+v\nafter  %+v", before, after)
	}
	replay := cl.submit(testCall(id, 3, true), time.Minute)
	cl.run(time.Second)
	cl.expect(replay, structs.OutcomeAnswered, "")
	if len(cl.sends) != 60 {
		t.Errorf("%d sends", len(cl.sends))
	}
}

// A program older than the window is purged, and its calls never run again.
func TestPurge(t *testing.T) {
	cl := newCluster(t, 1, 1)
	id := cl.program(1)
	cl.submit(testCall(id, 1, true), time.Minute)
	cl.run(time.Second)
	cl.operate(id, structs.ProgramClose)
	cl.run(cl.policy.IdempotencyWindow + 2*time.Minute)
	if n := len(cl.nodes["o1"].o.shards[0].state.Programs); n != 0 {
		t.Errorf("%d programs left after the purge", n)
	}
	r := cl.submit(testCall(id, 1, true), time.Minute)
	cl.run(time.Second)
	cl.expect(r, structs.OutcomeNotRun, structs.ReasonTooOld)
	if len(cl.sends) != 1 {
		t.Errorf("%d sends", len(cl.sends))
	}
}
