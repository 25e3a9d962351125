package settings

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestApplyIgnoresOffsetsBelowNext(t *testing.T) {
	tree := treeOf(t, map[string]string{"teams/a/priority": "1", "teams/b/priority": "2"})
	tree.Apply(0, encode(t, record{Changes: []recordChange{change("teams/c/priority", 0, "3")}}))
	if tree.Next() != 2 || tree.Version("teams/c/priority") != 0 {
		t.Fatalf("next %d, version %d", tree.Next(), tree.Version("teams/c/priority"))
	}
}

func TestCaughtUpOnlyThroughTheEndSeenFirst(t *testing.T) {
	w := newWorld(t)
	one := encode(t, record{Changes: []recordChange{change("teams/a/priority", 0, "1")}})
	two := encode(t, record{Changes: []recordChange{change("teams/a/priority", 1, "2")}})
	n := w.start("n")
	read := func(offset, end uint64, data []byte) {
		rec := wire.LogRecord{Offset: offset, TimeMS: w.now.UnixMilli(), Data: data}
		w.tick(n, structs.LogRead{
			Stream: structs.SettingsStream, From: offset, Next: offset + 1, End: end,
			Records: []wire.LogRecord{rec},
		})
	}
	read(0, 2, one)
	if n.CaughtUp() {
		t.Fatal("caught up before the end seen at the start")
	}
	read(1, 5, two)
	if !n.CaughtUp() {
		t.Fatal("not caught up at the end seen at the start")
	}
}

// A snapshot that ends before the oldest retained record leaves a gap, and must
// not be mistaken for the whole state.
func TestSnapshotFromBeforeTheGapIsNotTaken(t *testing.T) {
	w := newWorld(t)
	whole := treeOf(t, map[string]string{"teams/a/priority": "1"})
	old, err := whole.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	w.end = 3 // offsets 1 and 2 are changes that have expired
	w.expire(3)
	w.store(old)
	n := w.start("n")
	w.settle()
	if n.CaughtUp() || n.tree.Version("teams/a/priority") != 0 || !n.Dump().Gap {
		t.Fatalf("dump %+v", n.Dump())
	}
	for offset := whole.Next(); offset < w.end; offset++ {
		whole.Apply(offset, encode(t, record{Changes: []recordChange{change("teams/b/priority", 0, "2")}}))
	}
	good, err := whole.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	w.store(good)
	w.settle()
	if !n.CaughtUp() || n.tree.Policy("b").Priority != 2 || n.Next() != w.end {
		t.Fatalf("dump %+v", n.Dump())
	}
}

// A peer's state that still ends before the gap is taken, but closes nothing.
func TestPeerStateFromBeforeTheGapLeavesTheGap(t *testing.T) {
	w := newWorld(t)
	whole := treeOf(t, map[string]string{"teams/a/priority": "1"})
	state, err := whole.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	w.end = 3
	w.expire(3)
	w.store(encode(t, record{Changes: []recordChange{change("teams/b/priority", 0, "2")}}))
	n := w.start("n")
	w.settle()
	w.tick(n, structs.PeerMessage{From: "p", Msg: &structs.SettingsState{Next: 1, State: state}})
	if !n.Dump().Gap || n.Next() != 1 || n.tree.Version("teams/b/priority") != 0 {
		t.Fatalf("dump %+v", n.Dump())
	}
}

func TestInstanceNotCaughtUpGivesNoState(t *testing.T) {
	w := newWorld(t)
	n := w.start("n")
	one := encode(t, record{Changes: []recordChange{change("teams/a/priority", 0, "1")}})
	w.tick(n, structs.LogRead{
		Stream: structs.SettingsStream, Next: 1, End: 2,
		Records: []wire.LogRecord{{TimeMS: w.now.UnixMilli(), Data: one}},
	})
	if state := n.stateFor(0); n.Next() != 1 || state.Next != 0 || len(state.State) != 0 {
		t.Fatalf("next %d, gave %+v", n.Next(), state)
	}
}

func TestPeerWithoutNewerStateAnswersShort(t *testing.T) {
	w := newWorld(t)
	n := w.start("n")
	w.settle()
	w.propose(n, "r1", priority("x", 0, 1))
	w.settle()
	if state := n.stateFor(1); state.Next != 1 || len(state.State) != 0 {
		t.Fatalf("got %+v", state)
	}
	if state := n.stateFor(0); state.Next != 1 || len(state.State) == 0 {
		t.Fatalf("got %+v", state)
	}
}

func TestLaterInstancesWriteSnapshotsLater(t *testing.T) {
	w := newWorld(t)
	a, b := w.start("a"), w.start("b")
	w.settle()
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	w.now = w.now.Add(structs.DefaultInstanceConfig(structs.Peer{}, "").Retention / snapshotsPerRetention)
	w.tick(b)
	if b.appends != 0 || !b.NextWake().After(w.now) {
		t.Fatalf("%d written, next wake %s", b.appends, b.NextWake())
	}
	w.members.suspected["a"] = true
	w.now = b.NextWake()
	w.tick(b)
	if b.appends != 1 {
		t.Fatalf("%d written at the next wake", b.appends)
	}
}

// An instance that started from a peer does not know how old the last snapshot
// on the log is, so it has one written soon.
func TestSnapshotSoonAfterAStartFromPeers(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	w.down = true
	b := w.start("b")
	w.pass(3*time.Second, time.Second)
	w.order, w.members.peers = []structs.InstanceID{"b"}, []structs.Peer{{ID: "b"}}
	w.down = false
	w.settle()
	if !b.CaughtUp() || b.appends != 1 {
		t.Fatalf("caught up %v, %d snapshots", b.CaughtUp(), b.appends)
	}
}

func TestManyRecordsBringASnapshotForward(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	for range maxRecordsBetween {
		w.store([]byte("garbage"))
	}
	w.settle()
	if a.appends != 1 {
		t.Fatalf("%d snapshots after %d records", a.appends, maxRecordsBetween)
	}
}
