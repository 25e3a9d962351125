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
	cluster := newCluster(t)
	one := encode(t, record{Changes: []recordChange{change("teams/a/priority", 0, "1")}})
	two := encode(t, record{Changes: []recordChange{change("teams/a/priority", 1, "2")}})
	n := cluster.start("n")
	read := func(offset, end uint64, data []byte) {
		rec := wire.LogRecord{Offset: offset, TimeMS: cluster.now.UnixMilli(), Data: data}
		cluster.tick(n, structs.LogRead{
			Stream: structs.SettingsStream, From: offset, Next: offset + 1, End: end,
			Records: []wire.LogRecord{rec},
		})
	}
	read(0, 2, one)
	if n.CaughtUp() {
		t.Fatal("caught up before the end of the first read")
	}
	read(1, 5, two)
	if !n.CaughtUp() {
		t.Fatal("not caught up at the end of the first read")
	}
}

// A snapshot that ends before the oldest retained record leaves a gap and must not be
// taken for the whole state.
func TestSnapshotFromBeforeTheGapIsNotRestored(t *testing.T) {
	cluster := newCluster(t)
	whole := treeOf(t, map[string]string{"teams/a/priority": "1"})
	old, err := whole.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	cluster.end = 3 // offsets 1 and 2 are changes that have expired
	cluster.expire(3)
	cluster.store(old)
	n := cluster.start("n")
	cluster.settle()
	if n.CaughtUp() || n.tree.Version("teams/a/priority") != 0 || !n.Dump().Gap {
		t.Fatalf("dump %+v", n.Dump())
	}
	for offset := whole.Next(); offset < cluster.end; offset++ {
		whole.Apply(offset, encode(t, record{Changes: []recordChange{change("teams/b/priority", 0, "2")}}))
	}
	good, err := whole.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	cluster.store(good)
	cluster.settle()
	if !n.CaughtUp() || n.tree.Policy("b").Priority != 2 || n.Next() != cluster.end {
		t.Fatalf("dump %+v", n.Dump())
	}
}

// A peer's state that ends before the gap is restored but does not close the gap.
func TestPeerStateFromBeforeTheGapDoesNotCloseIt(t *testing.T) {
	cluster := newCluster(t)
	whole := treeOf(t, map[string]string{"teams/a/priority": "1"})
	state, err := whole.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	cluster.end = 3
	cluster.expire(3)
	cluster.store(encode(t, record{Changes: []recordChange{change("teams/b/priority", 0, "2")}}))
	n := cluster.start("n")
	cluster.settle()
	cluster.tick(n, structs.PeerMessage{From: "p", Msg: &structs.SettingsState{Next: 1, State: state}})
	if !n.Dump().Gap || n.Next() != 1 || n.tree.Version("teams/b/priority") != 0 {
		t.Fatalf("dump %+v", n.Dump())
	}
}

func TestInstanceNotCaughtUpSendsNoState(t *testing.T) {
	cluster := newCluster(t)
	n := cluster.start("n")
	one := encode(t, record{Changes: []recordChange{change("teams/a/priority", 0, "1")}})
	cluster.tick(n, structs.LogRead{
		Stream: structs.SettingsStream, Next: 1, End: 2,
		Records: []wire.LogRecord{{TimeMS: cluster.now.UnixMilli(), Data: one}},
	})
	if state := n.stateReply(0); n.Next() != 1 || state.Next != 0 || len(state.State) != 0 {
		t.Fatalf("next %d, got state %+v", n.Next(), state)
	}
}

func TestPeerWithoutNewerStateSendsNone(t *testing.T) {
	cluster := newCluster(t)
	n := cluster.start("n")
	cluster.settle()
	cluster.propose(n, "r1", priority("x", 0, 1))
	cluster.settle()
	if state := n.stateReply(1); state.Next != 1 || len(state.State) != 0 {
		t.Fatalf("got %+v", state)
	}
	if state := n.stateReply(0); state.Next != 1 || len(state.State) == 0 {
		t.Fatalf("got %+v", state)
	}
}

func TestLaterInstancesWriteSnapshotsLater(t *testing.T) {
	cluster := newCluster(t)
	a, b := cluster.start("a"), cluster.start("b")
	cluster.settle()
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	cluster.now = cluster.now.Add(structs.DefaultInstanceConfig(structs.Peer{}, "").Retention / snapshotsPerRetention)
	cluster.tick(b)
	if b.appends != 0 || !b.NextWake().After(cluster.now) {
		t.Fatalf("%d written, next wake %s", b.appends, b.NextWake())
	}
	cluster.members.suspected["a"] = true
	cluster.now = b.NextWake()
	cluster.tick(b)
	if b.appends != 1 {
		t.Fatalf("%d written at the next wake", b.appends)
	}
}

// An instance that started from a peer's state does not know the age of the last
// snapshot on the log, so it must write one soon.
func TestSnapshotSoonAfterAStartFromPeers(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	cluster.down = true
	b := cluster.start("b")
	cluster.advance(3*time.Second, time.Second)
	cluster.order, cluster.members.peers = []structs.InstanceID{"b"}, []structs.Peer{{ID: "b"}}
	cluster.down = false
	cluster.settle()
	if !b.CaughtUp() || b.appends != 1 {
		t.Fatalf("caught up %v, %d snapshots", b.CaughtUp(), b.appends)
	}
}

func TestRecordCountTriggersSnapshot(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	for range maxRecordsBetweenSnapshots {
		cluster.store([]byte("garbage"))
	}
	cluster.settle()
	if a.appends != 1 {
		t.Fatalf("%d snapshots after %d records", a.appends, maxRecordsBetweenSnapshots)
	}
}
