package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// A reader that begins at a snapshot has what was in the log between the
// snapshot's taking and its writing, and nothing twice.
func TestReplayStartsFromSnapshot(t *testing.T) {
	w := newCluster(t, 1, 2)
	w.snapshotEvery = 10
	for _, id := range w.ids {
		w.start(id)
	}
	w.policy.ProgramFees = 1000
	id := w.program(1)
	for n := range 30 {
		w.submit(testCall(id, uint64(n+1), true), time.Minute)
		other := testCall(id, uint64(n+1), false)
		other.Lane, other.Key = "b", fmt.Sprint("b", n)
		w.submit(other, time.Minute)
		w.run(100 * time.Millisecond)
	}
	w.run(2 * time.Second)
	before := w.operate(id, structs.ProgramShow).Info
	w.truncate()
	const stream = "shard.lakes.0"
	if w.firstOffsets[stream] == 0 {
		t.Fatal("no snapshot was written")
	}
	behind := 0
	for i, data := range w.streams[stream] {
		if r, err := journal.Decode(data); err == nil {
			if snap, ok := r.Body.(*journal.Snapshot); ok && uint64(i) > snap.Next {
				behind++
			}
		}
	}
	if behind == 0 {
		t.Fatal("no record lies between a snapshot's taking and its writing")
	}
	w.kill("o1")
	w.run(3 * time.Second)
	after := w.operate(id, structs.ProgramShow).Info
	if after.Turns != 60 || after.Turns != before.Turns || after.TokensSpent != before.TokensSpent || after.FeesSpent != before.FeesSpent {
		t.Errorf("before %+v\nafter  %+v", before, after)
	}
	replay := w.submit(testCall(id, 3, true), time.Minute)
	w.run(time.Second)
	w.expect(replay, structs.OutcomeAnswered, "")
	if len(w.sends) != 60 {
		t.Errorf("%d sends", len(w.sends))
	}
}

// What is older than the window is forgotten, and its id never runs again.
func TestPurge(t *testing.T) {
	w := newCluster(t, 1, 1)
	id := w.program(1)
	w.submit(testCall(id, 1, true), time.Minute)
	w.run(time.Second)
	w.operate(id, structs.ProgramClose)
	w.run(w.policy.IdempotencyWindow + 2*time.Minute)
	if n := len(w.nodes["o1"].o.shards[0].state.Programs); n != 0 {
		t.Errorf("%d programs are kept", n)
	}
	r := w.submit(testCall(id, 1, true), time.Minute)
	w.run(time.Second)
	w.expect(r, structs.OutcomeNotRun, structs.ReasonTooOld)
	if len(w.sends) != 1 {
		t.Errorf("%d sends", len(w.sends))
	}
}
